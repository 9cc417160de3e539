package firstage.server.discovery;

import firstage.config.ManagerConfig;
import firstage.policy.api.EndpointUpdate.Kind;
import firstage.server.Counters;
import firstage.server.ServerEvents;
import firstage.server.TickClock;
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

/**
 * Keeps a connection to the coordinator and tells what it hears; a connection that is mute is given
 * up.
 */
public final class EndpointWatcher {
    private static final Logger LOG = Logger.getLogger(EndpointWatcher.class.getName());

    /**
     * An empty frame follows each second: two missing, and another connection is tried. News is due
     * in 7 s.
     */
    private static final long MUTE_MS = 2_300;

    private static final long CONNECT_MS = 1_000;

    /**
     * A connection comes up in a few ms; where its first packet is lost the system sends it again
     * after 1 s only.
     */
    private static final long SECOND_TRY_MS = 150;

    private static final long AGAIN_MS = 200;

    /** At most so many at once: well before the first is given up, and few descriptors. */
    private static final int MOST_TRIES = 5;

    /**
     * From a start until its list is taken as it was told, where the coordinator says nothing: it
     * does at once.
     */
    private static final long UNHEARD_MS = 1_000;

    /** Engines that a line of the log names. */
    private static final int MOST_NAMED = 8;

    private final XnioIoThread io;
    private final Counters counters;
    private final ServerEvents tidings;
    private final EndpointParser records;
    private final TickClock clock;
    private InetSocketAddress coordinator;

    /** When the configuration in force asked for its coordinator: for the log. */
    private long since;

    private boolean heard;

    /** The list was confirmed since the start, or is taken as it is. */
    private boolean confirmed;

    private final ByteBuffer buffer = ByteBuffer.allocate(16 * 1024);
    private long last;
    private StreamConnection channel;
    private FrameDecoder frames;
    private XnioExecutor.Key mute;
    private XnioExecutor.Key retry;

    /**
     * Counts what was given up: only a try of the present count may come up, and only the first of
     * those.
     */
    private long round;

    private boolean closed;

    public EndpointWatcher(
            XnioIoThread io,
            TickClock clock,
            Counters counters,
            ServerEvents tidings,
            ManagerConfig assignment) {
        this.io = io;
        this.counters = counters;
        this.tidings = tidings;
        this.clock = clock;
        records = new EndpointParser(clock, assignment.settings());
    }

    /**
     * Tells what a configuration knows and is not known yet, then follows its coordinator. Another
     * one may come while this one is followed: its coordinator may be elsewhere and the old one
     * tells nothing more, so that one is left at once. The numbers continue.
     */
    public void follow(ManagerConfig assignment) {
        since = clock.now();
        heard = false;
        try {
            if (assignment.initialEndpoints().get("updates") instanceof List<?> updates) {
                for (Object update : updates) {
                    known((Map<?, ?>) update);
                }
            }
            Object index = assignment.initialEndpoints().get("index");
            last = Math.max(last, index == null ? 0 : Long.parseLong(String.valueOf(index)));
        } catch (RuntimeException fault) {
            counters.count("malformed lists");
            LOG.warning(
                    "the list that the configuration knows can't be read: " + fault.getMessage());
        }
        if (coordinator == null) {
            io.executeAfter(this::confirm, UNHEARD_MS, TimeUnit.MILLISECONDS);
        }
        coordinator = assignment.coordinatorAddress();
        leave();
        connect();
    }

    /**
     * Whether the list may be acted on. The harm prevented: a manager that was away starts with a
     * list from before its coordinator's trouble, and sends to engines that were told to drain
     * while it was not there to hear.
     */
    public boolean confirmed() {
        return confirmed || coordinator == null;
    }

    private void confirm() {
        if (!confirmed) {
            confirmed = true;
            tidings.listConfirmed();
        }
    }

    private void known(Map<?, ?> update) {
        if (Long.parseLong(String.valueOf(update.get("index"))) <= last) {
            return;
        }
        Map<?, ?> endpoints = (Map<?, ?>) update.get("endpoints");
        boolean whole = "true".equals(String.valueOf(endpoints.get("reset")));
        tidings.listed(
                whole ? Kind.SNAPSHOT : Kind.DELTA,
                records.read((List<?>) endpoints.get("instances")));
        last = Long.parseLong(String.valueOf(update.get("index")));
    }

