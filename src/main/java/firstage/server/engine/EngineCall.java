package firstage.server.engine;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** One call to an engine and what becomes of it: exactly one of the two is called, once. */
abstract class EngineCall {
    /** REFUSED, UNREACHED, RESET, NO_ROOM, UNWANTED: nothing was sent. The others prove nothing. */
    enum Failure {
        REFUSED,
        UNREACHED,
        RESET,
        NO_ROOM,
        UNWANTED,
        BROKEN,
        SILENT,
        MALFORMED
    }

    final String what;
    final byte[] body;

    /** How long its answer may take. */
    final long patienceMs;

    EngineCall(String what, byte[] body, long patienceMs) {
        this.what = what;
        this.body = body;
        this.patienceMs = patienceMs;
    }

    abstract void answered(EngineResponse response);

    abstract void failed(Failure failure);

    /** More lines of the head, each ended; asked when the call is about to be written. */
    String head() {
        return "";
    }

    /**
     * Whether it is to be written at all, asked when its connection is up; what is not fails as
     * unwanted.
     */
    boolean wanted() {
        return true;
    }

    ByteBuffer bytes(String host) {
        String length = body == null ? "" : "Content-Length: " + body.length + "\r\n";
        byte[] head =
                (what + " HTTP/1.1\r\nHost: " + host + "\r\n" + head() + length + "\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1);
        ByteBuffer all = ByteBuffer.allocate(head.length + (body == null ? 0 : body.length));
        all.put(head);
        if (body != null) {
            all.put(body);
        }
        return all.flip();
    }
}
