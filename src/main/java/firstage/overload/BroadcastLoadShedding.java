package firstage.overload;

import firstage.policy.api.DemandHistogram;
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
    public static final long LOOK = 1_000;

    private static final long TELL =
            2_500; // a cut that is a quarter of a second old; half of it would tell no more
    private static final long HERE =
            30_000; // a manager that told nothing so long is taken to be gone
    private static final double STIR =
            0.4; // of what engines bear: under it all is open whatever the others tell
    private final int me;
    private final LoadSheddingLevel level;
    private final Map<Integer, Long> heardAt = new HashMap<>();
    private long toldAt = Long.MIN_VALUE / 4;
    private int here = -1;

    /** {@code me}: its number among the managers; {@code goal}: the shortest of a service group. */
    public BroadcastLoadShedding(int me, long goal, LoadSheddingLevel.Effects effects) {
        this.me = me;
        level =
                new LoadSheddingLevel(
                        String.valueOf(me), goal, effects, LoadSheddingLevel.Fault.NONE);
    }

    /**
     * Works out the cut, to be called each {@link #LOOK}; what all are to be told now, empty for
     * nothing.
     */
    public byte[] look(long now, DemandHistogram demand) {
        heardAt.values().removeIf(at -> now - at >= HERE);
        if (heardAt.size() != here) {
            viewed();
        }
        level.measure(now, demand);
        level.look(now);
        boolean stirs =
                demand.runningThreads() > STIR * demand.threadCapacity() / (heardAt.size() + 1)
                        || demand.waitingWork() > 0;
        if (!stirs || now - toldAt < TELL) {
            return new byte[0];
        }
        toldAt = now;
        return OverloadDigest.write(List.of(), level.rows(now, 1));
    }

    private void viewed() {
        here = heardAt.size();
        List<String> names = new ArrayList<>(List.of(String.valueOf(me)));
        heardAt.keySet().forEach(by -> names.add(String.valueOf(by)));
        level.viewed(names);
    }

    /** Another told all; what can't be read says nothing. */
    public void heard(long now, int by, byte[] words) {
        heardAt.put(by, now);
        if (heardAt.size() != here) {
            viewed();
        }
        level.heard(now, OverloadDigest.read(words).rows());
    }
}
