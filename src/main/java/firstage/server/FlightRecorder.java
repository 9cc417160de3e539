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
    private static final long MIN_DUMP_INTERVAL_NANOS = 10_000_000_000L;

    private final long[] recordedAtNanos = new long[CAPACITY];
    private final EventType[] types = new EventType[CAPACITY];
    private final String[] requestIds = new String[CAPACITY];
    private final String[] reasons = new String[CAPACITY];
    private final int[] firstValues = new int[CAPACITY];
    private final int[] secondValues = new int[CAPACITY];
    private long count;
    private long lastDumpNanos;

    /** Keeps one event; {@code id} is null where it is not of a request. */
    public void record(EventType type, String id, long firstValue, long secondValue) {
        record(type, id, NO_REASON, firstValue, secondValue);
    }

    /** Keeps one event and its reason. */
    public void record(
            EventType type, String id, String reason, long firstValue, long secondValue) {
        int slot = (int) (count++ % CAPACITY);
        recordedAtNanos[slot] = System.nanoTime();
        types[slot] = type;
        requestIds[slot] = id;
        reasons[slot] = reason;
        firstValues[slot] = (int) firstValue;
        secondValues[slot] = (int) secondValue;
        if (LOG.isLoggable(Level.FINE)) {
            LOG.fine("nanos=" + recordedAtNanos[slot] + " " + describe(slot));
        }
    }

    /** Writes the ring to the log, oldest first, in times before now. */
    public void dump(String reason) {
        long now = System.nanoTime();
        if (lastDumpNanos != 0 && now - lastDumpNanos < MIN_DUMP_INTERVAL_NANOS) {
            return;
        }
        lastDumpNanos = now;
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
                            (recordedAtNanos[slot] - now) / 1e6,
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
                        + firstValues[slot]
                        + " "
                        + secondValues[slot];
        return reasons[slot].isEmpty() ? event : event + " reason=" + reasons[slot];
    }
}
