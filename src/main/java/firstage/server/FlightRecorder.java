package firstage.server;

import java.util.ArrayList;
import java.util.List;
import java.util.logging.Logger;

/**
 * The last things that happened to batches with a key, and the thread's stalls, in a ring of fixed
 * size: written to the log when something that must hold does not. It costs a few stores an event,
 * and no line until it is needed.
 */
public final class FlightRecorder {
    /** What happened; the two figures beside it are as said. */
    public enum What {
        /** Read whole: ms since its connection was opened. */
        READ,
        /** Told to the decisions: 1 where its turn is known. */
        TOLD,
        /** Sent by the decisions: number, engine. */
        DISPATCHED,
        /** The statement goes onto the wire: number, engine. */
        WRITTEN,
        /** An answer of its engine: number, status. */
        ANSWERED,
        /** A call to its engine failed: number, place in {@code Call.Failure}. */
        LOST,
        /** A dispatch is over: place in {@code Outcome}, how long its engine may hold it in ms. */
        ENDED,
        /** The client has its answer, or left. */
        OVER,
        /** The thread came late: ms. */
        STALL
    }

    private static final Logger LOG = Logger.getLogger(FlightRecorder.class.getName());

    /** Some ten seconds of a manager in heavy traffic; 32 bytes each. */
    private static final int SIZE = 2_048;

    /** Between two dumps: one fault is told once, not with each of its consequences. */
    private static final long DUMP_GAP_NS = 10_000_000_000L;

    private final long[] times = new long[SIZE];
    private final What[] whats = new What[SIZE];
    private final String[] ids = new String[SIZE];
    private final int[] first = new int[SIZE];
    private final int[] second = new int[SIZE];
    private long count;
    private long dumpedAt;

    /** Keeps one event; {@code id} is null where it is no batch's. */
    public void note(What what, String id, long a, long b) {
        int at = (int) (count++ % SIZE);
        times[at] = System.nanoTime();
        whats[at] = what;
        ids[at] = id;
        first[at] = (int) a;
        second[at] = (int) b;
    }

    /** Writes the ring to the log, oldest first, in times before now. */
    public void dump(String why) {
        long now = System.nanoTime();
        if (dumpedAt != 0 && now - dumpedAt < DUMP_GAP_NS) {
            return;
        }
        dumpedAt = now;
        LOG.severe(
                () ->
                        why
                                + "; what happened before, in ms before now:\n"
                                + String.join("\n", lines(now)));
    }

    /** The events that are kept, oldest first. */
    List<String> lines(long now) {
        List<String> lines = new ArrayList<>();
        for (long i = Math.max(0, count - SIZE); i < count; i++) {
            int at = (int) (i % SIZE);
            lines.add(
                    String.format(
                            "%.1f %s %s %d %d",
                            (times[at] - now) / 1e6,
                            whats[at],
                            ids[at] == null ? "-" : ids[at],
                            first[at],
                            second[at]));
        }
        return lines;
    }
}
