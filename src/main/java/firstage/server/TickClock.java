package firstage.server;

import firstage.util.Ticks;
import java.util.function.LongSupplier;

/**
 * Clock that returns Unix time in ticks. It reads the system's time once, at the start, and
 * advances by the monotonic clock, so that a step of the system's time neither delays decisions nor
 * makes all of them due at once.
 */
public final class TickClock {
    /**
     * Difference between the system's time and the monotonic clock above which the system's time
     * was stepped; a smaller difference is drift.
     */
    private static final long MIN_STEP = Ticks.ofMillis(500);

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
        startTick = Ticks.ofMillis(unixClock.getAsLong());
        startNanos = nanoClock.getAsLong();
    }

    public long now() {
        return startTick + Ticks.ofNanos(nanoClock.getAsLong() - startNanos);
    }

    /**
     * Converts a time that another process reported in Unix milliseconds to the ticks of this
     * clock. If the system's time was stepped since the start, it is unknown whether the other
     * process counts by the time before or after the step, and the later of the two results is
     * returned.
     *
     * @return the time in ticks, at most {@link #now}; 0, which means long ago, for 0
     */
    public long fromUnixMillis(long unixMs) {
        if (unixMs == 0) {
            return 0;
        }
        long now = now();
        long unadjusted = Ticks.ofMillis(unixMs);
        long step = Ticks.ofMillis(unixClock.getAsLong()) - now;
        long latest =
                Math.abs(step) > MIN_STEP ? Math.max(unadjusted, unadjusted - step) : unadjusted;
        return Math.min(now, latest);
    }
}
