package firstage.server;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Ring buffer of the latest events of requests and the latest stalls of the I/O thread, written to
 * the log when an invariant is broken. Recording an event takes a few stores and logs nothing,
 * unless the log level of this class is {@link Level#FINE}: then each event is logged at once.
 * Owned by the I/O thread.
 */
public final class FlightRecorder {
    /** Types of events, each with the meaning of the two values that are recorded with it. */
    public enum EventType {
        /** A request was read completely. Values: age of its connection in ms; 0. */
        READ,
        /** A request was delivered to the scheduler. Values: 1 if its order is known, else 0; 0. */
        SCHEDULED,
        /** The scheduler started an attempt. Values: number of the attempt; engine. */
        ATTEMPT_STARTED,
        /** A statement was written. Values: number of the attempt; engine. */
        STATEMENT_WRITTEN,
        /** An engine replied. Values: number of the attempt; HTTP status. */
        ENGINE_REPLY,
        /**
         * A call to an engine failed. Values: number of the attempt; ordinal of {@code
         * EngineCall.Failure}.
         */
        CALL_FAILED,
        /**
         * An attempt ended. Values: ordinal of {@code AttemptOutcome}; how much longer its engine
         * may hold the statement, in ms.
         */
        ATTEMPT_ENDED,
        /** An attempt that had ended without proof no longer runs. Values: its number; engine. */
        END_CONFIRMED,
        /** The client has its answer, or left; the reason names the outcome. Values: 0; 0. */
        REQUEST_ENDED,
        /** The client was sent a path to poll. */
        POLL_PATH_SENT,
        /** The client polled. First value: number of its calls that are held. */
        POLLED,
        /** A held call was closed, with a reason. First value: number of calls still held. */
        CALL_CLOSED,
        /** The client may be gone. */
        CLIENT_ABSENT,
        /** The client polls again. */
        CLIENT_PRESENT,
        /** The client is gone, or cancelled. */
        CLIENT_GONE,
        /** A statement was not written, with a reason. Values: number of the attempt; engine. */
        SEND_REFUSED,
        /** The I/O thread was stalled. First value: duration in ms. */
        STALL
    }

    private static final String NO_REASON = "";

    private static final Logger LOG = Logger.getLogger(FlightRecorder.class.getName());

    /**
     * Number of events that are kept: the last seconds of a manager in heavy traffic, at about 40
     * bytes per event.
     */
    private static final int CAPACITY = 2_048;

    /**
     * Minimum time between two dumps, so that a fault is logged once and not with each of its
     * consequences.
     */
    private static final long MIN_DUMP_INTERVAL_NANOS = 10_000_000_000L;

    private final long[] recordedAtNanos = new long[CAPACITY];
    private final EventType[] types = new EventType[CAPACITY];
    private final String[] requestIds = new String[CAPACITY];
    private final String[] reasons = new String[CAPACITY];
    private final int[] firstValues = new int[CAPACITY];
    private final int[] secondValues = new int[CAPACITY];
    private long count;
    private long lastDumpNanos;

    /**
     * Records an event.
     *
     * @param id the id of the request; null if the event is not of a request
     */
    public void record(EventType type, String id, long firstValue, long secondValue) {
        record(type, id, NO_REASON, firstValue, secondValue);
    }

    /** Records an event with a reason. */
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

    /**
     * Writes the recorded events to the log, oldest first, with times relative to now. Does nothing
     * if the previous dump was less than {@link #MIN_DUMP_INTERVAL_NANOS} ago.
     */
    public void dump(String reason) {
        long now = System.nanoTime();
        if (lastDumpNanos != 0 && now - lastDumpNanos < MIN_DUMP_INTERVAL_NANOS) {
            return;
        }
        lastDumpNanos = now;
        LOG.severe(
                () ->
                        reason
                                + "; latest events, times in ms relative to now:\n"
                                + String.join("\n", lines(now)));
    }

    /** Returns the recorded events, oldest first, with times in ms relative to {@code now}. */
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
