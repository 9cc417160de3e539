package firstage.server.discovery;

import firstage.config.ManagerConfig;
import firstage.policy.api.EndpointUpdate.Kind;
import firstage.server.ActionGuard;
import firstage.server.Counters;
import firstage.server.InterruptedCalls;
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
 * Watches the endpoint list: keeps a connection to the coordinator, asks for the events after the
 * last one it has, and passes them on. A connection that is silent is closed and opened again.
 * Owned by the I/O thread.
 */
public final class EndpointWatcher {
    private static final Logger LOG = Logger.getLogger(EndpointWatcher.class.getName());

    /**
     * An empty frame comes each second: with two missing, another connection is opened. Updates
     * must be in force within 7 s.
     */
    private static final long SILENCE_TIMEOUT_MS = 2_300;

    private static final long CONNECT_TIMEOUT_MS = 1_000;

    /**
     * A connection is established in a few ms; a first packet that is lost is sent again only after
     * 1 s.
     */
    private static final long NEXT_ATTEMPT_MS = 150;

    private static final long RECONNECT_DELAY_MS = 200;

    /** At most so many at once: started well before the first is cancelled, and few descriptors. */
    private static final int MAX_PARALLEL_ATTEMPTS = 5;

    /**
     * From the start until the configuration's own list is acted on, where the coordinator sends
     * nothing: it does so at once.
     */
    private static final long CONFIRM_TIMEOUT_MS = 1_000;

    /** Engines that a line of the log names. */
    private static final int MAX_LOGGED_ENDPOINTS = 8;

    private final XnioIoThread io;
    private final Counters counters;
    private final ServerEvents events;
    private final ActionGuard guard;
    private final EndpointParser parser;
    private final TickClock clock;
    private InetSocketAddress coordinator;

    /** When the configuration in force named its coordinator; for the log. */
    private long configuredAt;

    private boolean dataReceived;

    /** The list was confirmed since the start, or is acted on as it is. */
    private boolean confirmed;

    private final ByteBuffer buffer = ByteBuffer.allocate(16 * 1024);
    private long lastEventNumber;
    private StreamConnection connection;
    private FrameDecoder frameDecoder;
    private XnioExecutor.Key silenceTimer;
    private XnioExecutor.Key reconnectTimer;

    /**
     * Grows with each connection that is closed: only an attempt to connect of the present round
     * counts, and only the first of those that succeeds.
     */
    private long connectionRound;

    private boolean closed;

    public EndpointWatcher(
            XnioIoThread io,
            TickClock clock,
            Counters counters,
            ServerEvents events,
            ActionGuard guard,
            ManagerConfig config) {
        this.io = io;
        this.counters = counters;
        this.events = events;
        this.guard = guard;
        this.clock = clock;
        parser = new EndpointParser(clock, config.settings());
    }

    /**
     * Passes on the endpoints that a configuration names and that are not known yet, then follows
     * its coordinator. Another configuration may come later: its coordinator may be elsewhere, so
     * the old connection is closed at once. Event numbers go on.
     */
    public void follow(ManagerConfig config) {
        configuredAt = clock.now();
        dataReceived = false;
        try {
            if (config.initialEndpoints().get("updates") instanceof List<?> updates) {
                for (Object update : updates) {
                    applyKnownUpdate((Map<?, ?>) update);
                }
            }
            Object index = config.initialEndpoints().get("index");
            lastEventNumber =
                    Math.max(
                            lastEventNumber,
                            index == null ? 0 : Long.parseLong(String.valueOf(index)));
        } catch (RuntimeException exception) {
            counters.count("malformed initial endpoint lists");
            LOG.warning("initial endpoints unreadable cause=" + exception.getMessage());
        }
        if (coordinator == null) {
            guard.executeAfter(CONFIRM_TIMEOUT_MS, this::confirm);
        }
        coordinator = config.coordinatorAddress();
        closeConnection();
        connect();
    }

    /**
     * Whether the list may be acted on. A manager that was down starts with a list from before
     * that, and would send to engines that were told to drain meanwhile.
     */
    public boolean isConfirmed() {
        return confirmed || coordinator == null;
    }

    private void confirm() {
        if (!confirmed) {
            confirmed = true;
            events.onEndpointsConfirmed();
        }
    }

    private void applyKnownUpdate(Map<?, ?> update) {
        if (Long.parseLong(String.valueOf(update.get("index"))) <= lastEventNumber) {
            return;
        }
        Map<?, ?> endpoints = (Map<?, ?>) update.get("endpoints");
        boolean snapshot = "true".equals(String.valueOf(endpoints.get("reset")));
        events.onEndpointsUpdated(
                snapshot ? Kind.SNAPSHOT : Kind.DELTA,
                parser.parse((List<?>) endpoints.get("instances")));
        lastEventNumber = Long.parseLong(String.valueOf(update.get("index")));
    }

    private void connect() {
        reconnectTimer = null;
        if (closed || coordinator == null) {
            return;
        }
        openConnection(connectionRound, 1);
    }

