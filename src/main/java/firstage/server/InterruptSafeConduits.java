package firstage.server;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.StreamConnection;
import org.xnio.conduits.AbstractStreamSinkConduit;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSinkConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Conduits that report a read or write that was interrupted (EINTR) as one that transferred no
 * bytes. On a non-blocking channel the JDK returns -3 for an interrupted call. Neither XNIO nor
 * Undertow handles that value; both would stop reading for good.
 */
public final class InterruptSafeConduits {
    private static final int END_OF_STREAM = -1;

    private InterruptSafeConduits() {}

    /** Installs the conduits on a connection; to be called before anything is read or written. */
    public static void installOn(StreamConnection connection) {
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
