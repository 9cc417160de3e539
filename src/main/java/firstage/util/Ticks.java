package firstage.util;

/**
 * Conversions of the time unit that the program uses internally: a tick is 0.1 ms. Names of
 * variables in ticks contain no unit; those in any other unit do ({@code timeoutMs}).
 */
public final class Ticks {
    /** Number of ticks in a millisecond. */
    public static final long PER_MILLISECOND = 10;

    /** Number of ticks in a second. */
    public static final long PER_SECOND = 1_000 * PER_MILLISECOND;

    private static final long NANOS_PER_TICK = 100_000;

    private Ticks() {}

    /** Converts milliseconds to ticks. */
    public static long ofMillis(long millis) {
        return millis * PER_MILLISECOND;
    }

    /** Converts seconds to ticks. */
    public static long ofSeconds(long seconds) {
        return seconds * PER_SECOND;
    }

    /** Converts nanoseconds to ticks, rounded toward zero. */
    public static long ofNanos(long nanos) {
        return nanos / NANOS_PER_TICK;
    }

    /** Converts ticks to milliseconds, rounded toward zero. */
    public static long toMillis(long ticks) {
        return ticks / PER_MILLISECOND;
    }

    /** Converts ticks to seconds. */
    public static double toSeconds(long ticks) {
        return (double) ticks / PER_SECOND;
    }
}
