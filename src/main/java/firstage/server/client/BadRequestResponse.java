package firstage.server.client;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.xnio.conduits.AbstractStreamSinkConduit;
import org.xnio.conduits.StreamSinkConduit;

/**
 * Gives the answer to input that is not HTTP a JSON body like that of all other refusals.
 * Undertow's parser sends this answer, a 400 without a body, before any handler is called. All
 * other output passes unchanged.
 */
final class BadRequestResponse extends AbstractStreamSinkConduit<StreamSinkConduit> {
    private static final byte[] EMPTY_BAD_REQUEST =
            bytes("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close");
    private static final byte[] ERROR_BODY = bytes("{\"err\":\"no HTTP\"}\n");
    private static final byte[] FULL_BAD_REQUEST =
            bytes(
                    "HTTP/1.1 400 Bad Request\r\nContent-Type: application/json\r\n"
                            + "Content-Length: "
                            + ERROR_BODY.length
                            + "\r\nConnection: close\r\n\r\n"
                            + new String(ERROR_BODY, StandardCharsets.US_ASCII));

    BadRequestResponse(StreamSinkConduit next) {
        super(next);
    }

    @Override
    public int write(ByteBuffer source) throws IOException {
        if (!isEmptyBadRequest(source)) {
            return super.write(source);
        }
        int size = source.remaining();
        // The answer fits the socket buffer if it is the first output on the connection. Otherwise
        // the client may get only a part of it before the connection is closed.
        super.write(ByteBuffer.wrap(FULL_BAD_REQUEST));
        source.position(source.limit());
        return size;
    }

    private static boolean isEmptyBadRequest(ByteBuffer source) {
        return source.remaining() >= EMPTY_BAD_REQUEST.length
                && ByteBuffer.wrap(EMPTY_BAD_REQUEST)
                        .equals(source.slice(source.position(), EMPTY_BAD_REQUEST.length));
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }
}
