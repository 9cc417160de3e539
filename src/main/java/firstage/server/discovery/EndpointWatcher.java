package firstage.server.discovery;

import firstage.config.ManagerConfig;
import firstage.policy.api.EndpointUpdate.Kind;
import firstage.server.ActionGuard;
import firstage.server.Counters;
import firstage.server.IoThreadMonitor;
import firstage.server.IoThreadMonitor.Step;
import firstage.server.SelectorPass;
import firstage.server.ServerEvents;
import firstage.server.TickClock;
import firstage.util.Ticks;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Watches the endpoint list: keeps a connection to the coordinator, subscribes to the events after
 * the last known one, and passes them on. A silent connection is closed and opened again. Owned by
 * the I/O thread.
 */
public final class EndpointWatcher {
    private static final Logger LOG = Logger.getLogger(EndpointWatcher.class.getName());

    /**
     * Time without input after which the connection is replaced. The coordinator sends an empty
     * frame each second, so two are missing by then. Updates must be in force within 7 s.
     */
    private static final long SILENCE_TIMEOUT_MS = 2_300;

    /**
     * Time after the start at which the configuration's own list is acted on if the coordinator has
     * sent nothing. A working coordinator sends its events at once.
     */
    private static final long CONFIRM_TIMEOUT_MS = 1_000;

    /**
     * Time after the start at which the list is acted on although updates that have arrived are
     * still being applied; a coordinator that never pauses must not keep requests waiting.
     */
    private static final long MAX_CONFIRM_TIMEOUT_MS = 5_000;

    /** Interval of checks whether the updates that had arrived by the timeout are applied. */
    private static final long CONFIRM_CHECK_INTERVAL_MS = 100;

    /** Time per selector pass in which updates are applied, exceeded by one update at most. */
    private static final long UPDATE_SLICE_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    /** Maximum number of endpoints that are listed in a log line. */
    private static final int MAX_LOGGED_ENDPOINTS = 8;

    private final Counters counters;
    private final ServerEvents events;
    private final ActionGuard guard;
    private final SelectorPass selectorPass;
    private final IoThreadMonitor monitor;
    private final EndpointParser parser;
    private final TickClock clock;
    private InetSocketAddress coordinator;

    /** Time at which the current configuration was applied; used in the log only. */
    private long configuredAt;

    private boolean dataReceived;

    /** Whether updates that have arrived wait for the next time slice. */
    private boolean updatesDeferred;

    /**
     * Whether an empty frame was applied on this connection. The coordinator sends it after the
     * events that were pending when the connection was opened.
     */
    private boolean pendingEventsApplied;

    /** Whether the coordinator confirmed the list since the start, or failed to do so in time. */
    private boolean confirmed;

    /** Frames of the current connection that are not applied yet. */
    private final ArrayDeque<FrameDecoder.Frame> receivedFrames = new ArrayDeque<>();

    private final ByteBuffer readBuffer = ByteBuffer.allocate(16 * 1024);
    private long lastEventNumber;
    private final CoordinatorConnector connector;

    /** The connection that has had input, or null. */
    private StreamConnection connection;

    private FrameDecoder frameDecoder;
    private XnioExecutor.Key silenceTimer;

    /** Incremented when a connection is closed; work that is left of it does not count. */
    private long connectionGeneration;

    private boolean closed;

    public EndpointWatcher(
            XnioIoThread io,
            TickClock clock,
            Counters counters,
            ServerEvents events,
            ActionGuard guard,
            SelectorPass selectorPass,
            IoThreadMonitor monitor,
            ManagerConfig config) {
        this.counters = counters;
        this.events = events;
        this.guard = guard;
        this.selectorPass = selectorPass;
        this.monitor = monitor;
        this.clock = clock;
        parser = new EndpointParser(clock, config.settings());
        connector =
                new CoordinatorConnector(
                        io, counters, guard, SILENCE_TIMEOUT_MS, this::onFirstInput);
    }

