package firstage.server;

import java.util.function.LongSupplier;

/**
 * The Unix clock in ticks as it stood at the start, carried on by the monotonic clock: a step of
 * the system's time neither delays a decision nor makes all of them due at once.
 */
public final class TickClock {
    private static final long NANOS_PER_TICK = 100_000;
    private static final long TICKS_PER_MS = 10;

    /** The system's time drifts; more than this against the monotonic clock is a step, in ticks. */
    private static final long MIN_STEP = 5_000;

    private final LongSupplier unixClock;
    private final LongSupplier nanoClock;
    private final long startTick;
    private final long startNanos;

    public TickClock() {
        this(System::currentTimeMillis, System::nanoTime);
    }

    TickClock(LongSupplier unixClock, LongSupplier nanoClock) {
        this.unixClock = unixClock;
        this.nanoClock = nanoClock;
        startTick = unixClock.getAsLong() * TICKS_PER_MS;
        startNanos = nanoClock.getAsLong();
    }

    public long now() {
        return startTick + (nanoClock.getAsLong() - startNanos) / NANOS_PER_TICK;
    }

    /**
     * A moment in Unix milliseconds of another process, on this clock, and not after now; 0 stays
     * 0: long ago. Where the system's time was stepped since the start, it is unknown by which of
     * the two times the other process counts: the later moment is taken.
     */
    public long fromUnixMillis(long unixMs) {
        if (unixMs == 0) {
            return 0;
        }
        long now = now();
        long byStart = unixMs * TICKS_PER_MS;
        long step = unixClock.getAsLong() * TICKS_PER_MS - now;
        long latest = Math.abs(step) > MIN_STEP ? Math.max(byStart, byStart - step) : byStart;
        return Math.min(now, latest);
    }
}
