package firstage.server.discovery;

import firstage.server.ActionGuard;
import firstage.server.Counters;
import firstage.server.InterruptSafeConduits;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
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
 * Connects to the coordinator and subscribes to its events. While nothing is received, it opens
 * further connections beside the first: whether a connection is broken or the coordinator is slow
 * can't be known, and a slow coordinator answers only connections that stay open. The first
 * connection with input is handed over and the others are closed. Owned by the I/O thread.
 */
final class CoordinatorConnector {
    private static final Logger LOG = Logger.getLogger(CoordinatorConnector.class.getName());

    private static final long CONNECT_TIMEOUT_MS = 1_000;

    /**
     * Delay before another connection attempt is started in parallel. A connection is established
     * in a few ms, but a lost first packet is sent again only after 1 s, in which this manager
     * would send statements to draining engines.
     */
    private static final long PARALLEL_ATTEMPT_DELAY_MS = 150;

    /**
     * Maximum number of parallel connection attempts. All of them start well before the first is
     * cancelled, and they use few file descriptors.
     */
    private static final int MAX_PARALLEL_ATTEMPTS = 5;

    /** Maximum number of subscribed connections that wait for their first input at a time. */
    private static final int MAX_SILENT_CONNECTIONS = 5;

    private static final long RECONNECT_DELAY_MS = 200;
    private static final int READ_BUFFER_BYTES = 16 * 1024;

    /** Takes over the first connection with input. */
    interface InputListener {
        /**
         * Called once for each {@link #connect}.
         *
         * @param input the bytes that were received first, ready to be read
         */
        void onFirstInput(StreamConnection connection, ByteBuffer input);
    }

    private final XnioIoThread io;
    private final Counters counters;
    private final ActionGuard guard;
    private final long silenceTimeoutMs;
    private final InputListener listener;
    private final List<StreamConnection> silentConnections = new ArrayList<>();
    private final ByteBuffer readBuffer = ByteBuffer.allocate(READ_BUFFER_BYTES);
    private InetSocketAddress coordinator;
    private long lastEventNumber;
    private XnioExecutor.Key silenceTimer;
    private XnioExecutor.Key reconnectTimer;

    /**
     * Incremented when connection attempts end: only attempts of the current generation count, and
     * only the first successful one is used.
     */
    private long generation;

    /**
     * Creates a connector that does not connect yet.
     *
     * @param silenceTimeoutMs time without input after which another connection is opened
     */
    CoordinatorConnector(
            XnioIoThread io,
            Counters counters,
            ActionGuard guard,
            long silenceTimeoutMs,
            InputListener listener) {
        this.io = io;
        this.counters = counters;
        this.guard = guard;
        this.silenceTimeoutMs = silenceTimeoutMs;
        this.listener = listener;
    }

    /** Connects, and subscribes to the events after the given one; ends what was begun before. */
    void connect(InetSocketAddress address, long afterEventNumber) {
        cancel();
        coordinator = address;
        lastEventNumber = afterEventNumber;
        startAttempt(generation, 1);
    }

    /** Connects as {@link #connect} does, after the reconnect delay. */
    void reconnect(InetSocketAddress address, long afterEventNumber) {
        cancel();
        coordinator = address;
        lastEventNumber = afterEventNumber;
        scheduleAttempt();
    }

    /** Closes the connections that were not handed over, and opens no others. */
    void cancel() {
        generation++;
        stop(silenceTimer);
        stop(reconnectTimer);
        silentConnections.forEach(IoUtils::safeClose);
        silentConnections.clear();
    }

    private static void stop(XnioExecutor.Key timer) {
        if (timer != null) {
            timer.remove();
        }
    }

    private void scheduleAttempt() {
        long scheduledGeneration = ++generation;
        reconnectTimer =
                io.executeAfter(
                        () -> startAttempt(scheduledGeneration, 1),
                        RECONNECT_DELAY_MS,
                        TimeUnit.MILLISECONDS);
    }