    /**
     * Passes on the updates in a configuration that are not known yet, then follows its
     * coordinator. After a reload of the configuration the coordinator may be another one, so the
     * old connection is closed at once; the numbering of events continues.
     */
    public void follow(ManagerConfig config) {
        configuredAt = clock.now();
        dataReceived = false;
        try {
            if (config.initialEndpoints().get("updates") instanceof List<?> updates) {
                for (Object update : updates) {
                    applyInitialUpdate((Map<?, ?>) update);
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
            guard.executeAfter(CONFIRM_TIMEOUT_MS, () -> onConfirmTimeout(CONFIRM_TIMEOUT_MS));
        }
        coordinator = config.coordinatorAddress();
        closeConnection();
        connect();
    }

    /**
     * Returns whether the list may be acted on. A manager that was down starts with an outdated
     * list, and would send statements to engines that began to drain in the meantime.
     */
    public boolean isConfirmed() {
        return confirmed || coordinator == null;
    }

    private void confirm() {
        if (!confirmed) {
            confirmed = true;
            LOG.info(() -> "endpoint list confirmed lastEvent=" + lastEventNumber);
            events.onEndpointsConfirmed();
        }
    }

    /**
     * Acts on the list as it is: requests must not wait for a coordinator that can't be reached.
     * Updates that were pending at the start are applied first, since a drain may be among them;
     * later ones, which may follow without a pause, are not waited for.
     */
    private void onConfirmTimeout(long waitedMs) {
        if (pendingEventsApplied) {
            confirm();
        } else if (updatesDeferred && waitedMs < MAX_CONFIRM_TIMEOUT_MS) {
            guard.executeAfter(
                    CONFIRM_CHECK_INTERVAL_MS,
                    () -> onConfirmTimeout(waitedMs + CONFIRM_CHECK_INTERVAL_MS));
        } else if (!confirmed) {
            confirmed = true;
            counters.count("endpoint lists unconfirmed");
            LOG.warning("endpoint list not confirmed in time lastEvent=" + lastEventNumber);
            events.onEndpointsConfirmed();
        }
    }

    private void applyInitialUpdate(Map<?, ?> update) {
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
        if (!closed && coordinator != null) {
            connector.connect(coordinator, lastEventNumber);
        }
    }

    private void onFirstInput(StreamConnection newConnection, ByteBuffer input) {
        connection = newConnection;
        frameDecoder = new FrameDecoder();
        try {
            onReceived(input);
            connection.getSourceChannel().setReadListener(this::onReadable);
            onReadable(connection.getSourceChannel());
        } catch (IOException exception) {
            onStreamBroken(exception);
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
        connector.reconnect(coordinator, lastEventNumber);
    }

    /** Closes the connection, and cancels its timers. */
    private void closeConnection() {
        connectionGeneration++;
        connector.cancel();
        if (silenceTimer != null) {
            silenceTimer.remove();
        }
        silenceTimer = null;
        receivedFrames.clear();
        updatesDeferred = false;
        pendingEventsApplied = false;
        IoUtils.safeClose(connection);
        connection = null;
    }

    private void onReadable(ConduitStreamSourceChannel source) {
        long startedAtNanos = monitor.begin(Step.ENDPOINT_UPDATES);
        int updates = 0;
        try {
            while (connection != null && source.isOpen()) {
                if (System.nanoTime() - startedAtNanos >= UPDATE_SLICE_NANOS) {
                    continueInNextPass(source);
                    return;
                }
                if (!receivedFrames.isEmpty()) {
                    applyFrame(receivedFrames.poll());
                    updates++;
                } else if (!readMore(source)) {
                    return;
                }
            }
        } catch (IOException exception) {
            onStreamBroken(exception);
        } finally {
            monitor.end(Step.ENDPOINT_UPDATES, startedAtNanos, updates);
        }
    }

    private void onStreamBroken(IOException cause) {
        LOG.warning("coordinator connection closed cause=" + cause.getMessage());
        counters.count("malformed or broken endpoint streams");
        onConnectionLost();
    }

    /**
     * Reads and decodes the next bytes; returns whether there were any. The list is confirmed only
     * when nothing is left to read: a drain may be in the next piece, and an evaluation may run
     * before the next selector pass.
     */
    private boolean readMore(ConduitStreamSourceChannel source) throws IOException {
        readBuffer.clear();
        int bytesRead = source.read(readBuffer);
        if (bytesRead < 0) {
            onConnectionLost();
            return false;
        }
        if (bytesRead == 0) {
            updatesDeferred = false;
            confirmIfComplete();
            return false;
        }
        onReceived(readBuffer.flip());
        return true;
    }

    private void onReceived(ByteBuffer input) throws IOException {
        restartSilenceTimer();
        logFirstData();
        receivedFrames.addAll(frameDecoder.decode(input));
    }

    /**
     * Continues after the time slice. The selector reports only input that is not read yet, so it
     * can't be relied on to continue with frames or to confirm the list.
     */
    private void continueInNextPass(ConduitStreamSourceChannel source) {
        counters.count("endpoint updates deferred");
        updatesDeferred = true;
        source.suspendReads();
        long generation = connectionGeneration;
        selectorPass.runAfterNext(
                () -> {
                    if (generation == connectionGeneration) {
                        // The coordinator is not silent while its updates are applied.
                        restartSilenceTimer();
                        source.resumeReads();
                        onReadable(source);
                    }
                });
    }

    private void confirmIfComplete() {
        if (dataReceived && !frameDecoder.hasPartialFrame()) {
            confirm();
        }
    }

    private void logFirstData() {
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
    }

    private void applyFrame(FrameDecoder.Frame frame) throws IOException {
        if (frame.type() == 0) {
            pendingEventsApplied = true;
            return;
        }
        if (frame.eventNumber() <= lastEventNumber) {
            return;
        }
        if (frame.type() > 2) {
            throw new IOException("unknown frame type " + frame.type());
        }
        List<ServerEvents.DiscoveredEndpoint> endpoints = parser.parse(frame.payload());
        // Updates are rare; the log shows which drain was known when a statement was sent.
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
                        .map(EndpointWatcher::describe)
                        .toList();
    }

    private static String describe(ServerEvents.DiscoveredEndpoint endpoint) {
        return endpoint.id()
                + ":"
                + endpoint.lifecycle()
                + ":"
                + endpoint.name()
                + ":"
                + endpoint.address().getHostString()
                + ":"
                + endpoint.address().getPort()
                + ":startedAtMs="
                + Ticks.toMillis(endpoint.startedAt());
    }

    /** Closes the connection and opens no other. */
    public void close() {
        closed = true;
        closeConnection();
    }
}