    private void connect() {
        retry = null;
        if (closed || coordinator == null) {
            return;
        }
        open(round, 1);
    }

    /**
     * Opens a connection, and another beside it where the first is slow to come up. The harm
     * prevented: a first packet that is lost is sent again after a second, and for all of it this
     * manager sends to engines that were told to drain.
     */
    private void open(long mine, int at) {
        if (mine != round || channel != null) {
            return;
        }
        IoFuture<? extends StreamConnection> coming =
                io.openStreamConnection(coordinator, null, OptionMap.EMPTY);
        XnioExecutor.Key late = io.executeAfter(coming::cancel, CONNECT_MS, TimeUnit.MILLISECONDS);
        XnioExecutor.Key second =
                at >= MOST_TRIES
                        ? null
                        : io.executeAfter(
                                () -> open(mine, at + 1), SECOND_TRY_MS, TimeUnit.MILLISECONDS);
        coming.addNotifier(
                (future, none) ->
                        io.execute(
                                () -> {
                                    late.remove();
                                    boolean done = future.getStatus() == IoFuture.Status.DONE;
                                    if (mine != round || closed || channel != null) {
                                        // Another coordinator is followed meanwhile, or the other
                                        // try was the first.
                                        IoUtils.safeClose(done ? result(future) : null);
                                    } else if (done) {
                                        up(result(future));
                                    } else if (at == 1) {
                                        second.remove();
                                        counters.count("coordinator not reached");
                                        again();
                                    }
                                }),
                null);
    }

    private static StreamConnection result(IoFuture<? extends StreamConnection> done) {
        try {
            return done.get();
        } catch (IOException fault) {
            throw new IllegalStateException(fault);
        }
    }

    private void again() {
        long mine = ++round;
        retry =
                io.executeAfter(
                        () -> {
                            if (mine == round) {
                                connect();
                            }
                        },
                        AGAIN_MS,
                        TimeUnit.MILLISECONDS);
    }

    private void up(StreamConnection connection) {
        channel = connection;
        try {
            frames = new FrameDecoder();
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
        LOG.info(
                () ->
                        "the connection to the coordinator at "
                                + coordinator
                                + " is lost after event "
                                + last);
        leave();
        counters.count("connections to the coordinator lost");
        again();
    }

    /** Gives up the connection, and what was to happen on it. */
    private void leave() {
        round++;
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
                if (!heard) {
                    heard = true;
                    long tenths = clock.now() - since;
                    LOG.info(
                            () ->
                                    "the coordinator at "
                                            + coordinator
                                            + " is heard "
                                            + tenths / 10
                                            + " ms after the configuration was taken");
                }
                for (FrameDecoder.Frame frame : frames.take(buffer.flip())) {
                    take(frame);
                }
                if (!frames.partial()) {
                    confirm();
                }
            }
        } catch (IOException fault) {
            LOG.warning("the coordinator's connection is closed: " + fault.getMessage());
            counters.count("malformed or broken lists");
            lost();
        }
    }

    private void take(FrameDecoder.Frame frame) throws IOException {
        if (frame.kind() == 0 || frame.number() <= last) {
            return;
        }
        if (frame.kind() > 2) {
            throw new IOException("a frame of kind " + frame.kind());
        }
        List<ServerEvents.Listed> entries = records.read(frame.payload());
        // Few in a run, and what a drain that was not kept is traced by.
        LOG.info(
                () ->
                        "event "
                                + frame.number()
                                + " tells of "
                                + entries.stream()
                                        .map(e -> e.id() + " " + e.standing())
                                        .limit(MOST_NAMED)
                                        .toList()
                                + (entries.size() > MOST_NAMED
                                        ? " and " + (entries.size() - MOST_NAMED) + " more"
                                        : ""));
        tidings.listed(frame.kind() == 1 ? Kind.SNAPSHOT : Kind.DELTA, entries);
        last = frame.number();
        counters.count("changes of the list");
    }

    public void close() {
        closed = true;
        leave();
    }
}
