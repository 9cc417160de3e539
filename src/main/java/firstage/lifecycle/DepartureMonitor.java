package firstage.lifecycle;

import firstage.util.Ticks;

/**
 * Checks, independently of {@link SendGuard}, that no statement of a request is sent after its
 * client left. What counts is the earliest moment at which the client can have left, which may be
 * known only after the statement was sent. It decides nothing; a violation is a fault of this
 * program. Times are ticks.
 */
public final class DepartureMonitor {
    /** A statement may be sent for so long after its client left. */
    private static final long MAX_DELAY = Ticks.ofMillis(100);

    private static final long NEVER = -1;

    private long leftAt = NEVER;
    private long lastSentAt = NEVER;

    /** A statement was written; returns for how long too late, 0 where it was not. */
    public long onStatementSent(long now) {
        lastSentAt = now;
        return lateness();
    }

    /**
     * The client closed, or cancelled, not before {@code earliest}; returns for how long too late
     * the last statement was sent, 0 where it was not.
     */
    public long onClientLeft(long earliest) {
        if (leftAt != NEVER) {
            return 0;
        }
        leftAt = earliest;
        return lateness();
    }

    /** The client is there after all: only its connection had ended. */
    public void onClientReturned() {
        leftAt = NEVER;
        lastSentAt = NEVER;
    }

    private long lateness() {
        return leftAt == NEVER || lastSentAt == NEVER
                ? 0
                : Math.max(0, lastSentAt - leftAt - MAX_DELAY);
    }
}
