package firstage.server;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The latest events of requests, and the thread's stalls, in a ring of fixed size: written to the
 * log when an invariant is broken. An event costs a few stores, and no line until then, unless this
 * class logs at {@link Level#FINE}: then each event is a line. Owned by the I/O thread.
 */
public final class FlightRecorder {
    /** What happened; the two figures beside it are as said. */
    public enum EventType {
        /** Read whole: age of its connection in ms. */
        READ,
        /** Given to the scheduler: 1 where its order is known. */
        SCHEDULED,
        /** The scheduler starts an attempt: its number, the engine. */
        ATTEMPT_STARTED,
        /** The statement is written: attempt, engine. */
        STATEMENT_WRITTEN,
        /** An answer of the engine: attempt, HTTP status. */
        ENGINE_REPLY,
        /** A call to the engine failed: attempt, ordinal of {@code EngineCall.Failure}. */
        CALL_FAILED,
        /**
         * An attempt ended: ordinal of {@code AttemptOutcome}, how long its engine may hold it in
         * ms.
         */
        ATTEMPT_ENDED,
        /** The client has its answer, or left; the reason names the end. */
        REQUEST_ENDED,
        /** The client has a path to poll. */
        POLL_PATH_SENT,
        /** The client polls: how many of its calls are held. */
        POLLED,
        /** A held call was closed; the reason says why. How many are still held. */
        CALL_CLOSED,
        /** The client may be gone. */
        CLIENT_ABSENT,
        /** It polls again. */
        CLIENT_PRESENT,
        /** The client is gone, or cancelled. */
        CLIENT_GONE,
        /** A statement was not written; the reason says why: attempt, engine. */
        SEND_REFUSED,
        /** The thread was stalled: ms. */
        STALL
    }

    private static final String NO_REASON = "";

    private static final Logger LOG = Logger.getLogger(FlightRecorder.class.getName());

    /** The last seconds of a manager in heavy traffic; some 40 bytes each. */
    private static final int CAPACITY = 2_048;

    /** Between two dumps: one fault is logged once, not with each of its consequences. */
    private static final long DUMP_GAP_NS = 10_000_000_000L;

    private final long[] timesNanos = new long[CAPACITY];
    private final EventType[] types = new EventType[CAPACITY];
    private final String[] requestIds = new String[CAPACITY];
    private final String[] reasons = new String[CAPACITY];
    private final int[] firstFigures = new int[CAPACITY];
    private final int[] secondFigures = new int[CAPACITY];
    private long count;
    private long dumpedAtNanos;

    /** Keeps one event; {@code id} is null where it is not of a request. */
    public void record(EventType type, String id, long firstFigure, long secondFigure) {
        record(type, id, NO_REASON, firstFigure, secondFigure);
    }

    /** Keeps one event and its reason. */
    public void record(
            EventType type, String id, String reason, long firstFigure, long secondFigure) {
        int slot = (int) (count++ % CAPACITY);
        timesNanos[slot] = System.nanoTime();
        types[slot] = type;
        requestIds[slot] = id;
        reasons[slot] = reason;
        firstFigures[slot] = (int) firstFigure;
        secondFigures[slot] = (int) secondFigure;
        if (LOG.isLoggable(Level.FINE)) {
            LOG.fine("nanos=" + timesNanos[slot] + " " + describe(slot));
        }
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
                            Locale.ROOT,
                            "%.1f %s",
                            (timesNanos[slot] - now) / 1e6,
                            describe(slot)));
        }
        return lines;
    }

    private String describe(int slot) {
        String event =
                types[slot]
                        + " "
                        + (requestIds[slot] == null ? "-" : requestIds[slot])
                        + " "
                        + firstFigures[slot]
                        + " "
                        + secondFigures[slot];
        return reasons[slot].isEmpty() ? event : event + " reason=" + reasons[slot];
    }
}
