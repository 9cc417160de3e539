package firstage.server.discovery;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Decoding of frames that arrive whole, in pieces or malformed. */
class FrameDecoderTest {
    @Test
    void decode_framesInPieces_areComplete() throws IOException {
        byte[] bytes =
                ByteBuffer.allocate(13 + 15)
                        .putInt(9)
                        .putLong(0)
                        .put((byte) 0)
                        .putInt(11)
                        .putLong(-2)
                        .put((byte) 2)
                        .putShort((short) 770)
                        .array();
        for (int size = 1; size <= bytes.length; size++) {
            FrameDecoder decoder = new FrameDecoder();
            List<FrameDecoder.Frame> frames = new ArrayList<>();
            for (int offset = 0; offset < bytes.length; offset += size) {
                frames.addAll(
                        decoder.decode(
                                ByteBuffer.wrap(
                                        bytes, offset, Math.min(size, bytes.length - offset))));
            }
            assertThat(frames).hasSize(2);
            assertThat(frames.get(1).eventNumber()).isEqualTo(-2);
            assertThat(frames.get(1).type()).isEqualTo(2);
            assertThat(frames.get(1).payload().getShort()).isEqualTo((short) 770);
        }
    }

    @Test
    void decode_unusableLength_throwsIoException() {
        for (int length : new int[] {0, 8, -1, Integer.MAX_VALUE}) {
            assertThatThrownBy(
                            () ->
                                    new FrameDecoder()
                                            .decode(ByteBuffer.allocate(64).putInt(0, length)))
                    .isInstanceOf(IOException.class);
        }
    }
}
