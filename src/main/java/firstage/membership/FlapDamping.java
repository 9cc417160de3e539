package firstage.membership;

import firstage.util.Ticks;

/**
 * Keeps a member that dies and returns again and again out of the view, for longer with each
 * return. Returns are forgotten with time.
 */
final class FlapDamping {
    /** Returns without a hold-down: a restart and a suspicion by chance. */
    private static final double FREE_RETURNS = 2;

    /** Doubled at the third return and again with each further one. */
    private static final long HOLD_DOWN_BASE = Ticks.ofMillis(500);

    private static final long MAX_HOLD_DOWN = Ticks.ofSeconds(30);

    /** In which half of the returns is forgotten. */
    private static final long RETURNS_HALF_LIFE = Ticks.ofSeconds(30);

    private static final double MAX_DOUBLINGS = 10;

    private double recentReturns;
    private long lastReturnAt;
    private long heldOutUntil;

    /** The member is alive again. */
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

    /** Ends a hold-down whose time is over; whether there was one. */
    boolean endIfOver(long now) {
        boolean ends = heldOutUntil > 0 && heldOutUntil <= now;
        heldOutUntil = ends ? 0 : heldOutUntil;
        return ends;
    }
}
