package firstage.lifecycle;

import firstage.util.Ticks;

/**
 * Checks, independently of {@link SendGuard}, that no statement of a request is sent after its
 * client left. A client counts as gone from the earliest moment at which it can have left, which
 * may become known only after a statement was sent. The monitor decides nothing; a violation is a
 * bug of this program. Times are ticks.
 */
public final class DepartureMonitor {
    /** Longest time after a client left at which a statement may still be sent for it. */
    private static final long MAX_DELAY = Ticks.ofMillis(100);

    private static final long NEVER = -1;

    private long leftAt = NEVER;
    private long lastSentAt = NEVER;

    /**
     * Records that a statement was written.
     *
     * @return by how much the statement was sent too late; 0 if it was in time
     */
    public long onStatementSent(long now) {
        lastSentAt = now;
        return lateness();
    }

    /**
     * Records that the client closed its connection or cancelled.
     *
     * @param earliest the earliest moment at which the client can have left
     * @return by how much the last statement was sent too late; 0 if it was in time
     */
    public long onClientLeft(long earliest) {
        if (leftAt != NEVER) {
            return 0;
        }
        leftAt = earliest;
        return lateness();
    }

    /** Records that the client is still there: only its connection had ended. */
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
