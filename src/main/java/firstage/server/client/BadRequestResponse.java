package firstage.server.client;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.xnio.conduits.AbstractStreamSinkConduit;
import org.xnio.conduits.StreamSinkConduit;

/**
 * Undertow's parser answers what is no HTTP by itself, with a 400 without a body, before any
 * handler is asked. Here that answer gets the JSON line which all other faults of callers have; all
 * else goes through as it is.
 */
final class BadRequestResponse extends AbstractStreamSinkConduit<StreamSinkConduit> {
    private static final byte[] BARE =
            bytes("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close");
    private static final byte[] LINE = bytes("{\"err\":\"no HTTP\"}\n");
    private static final byte[] FULL =
            bytes(
                    "HTTP/1.1 400 Bad Request\r\nContent-Type: application/json\r\n"
                            + "Content-Length: "
                            + LINE.length
                            + "\r\nConnection: close\r\n\r\n"
                            + new String(LINE, StandardCharsets.US_ASCII));

    BadRequestResponse(StreamSinkConduit next) {
        super(next);
    }

    @Override
    public int write(ByteBuffer from) throws IOException {
        if (!isBare(from)) {
            return super.write(from);
        }
        int size = from.remaining();
        // The first bytes on a connection fit its buffer; else the client gets what went, and the
        // close.
        super.write(ByteBuffer.wrap(FULL));
        from.position(from.limit());
        return size;
    }

    private static boolean isBare(ByteBuffer from) {
        return from.remaining() >= BARE.length
                && ByteBuffer.wrap(BARE).equals(from.slice(from.position(), BARE.length));
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }
}
