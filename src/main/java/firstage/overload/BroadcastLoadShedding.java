package firstage.overload;

import firstage.policy.api.DemandHistogram;
import firstage.util.Ticks;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The level where each message goes to all and nobody keeps a membership: who was heard of late is
 * here, and each tells its own row alone. Times are tenths of a millisecond.
 */
public final class BroadcastLoadShedding {
    /** Between two looks. */
    public static final long EVALUATION_INTERVAL = Ticks.ofMillis(100);

    private static final long SEND_INTERVAL =
            Ticks.ofMillis(
                    250); // a cut that is a quarter of a second old; half of it would tell no more
    private static final long PEER_TIMEOUT =
            Ticks.ofSeconds(3); // a manager that told nothing so long is taken to be gone
    private static final double MIN_LOAD =
            0.4; // of what engines bear: under it all is open whatever the others tell
    private final int self;
    private final LoadSheddingLevel level;
    private final Map<Integer, Long> lastHeardAt = new HashMap<>();
    private long sentAt = Long.MIN_VALUE / 4;
    private int alivePeers = -1;

    /**
     * {@code self}: its number among the managers; {@code goal}: the shortest of a service group.
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
     * Works out the cut, to be called each {@link #EVALUATION_INTERVAL}; what all are to be told
     * now, empty for nothing.
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

    /** Another told all; what can't be read says nothing. */
    public void onMessage(long now, int manager, byte[] digest) {
        lastHeardAt.put(manager, now);
        if (lastHeardAt.size() != alivePeers) {
            updateView();
        }
        level.onRows(now, OverloadDigest.decode(digest).rows());
    }
}
