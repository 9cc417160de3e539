package firstage.server.discovery;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** Cuts the coordinator's frames out of bytes that come in any pieces. */
public final class FrameDecoder {
    /** Kind, number and payload of one frame. */
    public record Frame(long number, int kind, ByteBuffer payload) {}

    private static final int HEAD = 4;
    private static final int LEAST = 9;

    /** Some 38,000 records: well over any list. */
    private static final int MOST = 1 << 20;

    private final ByteArrayOutputStream kept = new ByteArrayOutputStream();

    /** Whether the beginning of a frame is here and its rest is not. */
    public boolean partial() {
        return kept.size() > 0;
    }

    /** Takes what is there and gives the frames that are whole. */
    public List<Frame> take(ByteBuffer in) throws IOException {
        byte[] piece = new byte[in.remaining()];
        in.get(piece);
        kept.write(piece, 0, piece.length);
        ByteBuffer all = ByteBuffer.wrap(kept.toByteArray());
        List<Frame> whole = new ArrayList<>();
        while (all.remaining() >= HEAD) {
            int length = all.getInt(all.position());
            if (length < LEAST || length > MOST) {
                throw new IOException("a frame of " + (length & 0xFFFFFFFFL) + " bytes");
            }
            if (all.remaining() < HEAD + length) {
                break;
            }
            all.getInt();
            long number = all.getLong();
            int kind = all.get();
            ByteBuffer payload = all.slice(all.position(), length - LEAST);
            all.position(all.position() + length - LEAST);
            whole.add(new Frame(number, kind, payload));
        }
        kept.reset();
        kept.write(all.array(), all.position(), all.remaining());
        return whole;
    }
}
