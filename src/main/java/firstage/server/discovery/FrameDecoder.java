package firstage.server.discovery;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Incremental decoder of the coordinator's frames, whose bytes may arrive in pieces of any size. A
 * frame consists of the length of the rest (4 bytes), the event number (8 bytes), the type (1 byte)
 * and the payload.
 */
public final class FrameDecoder {
    /**
     * A decoded frame.
     *
     * @param type 0 for a heartbeat, 1 for a snapshot, 2 for a delta
     */
    public record Frame(long eventNumber, int type, ByteBuffer payload) {}

    private static final int LENGTH_BYTES = 4;
    private static final int MIN_LENGTH = 9;

    /** Maximum length of a frame: some 38,000 endpoints, well above the size of any list. */
    private static final int MAX_LENGTH = 1 << 20;

    private final ByteArrayOutputStream unconsumed = new ByteArrayOutputStream();

    /** Returns whether a frame was received in part. */
    public boolean hasPartialFrame() {
        return unconsumed.size() > 0;
    }

    /**
     * Adds bytes and returns the frames that they complete.
     *
     * @throws IOException if a length is out of range
     */
    public List<Frame> decode(ByteBuffer in) throws IOException {
        byte[] bytes = new byte[in.remaining()];
        in.get(bytes);
        unconsumed.write(bytes, 0, bytes.length);
        ByteBuffer available = ByteBuffer.wrap(unconsumed.toByteArray());
        List<Frame> frames = new ArrayList<>();
        while (available.remaining() >= LENGTH_BYTES) {
            int length = available.getInt(available.position());
            if (length < MIN_LENGTH || length > MAX_LENGTH) {
                throw new IOException("invalid frame length: " + (length & 0xFFFFFFFFL) + " bytes");
            }
            if (available.remaining() < LENGTH_BYTES + length) {
                break;
            }
            available.getInt();
            long eventNumber = available.getLong();
            int type = available.get();
            ByteBuffer payload = available.slice(available.position(), length - MIN_LENGTH);
            available.position(available.position() + length - MIN_LENGTH);
            frames.add(new Frame(eventNumber, type, payload));
        }
        unconsumed.reset();
        unconsumed.write(available.array(), available.position(), available.remaining());
        return frames;
    }
}
