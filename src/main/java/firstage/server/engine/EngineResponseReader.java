package firstage.server.engine;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Incremental reader of one HTTP/1.1 response, whose bytes may arrive in pieces of any size. */
final class EngineResponseReader {
    /** Maximum length of a response body, well above the 6,000 bytes that a page may hold. */
    private static final int MAX_BODY_BYTES = 64 * 1024;

    private static final int MAX_HEAD_BYTES = 16 * 1024;

    private enum State {
        STATUS,
        HEADERS,
        BODY,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILERS,
        DONE
    }

    private final ByteArrayOutputStream lineBytes = new ByteArrayOutputStream(64);
    private final ByteArrayOutputStream body = new ByteArrayOutputStream(256);
    private final Map<String, String> headers = new HashMap<>();
    private State state = State.STATUS;
    private int status;
    private int bytesLeft;
    private int headBytes;

    /**
     * Consumes the available bytes and returns whether the response is complete. Bytes that follow
     * the response stay in the buffer.
     */
    boolean read(ByteBuffer in) throws MalformedResponseException {
        while (state != State.DONE && in.hasRemaining()) {
            if (state == State.BODY || state == State.CHUNK) {
                readBody(in);
            } else {
                byte b = in.get();
                if (++headBytes > MAX_HEAD_BYTES) {
                    throw new MalformedResponseException("head too long");
                }
                if (b == '\n') {
                    String text = lineBytes.toString(StandardCharsets.ISO_8859_1).stripTrailing();
                    lineBytes.reset();
                    parseLine(text);
                } else {
                    lineBytes.write(b);
                }
            }
        }
        return state == State.DONE;
    }

    EngineResponse response(boolean trailingBytes) {
        return new EngineResponse(status, headers, body.toByteArray(), trailingBytes);
    }

    private void readBody(ByteBuffer in) throws MalformedResponseException {
        int length = Math.min(bytesLeft, in.remaining());
        if (body.size() + length > MAX_BODY_BYTES) {
            throw new MalformedResponseException("response body too long");
        }
        byte[] bytes = new byte[length];
        in.get(bytes);
        body.write(bytes, 0, length);
        bytesLeft -= length;
        if (bytesLeft == 0) {
            state = state == State.BODY ? State.DONE : State.CHUNK_END;
        }
    }

    private void parseLine(String text) throws MalformedResponseException {
        switch (state) {
            case STATUS -> {
                String[] words = text.split(" ", 3);
                if (!text.startsWith("HTTP/1.") || words.length < 2) {
                    throw new MalformedResponseException("malformed status line");
                }
                status = parseNumber(words[1], 10);
                state = State.HEADERS;
            }
            case HEADERS -> {
                int colon = text.indexOf(':');
                if (colon > 0) {
                    String value = text.substring(colon + 1).trim();
                    String name = text.substring(0, colon).trim().toLowerCase(Locale.ROOT);
                    String previous = headers.put(name, value);
                    if (name.equals("content-length")
                            && previous != null
                            && !previous.equals(value)) {
                        throw new MalformedResponseException("conflicting content-length headers");
                    }
                } else if (text.isEmpty()) {
                    onHeadersComplete();
                } else {
                    throw new MalformedResponseException("malformed header line");
                }
            }
            case CHUNK_SIZE -> {
                int semicolon = text.indexOf(';');
                bytesLeft = parseNumber(semicolon < 0 ? text : text.substring(0, semicolon), 16);
                state = bytesLeft == 0 ? State.TRAILERS : State.CHUNK;
            }
            case CHUNK_END -> state = State.CHUNK_SIZE;
            case TRAILERS -> state = text.isEmpty() ? State.DONE : State.TRAILERS;
            default -> throw new IllegalStateException("unexpected line in state " + state);
        }
    }

    private void onHeadersComplete() throws MalformedResponseException {
        if (status >= 100 && status < 200) {
            headers.clear();
            state = State.STATUS;
        } else if (status == 204 || status == 304) {
            state = State.DONE;
        } else if (headers.getOrDefault("transfer-encoding", "")
                .toLowerCase(Locale.ROOT)
                .endsWith("chunked")) {
            state = State.CHUNK_SIZE;
        } else if (headers.containsKey("content-length")) {
            bytesLeft = parseNumber(headers.get("content-length"), 10);
            if (bytesLeft > MAX_BODY_BYTES) {
                throw new MalformedResponseException("response body too long");
            }
            state = bytesLeft == 0 ? State.DONE : State.BODY;
        } else {
            // Without a length, a broken connection would look like the end of the body.
            throw new MalformedResponseException("neither content-length nor chunked encoding");
        }
    }

    private static int parseNumber(String text, int radix) throws MalformedResponseException {
        try {
            int number = Integer.parseInt(text.trim(), radix);
            if (number >= 0) {
                return number;
            }
        } catch (NumberFormatException exception) {
            // Reported below, like a negative number.
        }
        throw new MalformedResponseException("invalid number: " + text);
    }
}
