package firstage.server.engine;

import firstage.lifecycle.SendGuard.Verdict;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * One call to an engine and its result: exactly one of {@link #onResponse} and {@link #onFailure}
 * is called, once.
 */
abstract class EngineCall {
    /**
     * Why there is no response. Nothing was sent in the first five cases, or not to its end; the
     * others prove nothing.
     */
    enum Failure {
        CONNECTION_REFUSED,
        CONNECT_TIMEOUT,
        RESET_BEFORE_SEND,
        NO_FREE_CONNECTION,
        NO_LONGER_WANTED,
        CONNECTION_BROKEN,
        RESPONSE_TIMEOUT,
        MALFORMED_RESPONSE
    }

    final String requestLine;
    final byte[] body;

    /** How long the response may take. */
    final long timeoutMs;

    EngineCall(String requestLine, byte[] body, long timeoutMs) {
        this.requestLine = requestLine;
        this.body = body;
        this.timeoutMs = timeoutMs;
    }

    abstract void onResponse(EngineResponse response);

    abstract void onFailure(Failure failure);

    /** More header lines, each ended; asked just before {@link #checkSend}. */
    String extraHeaders() {
        return "";
    }

    /**
     * Whether it may be written now; asked when its connection is up. Where it is refused, it fails
     * as {@link Failure#NO_LONGER_WANTED}.
     */
    Verdict checkSend() {
        return Verdict.SEND;
    }

    /** The same for what is left of it, where a part was written. */
    Verdict checkRest() {
        return Verdict.SEND;
    }

    /** It is not written, or not to its end. */
    void onRefused(Verdict reason) {
        // Nobody needs to know of most calls.
    }

    /** Its first bytes were written. */
    void onWriting() {
        // Nobody needs to know of most calls.
    }

    /** All of it was handed to the system. */
    void onWritten() {
        // Nobody needs to know of most calls.
    }

    ByteBuffer encode(String host) {
        String length = body == null ? "" : "Content-Length: " + body.length + "\r\n";
        byte[] head =
                (requestLine
                                + " HTTP/1.1\r\nHost: "
                                + host
                                + "\r\n"
                                + extraHeaders()
                                + length
                                + "\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1);
        ByteBuffer all = ByteBuffer.allocate(head.length + (body == null ? 0 : body.length));
        all.put(head);
        if (body != null) {
            all.put(body);
        }
        return all.flip();
    }
}
