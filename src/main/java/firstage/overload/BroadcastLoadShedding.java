package firstage.overload;

import firstage.policy.api.DemandHistogram;
import firstage.util.Ticks;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Load shedding without a membership: each message goes to all managers, a manager that sent a
 * message recently counts as alive, and each manager sends only its own row. Times are in ticks.
 */
public final class BroadcastLoadShedding {
    /** Interval between two evaluations. */
    public static final long EVALUATION_INTERVAL = Ticks.ofMillis(100);

    /** Interval between two messages of a manager. */
    private static final long SEND_INTERVAL = Ticks.ofMillis(250);

    /** Time without a message after which a manager counts as dead. */
    private static final long PEER_TIMEOUT = Ticks.ofSeconds(3);

    /**
     * Fraction of its equal share of the thread capacity up to which a manager without waiting work
     * sends nothing.
     */
    private static final double MIN_LOAD = 0.4;

    private final int self;
    private final LoadSheddingLevel level;
    private final Map<Integer, Long> lastHeardAt = new HashMap<>();
    private long sentAt = Long.MIN_VALUE / 4;
    private int alivePeers = -1;

    /**
     * Creates the load shedding of one manager.
     *
     * @param self number of this manager
     * @param latencyObjective shortest latency objective of all traffic classes, in ticks
     */
    public BroadcastLoadShedding(int self, long latencyObjective, SheddingActions actions) {
        this.self = self;
        level =
                new LoadSheddingLevel(
                        String.valueOf(self),
                        latencyObjective,
                        actions,
                        LoadSheddingLevel.InjectedDefect.NONE);
    }

    /**
     * Computes the threshold; to be called once in each {@link #EVALUATION_INTERVAL}. Returns the
     * message to send to all managers, empty for none.
     */
    public byte[] evaluate(long now, DemandHistogram demand) {
        lastHeardAt.values().removeIf(at -> now - at >= PEER_TIMEOUT);
        if (lastHeardAt.size() != alivePeers) {
            updateView();
        }
        level.measure(now, demand);
        level.evaluate(now);
        boolean loaded =
                demand.runningThreads()
                                > MIN_LOAD * demand.threadCapacity() / (lastHeardAt.size() + 1)
                        || demand.waitingWork() > 0;
        if (!loaded || now - sentAt < SEND_INTERVAL) {
            return new byte[0];
        }
        sentAt = now;
        return OverloadDigest.encode(List.of(), level.rowsToSend(now, 1));
    }

    private void updateView() {
        alivePeers = lastHeardAt.size();
        List<String> names = new ArrayList<>(List.of(String.valueOf(self)));
        lastHeardAt.keySet().forEach(manager -> names.add(String.valueOf(manager)));
        level.onViewChanged(names);
    }

    /** Handles a message of another manager; malformed bytes are dropped. */
    public void onMessage(long now, int manager, byte[] digest) {
        lastHeardAt.put(manager, now);
        if (lastHeardAt.size() != alivePeers) {
            updateView();
        }
        level.onRows(now, OverloadDigest.decode(digest).rows());
    }
}
