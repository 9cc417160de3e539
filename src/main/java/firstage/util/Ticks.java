package firstage.util;

/**
 * The unit of all times and durations inside the program: a tick is a tenth of a millisecond.
 * Variables in ticks carry no unit in their names; those in any other unit do ({@code timeoutMs}).
 */
public final class Ticks {
    /** Ticks in a millisecond. */
    public static final long PER_MILLISECOND = 10;

    /** Ticks in a second. */
    public static final long PER_SECOND = 1_000 * PER_MILLISECOND;

    private static final long NANOS_PER_TICK = 100_000;

    private Ticks() {}

    /** A duration of so many milliseconds. */
    public static long ofMillis(long millis) {
        return millis * PER_MILLISECOND;
    }

    /** A duration of so many seconds. */
    public static long ofSeconds(long seconds) {
        return seconds * PER_SECOND;
    }

    /** A duration of so many nanoseconds, rounded down to whole ticks. */
    public static long ofNanos(long nanos) {
        return nanos / NANOS_PER_TICK;
    }

    /** The whole milliseconds of a duration, rounded down. */
    public static long toMillis(long ticks) {
        return ticks / PER_MILLISECOND;
    }

    /** A duration in seconds. */
    public static double toSeconds(long ticks) {
        return (double) ticks / PER_SECOND;
    }
}
