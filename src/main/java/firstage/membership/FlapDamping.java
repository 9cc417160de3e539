package firstage.membership;

import firstage.util.Ticks;

/**
 * Keeps a member out of the view if it repeatedly dies and returns, for longer with each return.
 * The count of returns decays over time.
 */
final class FlapDamping {
    /** Returns allowed without a hold-down: one restart and one false suspicion. */
    private static final double FREE_RETURNS = 2;

    /**
     * Base of the hold-down; doubled for the third recent return and again for each further one.
     */
    private static final long HOLD_DOWN_BASE = Ticks.ofMillis(500);

    private static final long MAX_HOLD_DOWN = Ticks.ofSeconds(30);

    /** Half-life of the count of recent returns. */
    private static final long RETURNS_HALF_LIFE = Ticks.ofSeconds(30);

    private static final double MAX_DOUBLINGS = 10;

    private double recentReturns;
    private long lastReturnAt;
    private long heldOutUntil;

    /** Records that the member is alive again; {@code mayHoldDown} allows a hold-down. */
    void recordReturn(long now, boolean mayHoldDown) {
        recentReturns =
                recentReturns * Math.pow(0.5, (double) (now - lastReturnAt) / RETURNS_HALF_LIFE)
                        + 1;
        lastReturnAt = now;
        if (recentReturns > FREE_RETURNS && mayHoldDown) {
            double doublings = Math.min(MAX_DOUBLINGS, recentReturns - FREE_RETURNS);
            double holdDown = HOLD_DOWN_BASE * Math.pow(2, doublings);
            heldOutUntil = now + (long) Math.min(MAX_HOLD_DOWN, holdDown);
        }
    }

    boolean isHeldOut(long now) {
        return heldOutUntil > now;
    }

    /** Ends a hold-down that has expired; returns whether one has. */
    boolean endIfExpired(long now) {
        boolean expired = heldOutUntil > 0 && heldOutUntil <= now;
        heldOutUntil = expired ? 0 : heldOutUntil;
        return expired;
    }
}
