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
    private static final long MOST_MUTE_MS = 2_000;

    /** Clients close their idle connections after 4 s; one that is kept for longer is nobody's. */
    private static final long MOST_IDLE_MS = 5_000;

    private static final long SWEEP_MS = 250;
    private final XnioIoThread io;
    private final Counters counters;
    private final int most;

    /** Each with when it was opened, in ms. */
    private final Map<StreamConnection, Long> all = new HashMap<>();

    /**
     * Since when, in ms: those that never made a whole call, and those between calls; oldest first.
     */
    private final Map<StreamConnection, Long> mute = new LinkedHashMap<>();

    private final Map<StreamConnection, Long> idle = new LinkedHashMap<>();

    ClientConnections(XnioIoThread io, Counters counters, int most) {
        this.io = io;
        this.counters = counters;
        this.most = most;
    }

    /** Takes a connection in, and may close another for it; false where all have open calls. */
    boolean opens(StreamConnection c) {
        if (all.size() >= most && !makeRoom()) {
            counters.count("client connections turned away");
            IoUtils.safeClose(c);
            return false;
        }
        all.put(c, now());
        mute.put(c, now());
        counters.peak("most client connections", all.size());
        return true;
    }

    /** Its end is watched from here on; whoever listens for it already hears of it, too. */
    void watch(StreamConnection c) {
        if (!c.isOpen()) {
            closed(c);
            return;
        }
        ChannelListener<? super StreamConnection> other = c.getCloseListener();
        c.setCloseListener(
                end -> {
                    closed(c);
                    if (other != null) {
                        other.handleEvent(end);
                    }
                });
    }

    /** It has an open call from here on. */
    void calls(StreamConnection c) {
        mute.remove(c);
        idle.remove(c);
    }

    /** How long it has been open, in ms. */
    long age(StreamConnection c) {
        return now() - all.getOrDefault(c, now());
    }

    /** Its call is over. */
    void rests(StreamConnection c) {
        if (all.containsKey(c)) {
            idle.put(c, now());
        }
    }

    private void closed(StreamConnection c) {
        all.remove(c);
        mute.remove(c);
        idle.remove(c);
    }

    /** Closes the one that was silent longest. */
    private boolean makeRoom() {
        Map<StreamConnection, Long> silent = mute.isEmpty() ? idle : mute;
        for (StreamConnection c : List.copyOf(silent.keySet())) {
            if (saysNothing(c, silent)) {
                counters.count("client connections closed for others");
                end(c);
                return true;
            }
            if (all.size() < most) {
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
    private static boolean saysNothing(StreamConnection c, Map<StreamConnection, Long> silent) {
        Long since = silent.get(c);
        ConduitStreamSourceChannel source = c.getSourceChannel();
        ChannelListeners.invokeChannelListener(source, source.getReadListener());
        return since != null && since.equals(silent.get(c));
    }

    private void end(StreamConnection c) {
        closed(c);
        IoUtils.safeClose(c);
    }

    /** Closes what was silent for too long; comes back by itself. */
    void sweep() {
        sweep(mute, MOST_MUTE_MS, "mute client connections closed");
        sweep(idle, MOST_IDLE_MS, "idle client connections closed");
        io.executeAfter(this::sweep, SWEEP_MS, TimeUnit.MILLISECONDS);
    }

    private void sweep(Map<StreamConnection, Long> silent, long atMost, String what) {
        while (!silent.isEmpty()) {
            Map.Entry<StreamConnection, Long> oldest = silent.entrySet().iterator().next();
            if (now() - oldest.getValue() <= atMost) {
                return;
            }
            StreamConnection c = oldest.getKey();
            if (saysNothing(c, silent)) {
                counters.count(what);
                end(c);
            }
        }
    }

    private static long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
