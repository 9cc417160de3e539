package firstage.server.engine;

import firstage.lifecycle.SendGuard.Verdict;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * A call to an engine. Its result is reported by exactly one call of either {@link #onResponse} or
 * {@link #onFailure}.
 */
abstract class EngineCall {
    /**
     * Reason why a call has no usable response. With the first six, the call was not sent, or not
     * completely; with the others, the engine may have received it.
     */
    enum Failure {
        ENGINE_UNREACHABLE,
        CONNECTION_REFUSED,
        CONNECT_TIMEOUT,
        RESET_BEFORE_SEND,
        NO_FREE_CONNECTION,
        SEND_REFUSED,
        ENDED_BY_ENGINE,
        CONNECTION_BROKEN,
        RESPONSE_TIMEOUT,
        MALFORMED_RESPONSE
    }

    /** Attempt that the call is made for; null for a probe. */
    final AttemptRunner attempt;

    final String requestLine;
    final byte[] body;

    /** Time until the response has to be complete, counted from the first write. */
    final long timeoutMs;

    /** Connection on which the call was written; null before that. */
    private EngineConnection connection;

    EngineCall(AttemptRunner attempt, String requestLine, byte[] body, long timeoutMs) {
        this.attempt = attempt;
        this.requestLine = requestLine;
        this.body = body;
        this.timeoutMs = timeoutMs;
    }

    /** Records the connection on which the call is being written. */
    void onWriting(EngineConnection chosen) {
        connection = chosen;
    }

    /** Returns the connection on which the call was written; null if it was not written. */
    EngineConnection connection() {
        return connection;
    }

    /** Returns whether a connection is preferred to others for this call. */
    boolean prefers(EngineConnection candidate) {
        return attempt != null && attempt.reachesHolder(candidate);
    }

    abstract void onResponse(EngineResponse response);

    abstract void onFailure(Failure failure);

    /**
     * Returns additional header lines, each with its line end. Called just before the {@link
     * #checkSend} that precedes the write.
     */
    String extraHeaders() {
        return "";
    }

    /**
     * Decides whether the call may be written now. Called before a new connection is opened for the
     * call, and again just before the call is written. A refused call fails with {@link
     * Failure#SEND_REFUSED}.
     */
    Verdict checkSend() {
        return Verdict.SEND;
    }

    /** Decides whether the remaining bytes of a partly written call may be written now. */
    Verdict checkRemainder() {
        return Verdict.SEND;
    }

    /** Called when the call is refused before it was written completely. */
    void onRefused(Verdict reason) {
        // Most calls do not need this event.
    }

    /** Called after the first write, even if that write failed. */
    void onWriteStarted() {
        // Most calls do not need this event.
    }

    /** Called when all bytes were passed to the operating system. */
    void onWriteCompleted() {
        // Most calls do not need this event.
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
        ByteBuffer encoded = ByteBuffer.allocate(head.length + (body == null ? 0 : body.length));
        encoded.put(head);
        if (body != null) {
            encoded.put(body);
        }
        return encoded.flip();
    }
}
