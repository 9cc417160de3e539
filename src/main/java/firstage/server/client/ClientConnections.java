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
 * The clients' open connections: never more than their part of the descriptors. With none left XNIO
 * stops accepting for a quarter of a second and longer, and a batch that waits unseen meanwhile is
 * overtaken by the next of its key. So one more connection costs the one that was silent longest,
 * and never one with an open call.
 */
final class ClientConnections {
    /** A client that connects asks at once; what says nothing whole for so long is turned away. */
    private static final long MAX_SILENT_MS = 2_000;

    /** Clients close their idle connections after 4 s; one that is kept for longer is nobody's. */
    private static final long MAX_IDLE_MS = 5_000;

    private static final long SWEEP_PERIOD_MS = 250;
    private final XnioIoThread io;
    private final Counters counters;
    private final int limit;

    /** Each with when it was opened, in ms. */
    private final Map<StreamConnection, Long> openedAtMs = new HashMap<>();

    /**
     * Since when, in ms: those that never made a whole call, and those between calls; oldest first.
     */
    private final Map<StreamConnection, Long> silentSinceMs = new LinkedHashMap<>();

    private final Map<StreamConnection, Long> idleSinceMs = new LinkedHashMap<>();

    ClientConnections(XnioIoThread io, Counters counters, int limit) {
        this.io = io;
        this.counters = counters;
        this.limit = limit;
    }

    /** Takes a connection in, and may close another for it; false where all have open calls. */
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

    /** Its end is watched from here on; whoever listens for it already hears of it, too. */
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

    /** It has an open call from here on. */
    void onCallStarted(StreamConnection connection) {
        silentSinceMs.remove(connection);
        idleSinceMs.remove(connection);
    }

    /** How long it has been open, in ms. */
    long ageMs(StreamConnection connection) {
        return nowMs() - openedAtMs.getOrDefault(connection, nowMs());
    }

    /** Its call is over. */
    void onCallEnded(StreamConnection connection) {
        if (openedAtMs.containsKey(connection)) {
            idleSinceMs.put(connection, nowMs());
        }
    }

    private void remove(StreamConnection connection) {
        openedAtMs.remove(connection);
        silentSinceMs.remove(connection);
        idleSinceMs.remove(connection);
    }

    /** Closes the one that was silent longest. */
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
     * It is asked before it is closed: timers and new connections may come before what it wrote
     * while the thread stood still, and that is a call that is ours and must not end without an
     * answer.
     */
    private static boolean isStillSilent(
            StreamConnection connection, Map<StreamConnection, Long> candidates) {
        Long since = candidates.get(connection);
        ConduitStreamSourceChannel source = connection.getSourceChannel();
        ChannelListeners.invokeChannelListener(source, source.getReadListener());
        return since != null && since.equals(candidates.get(connection));
    }

    private void close(StreamConnection connection) {
        remove(connection);
        IoUtils.safeClose(connection);
    }

    /** Closes what was silent for too long; comes back by itself. */
    void sweep() {
        sweep(silentSinceMs, MAX_SILENT_MS, "mute client connections closed");
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
