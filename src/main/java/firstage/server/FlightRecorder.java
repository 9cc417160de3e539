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
    public enum EventType {
        /** Read whole: ms since its connection was opened. */
        READ,
        /** Told to the decisions: 1 where its turn is known. */
        SCHEDULED,
        /** Sent by the decisions: number, engine. */
        ATTEMPT_STARTED,
        /** The statement goes onto the wire: number, engine. */
        STATEMENT_WRITTEN,
        /** An answer of its engine: number, status. */
        ENGINE_REPLY,
        /** A call to its engine failed: number, place in {@code Call.Failure}. */
        CALL_FAILED,
        /** A dispatch is over: place in {@code Outcome}, how long its engine may hold it in ms. */
        ATTEMPT_ENDED,
        /** The client has its answer, or left. */
        REQUEST_ENDED,
        /** The thread came late: ms. */
        STALL
    }

    private static final Logger LOG = Logger.getLogger(FlightRecorder.class.getName());

    /** Some ten seconds of a manager in heavy traffic; 32 bytes each. */
    private static final int CAPACITY = 2_048;

    /** Between two dumps: one fault is told once, not with each of its consequences. */
    private static final long DUMP_GAP_NS = 10_000_000_000L;

    private final long[] timesNanos = new long[CAPACITY];
    private final EventType[] types = new EventType[CAPACITY];
    private final String[] requestIds = new String[CAPACITY];
    private final int[] firstFigures = new int[CAPACITY];
    private final int[] secondFigures = new int[CAPACITY];
    private long count;
    private long dumpedAtNanos;

    /** Keeps one event; {@code id} is null where it is no batch's. */
    public void record(EventType type, String id, long firstFigure, long secondFigure) {
        int slot = (int) (count++ % CAPACITY);
        timesNanos[slot] = System.nanoTime();
        types[slot] = type;
        requestIds[slot] = id;
        firstFigures[slot] = (int) firstFigure;
        secondFigures[slot] = (int) secondFigure;
    }

    /** Writes the ring to the log, oldest first, in times before now. */
    public void dump(String reason) {
        long now = System.nanoTime();
        if (dumpedAtNanos != 0 && now - dumpedAtNanos < DUMP_GAP_NS) {
            return;
        }
        dumpedAtNanos = now;
        LOG.severe(
                () ->
                        reason
                                + "; what happened before, in ms before now:\n"
                                + String.join("\n", lines(now)));
    }

    /** The events that are kept, oldest first. */
    List<String> lines(long now) {
        List<String> lines = new ArrayList<>();
        for (long i = Math.max(0, count - CAPACITY); i < count; i++) {
            int slot = (int) (i % CAPACITY);
            lines.add(
                    String.format(
                            "%.1f %s %s %d %d",
                            (timesNanos[slot] - now) / 1e6,
                            types[slot],
                            requestIds[slot] == null ? "-" : requestIds[slot],
                            firstFigures[slot],
                            secondFigures[slot]));
        }
        return lines;
    }
}
