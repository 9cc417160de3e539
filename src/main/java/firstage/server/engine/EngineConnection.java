package firstage.server.engine;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;

/** A connection to an engine: one call at a time. */
final class EngineConnection {
    private static final byte[] VERSION = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);
    private final EngineConnectionPool link;
    private final XnioIoThread io;
    private final ByteBuffer shared;
    private final StreamConnection channel;
    private EngineCall call;
    private EngineResponseReader reader;
    private ByteBuffer unsent;
    private XnioExecutor.Key patience;
    private boolean closed;
    private long sentAt;

    /** When its last call ended. */
    long idleSince;

    /** Until when a second copy of its last answer may come. */
    long restsUntil;

    /** Until when the true answer behind what may be a copy could come. */
    long doubtUntil;

    /** Its last answer that was whole. */
    private EngineResponse last;

    /** {@code shared} is one buffer of the thread, empty between events. */
    EngineConnection(
            EngineConnectionPool link,
            XnioIoThread io,
            ByteBuffer shared,
            StreamConnection channel) {
        this.link = link;
        this.io = io;
        this.shared = shared;
        this.channel = channel;
        channel.getSourceChannel().setReadListener(this::readable);
        channel.getSinkChannel().setWriteListener(this::writable);
        channel.getSourceChannel().resumeReads();
    }

    /**
     * Whether nothing came since its last answer: what did would be taken for the answer to the
     * next call.
     */
    boolean quiet() {
        try {
            shared.clear();
            return channel.getSourceChannel().read(shared) == 0;
        } catch (IOException fault) {
            return false;
        }
    }

    void send(EngineCall next, String host) {
        call = next;
        sentAt = link.now();
        reader = new EngineResponseReader();
        unsent = next.bytes(host);
        patience =
                io.executeAfter(
                        () -> fail(EngineCall.Failure.SILENT),
                        next.patienceMs,
                        TimeUnit.MILLISECONDS);
        writable(channel.getSinkChannel());
    }

    private void writable(ConduitStreamSinkChannel sink) {
        if (unsent == null) {
            sink.suspendWrites();
            return;
        }
        try {
            while (unsent.hasRemaining()) {
                if (sink.write(unsent) == 0) {
                    sink.resumeWrites();
                    return;
                }
            }
            if (sink.flush()) {
                unsent = null;
                sink.suspendWrites();
            } else {
                sink.resumeWrites();
            }
        } catch (IOException fault) {
            // Its answer may be there all the same; reading tells.
            unsent = null;
            sink.suspendWrites();
            io.execute(() -> readable(channel.getSourceChannel()));
        }
    }

    private void readable(ConduitStreamSourceChannel source) {
        try {
            while (!closed) {
                shared.clear();
                int n = source.read(shared);
                if (n == 0) {
                    return;
                }
                if (n < 0) {
                    fail(EngineCall.Failure.BROKEN);
                    return;
                }
                link.heard();
                shared.flip();
                if (call == null) {
                    // Bytes that nobody asked for: nothing on this connection can be trusted.
                    fail(EngineCall.Failure.MALFORMED);
                } else if (reader.take(shared)) {
                    done();
                }
            }
        } catch (IOException fault) {
            fail(
                    reader != null && channel.isOpen() && !isReset(fault)
                            ? EngineCall.Failure.MALFORMED
                            : EngineCall.Failure.BROKEN);
        }
    }

    private static boolean isReset(IOException fault) {
        String text = String.valueOf(fault.getMessage());
        return text.contains("reset") || text.contains("Broken pipe") || text.contains("closed");
    }

    private void done() {
        EngineCall over = call;
        boolean more = shared.hasRemaining();
        // A second copy of the answer shows that the first was whole.
        boolean copy =
                shared.remaining() >= VERSION.length
                        && ByteBuffer.wrap(VERSION)
                                .equals(shared.slice(shared.position(), VERSION.length));
        EngineResponse response = reader.response(more && !copy);
        forget();
        boolean doubtful = link.hasty(response, sentAt);
        boolean like = last != null && response.like(last);
        last = response;
        if (more || unsent != null || response.closes() || doubtful && !link.lastWhileRunning()) {
            close();
            link.gone(this);
        } else if (doubtful && like) {
            link.doubted(this);
        } else {
            link.idle(this, response.status() == 200);
        }
        over.answered(response);
    }

    private void fail(EngineCall.Failure failure) {
        EngineCall over = call;
        forget();
        close();
        link.gone(this);
        if (over != null) {
            over.failed(failure);
        }
    }

    private void forget() {
        if (patience != null) {
            patience.remove();
        }
        patience = null;
        call = null;
        reader = null;
    }

    void close() {
        closed = true;
        IoUtils.safeClose(channel);
    }
}
