package firstage.server.client;

import firstage.server.Counters;
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
 * The clients' open connections, never more than their part of the file descriptors. With none left
 * XNIO stops accepting for a quarter of a second and longer, and a request that waits unseen
 * meanwhile is overtaken by the next of its key. So one connection too many closes the one that was
 * silent longest, and never one with an open call. Owned by the I/O thread.
 */
final class ClientConnections {
    /**
     * A client that connects sends its call at once; a connection without one is closed after this.
     */
    private static final long MAX_SILENT_MS = 2_000;

    /** Clients close their idle connections after 4 s; older ones are abandoned. */
    private static final long MAX_IDLE_MS = 5_000;

    private static final long SWEEP_PERIOD_MS = 250;
    private final XnioIoThread io;
    private final Counters counters;
    private final int limit;

    /** All connections, and when each was opened. */
    private final Map<StreamConnection, Long> openedAtMs = new HashMap<>();

    /** Connections that never made a call, and those between calls; oldest first. */
    private final Map<StreamConnection, Long> silentSinceMs = new LinkedHashMap<>();

    private final Map<StreamConnection, Long> idleSinceMs = new LinkedHashMap<>();

    /** What is called when a connection closes; at most one a connection. */
    private final Map<StreamConnection, Runnable> closeListeners = new HashMap<>();

    ClientConnections(XnioIoThread io, Counters counters, int limit) {
        this.io = io;
        this.counters = counters;
        this.limit = limit;
    }

    /** Adds a connection, and may close another for it; false where all have open calls. */
    boolean tryAdd(StreamConnection connection) {
        if (openedAtMs.size() >= limit && !closeLeastRecent()) {
            counters.count("client connections refused");
            IoUtils.safeClose(connection);
            return false;
        }
        openedAtMs.put(connection, nowMs());
        silentSinceMs.put(connection, nowMs());
        counters.peak("max client connections", openedAtMs.size());
        return true;
    }

    /** Removes the connection when it closes; listeners that it has are called, too. */
    void watchClose(StreamConnection connection) {
        if (!connection.isOpen()) {
            remove(connection);
            return;
        }
        ChannelListener<? super StreamConnection> previousListener = connection.getCloseListener();
        connection.setCloseListener(
                end -> {
                    remove(connection);
                    if (previousListener != null) {
                        previousListener.handleEvent(end);
                    }
                });
    }

    /** The connection has an open call from here on. */
    void onCallStarted(StreamConnection connection) {
        silentSinceMs.remove(connection);
        idleSinceMs.remove(connection);
    }

    /** The age of the connection in ms. */
    long ageMs(StreamConnection connection) {
        return nowMs() - openedAtMs.getOrDefault(connection, nowMs());
    }

    /** The connection has no open call any more. */
    void onCallEnded(StreamConnection connection) {
        if (openedAtMs.containsKey(connection)) {
            idleSinceMs.put(connection, nowMs());
        }
    }

    private void remove(StreamConnection connection) {
        openedAtMs.remove(connection);
        silentSinceMs.remove(connection);
        idleSinceMs.remove(connection);
        Runnable listener = closeListeners.remove(connection);
        if (listener != null) {
            listener.run();
        }
    }

    /** Calls back once, when the connection closes; replaces what was to be called before. */
    void onClose(StreamConnection connection, Runnable listener) {
        closeListeners.put(connection, listener);
    }

    /** Does not call back. */
    void removeCloseListener(StreamConnection connection) {
        closeListeners.remove(connection);
    }

    /**
     * Closes all connections without an open call. What they hold is read first: a call that came
     * is open then, and its connection stays.
     */
    void closeIdle() {
        for (Map<StreamConnection, Long> candidates : List.of(silentSinceMs, idleSinceMs)) {
            for (StreamConnection connection : List.copyOf(candidates.keySet())) {
                if (isStillSilent(connection, candidates)) {
                    close(connection);
                }
            }
        }
    }

    /** Closes the connection that was silent longest. */
    private boolean closeLeastRecent() {
        Map<StreamConnection, Long> candidates =
                silentSinceMs.isEmpty() ? idleSinceMs : silentSinceMs;
        for (StreamConnection connection : List.copyOf(candidates.keySet())) {
            if (isStillSilent(connection, candidates)) {
                counters.count("client connections closed for others");
                close(connection);
                return true;
            }
            if (openedAtMs.size() < limit) {
                return true;
            }
        }
        return false;
    }

    /**
     * Reads the connection before it is closed: timers and new connections may be handled before
     * what it wrote while the thread was stalled, and a call must not end without an answer.
     */
    private static boolean isStillSilent(
            StreamConnection connection, Map<StreamConnection, Long> candidates) {
        Long since = candidates.get(connection);
        readPending(connection);
        return since != null && since.equals(candidates.get(connection));
    }

    /** Reads what lies unread, as if the selector had found it. */
    static void readPending(StreamConnection connection) {
        ConduitStreamSourceChannel source = connection.getSourceChannel();
        ChannelListeners.invokeChannelListener(source, source.getReadListener());
    }

    private void close(StreamConnection connection) {
        remove(connection);
        IoUtils.safeClose(connection);
    }

    /** Closes connections that were silent for too long; runs on by itself. */
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
            if (isStillSilent(connection, candidates)) {
                counters.count(counter);
                close(connection);
            }
        }
    }

    private static long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
