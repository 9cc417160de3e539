package firstage.server.client;

import firstage.server.Counters;
import firstage.server.EventLog;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * The clients' open connections, limited to their share of the file descriptors. Without a free
 * descriptor no connection can be accepted (XNIO's own servers then pause for 0.25 s and longer),
 * and a request that waits in that time is overtaken by the next one of its ordering key. At the
 * limit, a new connection therefore closes the one that has been without a call for longest, but
 * never one with an open call. Owned by the I/O thread.
 */
final class ClientConnections {
    /** Time after which a connection is closed if it has carried no call; clients call at once. */
    private static final long MAX_SILENT_MS = 2_000;

    /**
     * Time from its last call until a connection is closed. Clients close their idle connections
     * after 4 s, so one that is idle for longer is abandoned.
     */
    private static final long MAX_IDLE_MS = 5_000;

    private static final long SWEEP_PERIOD_MS = 250;

    /** An open connection: when it was opened, and its input. */
    private record OpenConnection(long openedAtMs, ClientInput input) {}

    private final XnioIoThread io;
    private final Counters counters;
    private final int limit;
    private final Map<StreamConnection, OpenConnection> openConnections = new HashMap<>();

    /** Connections that have not carried a call yet, and since when; oldest first. */
    private final Map<StreamConnection, Long> silentSinceMs = new LinkedHashMap<>();

    /** Connections between two calls, and since when; oldest first. */
    private final Map<StreamConnection, Long> idleSinceMs = new LinkedHashMap<>();

    /** Listeners to call when a connection closes, at most one for each. */
    private final Map<StreamConnection, Runnable> closeListeners = new HashMap<>();

    ClientConnections(XnioIoThread io, Counters counters, int limit) {
        this.io = io;
        this.counters = counters;
        this.limit = limit;
    }

    /** Returns whether another connection can be added without closing one for it. */
    boolean hasRoom() {
        return openConnections.size() < limit;
    }

    /** Returns whether more than half of the possible connections are open. */
    boolean isCrowded() {
        return openConnections.size() > limit / 2;
    }

    /**
     * Adds a connection; at the limit, closes another one for it. If none can be closed, closes the
     * new connection and returns false.
     */
    boolean tryAdd(StreamConnection connection, ClientInput input) {
        if (!hasRoom() && !closeLongestWithoutCall()) {
            counters.count("client connections refused");
            logClosed(connection, "no room");
            IoUtils.safeClose(connection);
            return false;
        }
        openConnections.put(connection, new OpenConnection(nowMs(), input));
        silentSinceMs.put(connection, nowMs());
        counters.recordMax("max client connections", openConnections.size());
        return true;
    }

    /** Removes the connection when it closes; its existing close listener is called, too. */
    void watchClose(StreamConnection connection) {
        if (!connection.isOpen()) {
            remove(connection);
            return;
        }
        ChannelListener<? super StreamConnection> previousListener = connection.getCloseListener();
        connection.setCloseListener(
                closed -> {
                    remove(connection);
                    if (previousListener != null) {
                        previousListener.handleEvent(closed);
                    }
                });
    }

    /** Records that a call began on the connection. */
    void onCallStarted(StreamConnection connection) {
        silentSinceMs.remove(connection);
        idleSinceMs.remove(connection);
    }

    /** Returns the age of the connection in ms. */
    long ageMs(StreamConnection connection) {
        OpenConnection open = openConnections.get(connection);
        return open == null ? 0 : nowMs() - open.openedAtMs;
    }

    /** Returns the input of a connection that has an open call. */
    ClientInput input(StreamConnection connection) {
        return openConnections.get(connection).input;
    }

    /** Records that the call on the connection ended. */
    void onCallEnded(StreamConnection connection) {
        if (openConnections.containsKey(connection)) {
            idleSinceMs.put(connection, nowMs());
        }
    }

    private void remove(StreamConnection connection) {
        openConnections.remove(connection);
        silentSinceMs.remove(connection);
        idleSinceMs.remove(connection);
        Runnable listener = closeListeners.remove(connection);
        if (listener != null) {
            listener.run();
        }
    }

    /** Sets the listener that is called once when the connection closes; replaces another one. */
    void setCloseListener(StreamConnection connection, Runnable listener) {
        closeListeners.put(connection, listener);
    }

    /** Removes the listener that was set with {@link #setCloseListener}, without calling it. */
    void removeCloseListener(StreamConnection connection) {
        closeListeners.remove(connection);
    }

    /**
     * Closes all connections without an open call. Pending input is read first, so a connection on
     * which a call has arrived stays open.
     */
    void closeIdle() {
        for (Map<StreamConnection, Long> candidates : List.of(silentSinceMs, idleSinceMs)) {
            for (StreamConnection connection : List.copyOf(candidates.keySet())) {
                if (isStillWithoutCall(connection, candidates)) {
                    close(connection, "shutdown");
                }
            }
        }
    }

    /**
     * Closes the connection that was without a call for longest, unless another one closes while it
     * is read. Returns whether there is room for another connection.
     */
    private boolean closeLongestWithoutCall() {
        Map<StreamConnection, Long> candidates =
                silentSinceMs.isEmpty() ? idleSinceMs : silentSinceMs;
        for (StreamConnection connection : List.copyOf(candidates.keySet())) {
            if (isStillWithoutCall(connection, candidates)) {
                counters.count("client connections closed for others");
                close(connection, "room for another");
                return true;
            }
            if (openConnections.size() < limit) {
                return true;
            }
        }
        return false;
    }

    /**
     * Reads pending input and returns whether the connection still has no call and may be closed.
     * After a stall of the thread, timers and new connections may be handled before input that
     * arrived earlier, and closing the connection would leave a call without an answer.
     */
    private boolean isStillWithoutCall(
            StreamConnection connection, Map<StreamConnection, Long> candidates) {
        Long since = candidates.get(connection);
        readPending(connection);
        return since != null && since.equals(candidates.get(connection));
    }

    /** Reads pending input as if the selector had reported it. */
    void readPending(StreamConnection connection) {
        OpenConnection open = openConnections.get(connection);
        if (open != null) {
            open.input.allowFirstRead();
        }
        ConduitStreamSourceChannel source = connection.getSourceChannel();
        ChannelListeners.invokeChannelListener(source, source.getReadListener());
    }

    private void close(StreamConnection connection, String cause) {
        logClosed(connection, cause);
        remove(connection);
        IoUtils.safeClose(connection);
    }

    private void logClosed(StreamConnection connection, String cause) {
        counters.eventLog()
                .log(
                        EventLog.Category.CONNECTIONS,
                        () ->
                                "client connection closed peer="
                                        + connection.getPeerAddress()
                                        + " cause="
                                        + cause);
    }

    /** Closes connections that were without a call for too long; repeats itself periodically. */
    void sweep() {
        sweep(silentSinceMs, MAX_SILENT_MS, "silent client connections closed");
        sweep(idleSinceMs, MAX_IDLE_MS, "idle client connections closed");
        io.executeAfter(this::sweep, SWEEP_PERIOD_MS, TimeUnit.MILLISECONDS);
    }

    private void sweep(Map<StreamConnection, Long> candidates, long maxAgeMs, String counter) {
        while (!candidates.isEmpty()) {
            Map.Entry<StreamConnection, Long> oldest = candidates.entrySet().iterator().next();
            if (nowMs() - oldest.getValue() <= maxAgeMs) {
                return;
            }
            StreamConnection connection = oldest.getKey();
            if (isStillWithoutCall(connection, candidates)) {
                counters.count(counter);
                close(connection, "without a call for too long");
            }
        }
    }

    private static long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