    /**
     * Opens a connection, and another beside it where the first is slow to come up: a first packet
     * that is lost is sent again only after a second, in which this manager would send to engines
     * that drain.
     */
    private void openConnection(long round, int attempt) {
        if (round != connectionRound || connection != null) {
            return;
        }
        IoFuture<? extends StreamConnection> connectFuture =
                io.openStreamConnection(coordinator, null, OptionMap.EMPTY);
        XnioExecutor.Key connectTimeout =
                guard.executeAfter(CONNECT_TIMEOUT_MS, connectFuture::cancel);
        XnioExecutor.Key nextAttempt =
                attempt >= MAX_PARALLEL_ATTEMPTS
                        ? null
                        : io.executeAfter(
                                () -> openConnection(round, attempt + 1),
                                NEXT_ATTEMPT_MS,
                                TimeUnit.MILLISECONDS);
        connectFuture.addNotifier(
                (future, none) ->
                        io.execute(
                                () -> {
                                    connectTimeout.remove();
                                    boolean done = future.getStatus() == IoFuture.Status.DONE;
                                    if (round != connectionRound || closed || connection != null) {
                                        // Another coordinator is followed meanwhile, or another
                                        // attempt was faster.
                                        IoUtils.safeClose(done ? result(future) : null);
                                    } else if (done) {
                                        onConnected(result(future));
                                    } else if (attempt == 1) {
                                        nextAttempt.remove();
                                        counters.count("coordinator not reached");
                                        scheduleReconnect();
                                    }
                                }),
                null);
    }

    private static StreamConnection result(IoFuture<? extends StreamConnection> done) {
        try {
            return done.get();
        } catch (IOException exception) {
            throw new IllegalStateException(exception);
        }
    }

    private void scheduleReconnect() {
        long round = ++connectionRound;
        reconnectTimer =
                io.executeAfter(
                        () -> {
                            if (round == connectionRound) {
                                connect();
                            }
                        },
                        RECONNECT_DELAY_MS,
                        TimeUnit.MILLISECONDS);
    }

    private void onConnected(StreamConnection newConnection) {
        connection = newConnection;
        InterruptedCalls.shield(connection);
        try {
            frameDecoder = new FrameDecoder();
            ByteBuffer subscription = ByteBuffer.allocate(Long.BYTES).putLong(0, lastEventNumber);
            while (subscription.hasRemaining()) {
                // Eight bytes on a new connection always fit.
                connection.getSinkChannel().write(subscription);
            }
            connection.getSinkChannel().flush();
            connection.getSourceChannel().setReadListener(this::onReadable);
            connection.getSourceChannel().resumeReads();
            restartSilenceTimer();
        } catch (IOException exception) {
            onConnectionLost();
        }
    }

    private void restartSilenceTimer() {
        if (silenceTimer != null) {
            silenceTimer.remove();
        }
        silenceTimer = guard.executeAfter(SILENCE_TIMEOUT_MS, this::onConnectionLost);
    }

    private void onConnectionLost() {
        LOG.info(
                () ->
                        "coordinator connection lost address="
                                + coordinator
                                + " lastEvent="
                                + lastEventNumber);
        closeConnection();
        counters.count("coordinator connections lost");
        scheduleReconnect();
    }

    /** Closes the connection, and cancels its timers. */
    private void closeConnection() {
        connectionRound++;
        for (XnioExecutor.Key timer : Arrays.asList(silenceTimer, reconnectTimer)) {
            if (timer != null) {
                timer.remove();
            }
        }
        silenceTimer = null;
        reconnectTimer = null;
        IoUtils.safeClose(connection);
        connection = null;
    }

    private void onReadable(ConduitStreamSourceChannel source) {
        try {
            while (source.isOpen()) {
                buffer.clear();
                int bytesRead = source.read(buffer);
                if (bytesRead == 0) {
                    return;
                }
                if (bytesRead < 0) {
                    onConnectionLost();
                    return;
                }
                restartSilenceTimer();
                if (!dataReceived) {
                    dataReceived = true;
                    long sinceConfigured = clock.now() - configuredAt;
                    LOG.info(
                            () ->
                                    "coordinator connected address="
                                            + coordinator
                                            + " sinceConfiguredMs="
                                            + sinceConfigured / 10);
                }
                for (FrameDecoder.Frame frame : frameDecoder.decode(buffer.flip())) {
                    applyFrame(frame);
                }
                if (!frameDecoder.hasPartialFrame()) {
                    confirm();
                }
            }
        } catch (IOException exception) {
            LOG.warning("coordinator connection closed cause=" + exception.getMessage());
            counters.count("malformed or broken endpoint streams");
            onConnectionLost();
        }
    }

    private void applyFrame(FrameDecoder.Frame frame) throws IOException {
        if (frame.type() == 0 || frame.eventNumber() <= lastEventNumber) {
            return;
        }
        if (frame.type() > 2) {
            throw new IOException("a frame of kind " + frame.type());
        }
        List<ServerEvents.DiscoveredEndpoint> endpoints = parser.parse(frame.payload());
        // Few in a run, and what a drain that was not kept is traced by.
        LOG.info(() -> describe(frame.eventNumber(), endpoints));
        events.onEndpointsUpdated(frame.type() == 1 ? Kind.SNAPSHOT : Kind.DELTA, endpoints);
        lastEventNumber = frame.eventNumber();
        counters.count("endpoint updates");
    }

    private static String describe(
            long eventNumber, List<ServerEvents.DiscoveredEndpoint> endpoints) {
        return "endpoints updated event="
                + eventNumber
                + " count="
                + endpoints.size()
                + " endpoints="
                + endpoints.stream()
                        .limit(MAX_LOGGED_ENDPOINTS)
                        .map(endpoint -> endpoint.id() + ":" + endpoint.lifecycle())
                        .toList();
    }

    /** Ends the connection for good. */
    public void close() {
        closed = true;
        closeConnection();
    }
}
