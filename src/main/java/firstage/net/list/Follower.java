package firstage.net.list;

import firstage.door.EngineList.Kind;
import firstage.net.Assignment;
import firstage.net.Clock;
import firstage.net.Counters;
import firstage.net.Tidings;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.conduits.ConduitStreamSourceChannel;

/** Keeps a connection to the coordinator and tells what it hears; a connection that is mute is given up. */
public final class Follower {
    private static final Logger LOG = Logger.getLogger(Follower.class.getName());
    /** An empty frame follows each second: two missing, and another connection is tried. News is due in 7 s. */
    private static final long MUTE_MS = 2_300;
    private static final long CONNECT_MS = 1_000;
    private static final long AGAIN_MS = 200;
    private final XnioIoThread io;
    private final Counters counters;
    private final Tidings tidings;
    private final Records records;
    private InetSocketAddress coordinator;
    private final ByteBuffer buffer = ByteBuffer.allocate(16 * 1024);
    private long last;
    private StreamConnection channel;
    private Frames frames;
    private XnioExecutor.Key mute;
    private XnioExecutor.Key retry;
    /** Counts the tries to connect: only the last may come up. */
    private long tries;
    private boolean closed;

    public Follower(XnioIoThread io, Clock clock, Counters counters, Tidings tidings, Assignment assignment) {
        this.io = io;
        this.counters = counters;
        this.tidings = tidings;
        records = new Records(clock, assignment.settings());
    }

    /**
     * Tells what a configuration knows and is not known yet, then follows its coordinator. Another one may come
     * while this one is followed: its coordinator may be elsewhere and the old one tells nothing more, so that one
     * is left at once. The numbers continue.
     */
    public void follow(Assignment assignment) {
        try {
            if (assignment.known().get("updates") instanceof List<?> updates) {
                for (Object update : updates) {
                    known((Map<?, ?>) update);
                }
            }
            Object index = assignment.known().get("index");
            last = Math.max(last, index == null ? 0 : Long.parseLong(String.valueOf(index)));
        } catch (RuntimeException fault) {
            counters.count("malformed lists");
            LOG.warning("the list that the configuration knows can't be read: " + fault.getMessage());
        }
        coordinator = assignment.coordinator();
        leave();
        connect();
    }

    private void known(Map<?, ?> update) {
        if (Long.parseLong(String.valueOf(update.get("index"))) <= last) {
            return;
        }
        Map<?, ?> endpoints = (Map<?, ?>) update.get("endpoints");
        boolean whole = "true".equals(String.valueOf(endpoints.get("reset")));
        tidings.listed(whole ? Kind.WHOLE : Kind.CHANGES, records.read((List<?>) endpoints.get("instances")));
        last = Long.parseLong(String.valueOf(update.get("index")));
    }

    private void connect() {
        retry = null;
        if (closed || coordinator == null) {
            return;
        }
        long mine = ++tries;
        IoFuture<? extends StreamConnection> coming = io.openStreamConnection(coordinator, null, OptionMap.EMPTY);
        XnioExecutor.Key late = io.executeAfter(coming::cancel, CONNECT_MS, TimeUnit.MILLISECONDS);
        coming.addNotifier((future, none) -> io.execute(() -> {
            late.remove();
            boolean done = future.getStatus() == IoFuture.Status.DONE;
            if (mine != tries || closed) {
                // Another coordinator is followed meanwhile.
                IoUtils.safeClose(done ? result(future) : null);
            } else if (done) {
                up(result(future));
            } else {
                again();
            }
        }), null);
    }

    private static StreamConnection result(IoFuture<? extends StreamConnection> done) {
        try {
            return done.get();
        } catch (IOException fault) {
            throw new IllegalStateException(fault);
        }
    }

    private void again() {
        retry = io.executeAfter(this::connect, AGAIN_MS, TimeUnit.MILLISECONDS);
    }

    private void up(StreamConnection connection) {
        channel = connection;
        try {
            frames = new Frames();
            ByteBuffer hello = ByteBuffer.allocate(Long.BYTES).putLong(0, last);
            while (hello.hasRemaining()) {
                // Eight bytes on a new connection always fit.
                channel.getSinkChannel().write(hello);
            }
            channel.getSinkChannel().flush();
            channel.getSourceChannel().setReadListener(this::readable);
            channel.getSourceChannel().resumeReads();
            listen();
        } catch (IOException fault) {
            lost();
        }
    }

    private void listen() {
        if (mute != null) {
            mute.remove();
        }
        mute = io.executeAfter(this::lost, MUTE_MS, TimeUnit.MILLISECONDS);
    }

    private void lost() {
        leave();
        counters.count("connections to the coordinator lost");
        again();
    }

    /** Gives up the connection, and what was to happen on it. */
    private void leave() {
        tries++;
        for (XnioExecutor.Key due : Arrays.asList(mute, retry)) {
            if (due != null) {
                due.remove();
            }
        }
        mute = null;
        retry = null;
        IoUtils.safeClose(channel);
        channel = null;
    }

    private void readable(ConduitStreamSourceChannel source) {
        try {
            while (source.isOpen()) {
                buffer.clear();
                int n = source.read(buffer);
                if (n == 0) {
                    return;
                }
                if (n < 0) {
                    lost();
                    return;
                }
                listen();
                for (Frames.Frame frame : frames.take(buffer.flip())) {
                    take(frame);
                }
            }
        } catch (IOException fault) {
            LOG.warning("the coordinator's connection is closed: " + fault.getMessage());
            counters.count("malformed or broken lists");
            lost();
        }
    }

    private void take(Frames.Frame frame) throws IOException {
        if (frame.kind() == 0 || frame.number() <= last) {
            return;
        }
        if (frame.kind() > 2) {
            throw new IOException("a frame of kind " + frame.kind());
        }
        tidings.listed(frame.kind() == 1 ? Kind.WHOLE : Kind.CHANGES, records.read(frame.payload()));
        last = frame.number();
        counters.count("changes of the list");
    }

    public void close() {
        closed = true;
        leave();
    }
}