    /** Starts a connection attempt, and another one in parallel if it is slow. */
    private void startAttempt(long attemptGeneration, int attempt) {
        if (attemptGeneration != generation) {
            return;
        }
        IoFuture<? extends StreamConnection> connecting =
                io.openStreamConnection(coordinator, null, OptionMap.EMPTY);
        XnioExecutor.Key connectTimeout =
                guard.executeAfter(CONNECT_TIMEOUT_MS, connecting::cancel);
        XnioExecutor.Key nextAttempt =
                attempt >= MAX_PARALLEL_ATTEMPTS
                        ? null
                        : io.executeAfter(
                                () -> startAttempt(attemptGeneration, attempt + 1),
                                PARALLEL_ATTEMPT_DELAY_MS,
                                TimeUnit.MILLISECONDS);
        connecting.addNotifier(
                (future, attachment) ->
                        io.execute(
                                () -> {
                                    connectTimeout.remove();
                                    onAttemptEnded(future, attemptGeneration, attempt, nextAttempt);
                                }),
                null);
    }

    private void onAttemptEnded(
            IoFuture<? extends StreamConnection> attemptResult,
            long attemptGeneration,
            int attempt,
            XnioExecutor.Key nextAttempt) {
        boolean connected = attemptResult.getStatus() == IoFuture.Status.DONE;
        if (attemptGeneration != generation) {
            // Another attempt was faster, or its result is not needed any more.
            IoUtils.safeClose(connected ? connectionOf(attemptResult) : null);
        } else if (connected) {
            onConnected(connectionOf(attemptResult));
        } else if (attempt == 1) {
            nextAttempt.remove();
            counters.count("coordinator not reached");
            scheduleAttempt();
        }
    }

    private static StreamConnection connectionOf(IoFuture<? extends StreamConnection> done) {
        try {
            return done.get();
        } catch (IOException exception) {
            throw new IllegalStateException(exception);
        }
    }

    private void onConnected(StreamConnection connection) {
        generation++;
        InterruptSafeConduits.installOn(connection);
        try {
            subscribe(connection);
            silentConnections.add(connection);
            connection.getSourceChannel().setReadListener(source -> onInput(connection, source));
            connection.getSourceChannel().resumeReads();
            silenceTimer = guard.executeAfter(silenceTimeoutMs, this::onSilence);
        } catch (IOException exception) {
            IoUtils.safeClose(connection);
            counters.count("coordinator connections lost");
            scheduleAttempt();
        }
    }

    private void subscribe(StreamConnection connection) throws IOException {
        ByteBuffer subscription = ByteBuffer.allocate(Long.BYTES).putLong(0, lastEventNumber);
        while (subscription.hasRemaining()) {
            // Eight bytes always fit the send buffer of a new connection.
            connection.getSinkChannel().write(subscription);
        }
        connection.getSinkChannel().flush();
    }

    private void onSilence() {
        LOG.info(
                () ->
                        "coordinator silent address="
                                + coordinator
                                + " lastEvent="
                                + lastEventNumber);
        counters.count("coordinator connections silent");
        if (silentConnections.size() >= MAX_SILENT_CONNECTIONS) {
            IoUtils.safeClose(silentConnections.remove(0));
        }
        scheduleAttempt();
    }

    private void onInput(StreamConnection connection, ConduitStreamSourceChannel source) {
        int bytesRead;
        try {
            bytesRead = source.read(readBuffer.clear());
        } catch (IOException exception) {
            bytesRead = -1;
        }
        if (bytesRead > 0) {
            silentConnections.remove(connection);
            cancel();
            listener.onFirstInput(connection, readBuffer.flip());
        } else if (bytesRead < 0) {
            onClosed(connection);
        }
    }

    private void onClosed(StreamConnection connection) {
        counters.count("coordinator connections lost");
        IoUtils.safeClose(connection);
        silentConnections.remove(connection);
        if (silentConnections.isEmpty()) {
            stop(silenceTimer);
            scheduleAttempt();
        }
    }
}
