package firstage.server;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.StreamConnection;
import org.xnio.conduits.AbstractStreamSinkConduit;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSinkConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Makes a read or write that was interrupted (EINTR) one that moved nothing. The JDK returns -3 for
 * it on a non-blocking channel, which neither XNIO nor Undertow knows: they stop reading for good.
 */
public final class InterruptedCalls {
    private static final int END_OF_STREAM = -1;

    private InterruptedCalls() {}

    /** To be called before anything is read or written. */
    public static void shield(StreamConnection connection) {
        connection
                .getSourceChannel()
                .setConduit(new InterruptSafeSource(connection.getSourceChannel().getConduit()));
        connection
                .getSinkChannel()
                .setConduit(new InterruptSafeSink(connection.getSinkChannel().getConduit()));
    }

    private static final class InterruptSafeSource
            extends AbstractStreamSourceConduit<StreamSourceConduit> {
        private InterruptSafeSource(StreamSourceConduit next) {
            super(next);
        }

        @Override
        public int read(ByteBuffer target) throws IOException {
            int bytesRead = super.read(target);
            return bytesRead < END_OF_STREAM ? 0 : bytesRead;
        }

        @Override
        public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
            long bytesRead = super.read(targets, offset, length);
            return bytesRead < END_OF_STREAM ? 0 : bytesRead;
        }
    }

    private static final class InterruptSafeSink
            extends AbstractStreamSinkConduit<StreamSinkConduit> {
        private InterruptSafeSink(StreamSinkConduit next) {
            super(next);
        }

        @Override
        public int write(ByteBuffer source) throws IOException {
            return Math.max(0, super.write(source));
        }

        @Override
        public long write(ByteBuffer[] sources, int offset, int length) throws IOException {
            return Math.max(0, super.write(sources, offset, length));
        }

        @Override
        public int writeFinal(ByteBuffer source) throws IOException {
            return Math.max(0, super.writeFinal(source));
        }

        @Override
        public long writeFinal(ByteBuffer[] sources, int offset, int length) throws IOException {
            return Math.max(0, super.writeFinal(sources, offset, length));
        }
    }
}
