package firstage.simulation.schedule;

/**
 * Defects that are injected one at a time, to check that the fault schedules find them. The names
 * are arguments of the command {@code fault-schedule FIRST COUNT [DEFECT]}.
 */
public enum InjectedDefect {
    /** No defect. */
    NONE,
    /** Requests are delivered in the order in which they are read, without a read barrier. */
    DELIVERED_AS_READ,
    /**
     * Only one new connection is accepted per select round, although two rounds count as a read
     * barrier.
     */
    ONE_ACCEPTED_PER_ROUND,
    /**
     * A poll or page fetch whose connection is refused ends the attempt, even at a draining engine.
     */
    REFUSED_IS_OVER,
    /**
     * An attempt that its engine does not know counts as ended, although its statement was never
     * answered and may still arrive.
     */
    UNKNOWN_IS_OVER,
    /**
     * The response to a DELETE counts as the end of the attempt, even if the DELETE overtook the
     * statement.
     */
    DELETED_IS_OVER,
    /**
     * An abandoned attempt has no quiet period: the next request of its ordering key may run at
     * once.
     */
    ABANDONED_IS_OVER,
    /**
     * An attempt of a request without an ordering key counts as ended although that is not proven,
     * so that the next attempt of the request may start beside it.
     */
    UNCONFIRMED_IS_OVER,
    /**
     * The quiet period of an ordering key ends when an unpolled run ends, not when the engine has
     * written or dropped its result.
     */
    UNWRITTEN_END_IS_OVER,
    /**
     * An unpolled run that ended counts as dropped by its engine, and its DELETE is not repeated.
     */
    UNWRITTEN_END_IS_FORGOTTEN,
    /**
     * A connection that breaks after the statement was written counts as one that was never
     * established.
     */
    BROKEN_NEVER_RAN,
    /** An engine that the endpoint list names again counts as restarted: its attempts end. */
    LISTED_AGAIN_IS_OVER,
    /**
     * The reply of any process at an engine's address counts as that of the process that holds the
     * statement.
     */
    ANY_PROCESS_PROVES,
    /** A request is answered at its deadline, and again when an attempt ends late. */
    ANSWERED_TWICE,
    /**
     * A statement whose connection opened late is still sent to an engine that has begun to drain.
     */
    DRAIN_IGNORED,
    /** A client that stopped polling counts as present. */
    ABSENCE_IGNORED,
    /** A request that has no answer at its deadline never gets one. */
    DEADLINE_IGNORED
}
