package firstage.server.engine;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** One call to an engine and what becomes of it: exactly one of the two is called, once. */
abstract class EngineCall {
    /** REFUSED, UNREACHED, RESET, NO_ROOM, UNWANTED: nothing was sent. The others prove nothing. */
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

    /** How long its answer may take. */
    final long timeoutMs;

    EngineCall(String requestLine, byte[] body, long timeoutMs) {
        this.requestLine = requestLine;
        this.body = body;
        this.timeoutMs = timeoutMs;
    }

    abstract void onResponse(EngineResponse response);

    abstract void onFailure(Failure failure);

    /** More lines of the head, each ended; asked when the call is about to be written. */
    String extraHeaders() {
        return "";
    }

    /**
     * Whether it is to be written at all, asked when its connection is up; what is not fails as
     * unwanted.
     */
    boolean shouldSend() {
        return true;
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
