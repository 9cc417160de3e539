package firstage.server;

import firstage.util.Ticks;
import java.util.function.LongSupplier;

/**
 * The Unix clock in ticks as it stood at the start, carried on by the monotonic clock: a step of
 * the system's time neither delays a decision nor makes all of them due at once.
 */
public final class TickClock {
    /** The system's time drifts; more than this against the monotonic clock is a step. */
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
     * A moment in Unix milliseconds of another process, on this clock, and not after now; 0 stays
     * 0: long ago. Where the system's time was stepped since the start, it is unknown by which of
     * the two times the other process counts: the later moment is taken.
     */
    public long fromUnixMillis(long unixMs) {
        if (unixMs == 0) {
            return 0;
        }
        long now = now();
        long unadjusted = Ticks.ofMillis(unixMs);
        long step = Ticks.ofMillis(unixClock.getAsLong()) - now;
        long latest =
                Math.abs(step) > MIN_STEP
                        ? Math.max(unadjusted, unadjusted - step)
                        : unadjusted;
        return Math.min(now, latest);
    }
}
