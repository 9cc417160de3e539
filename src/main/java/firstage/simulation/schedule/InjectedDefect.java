package firstage.simulation.schedule;

/**
 * Defects that are injected one at a time, to check that the fault schedules find them. The names
 * are words of the command line {@code fault-schedule FIRST COUNT [DEFECT]}.
 */
public enum InjectedDefect {
    /** The program as it is. */
    NONE,
    /** Requests are delivered in the order of reading, without a read barrier. */
    DELIVERED_AS_READ,
    /** One new connection is accepted per select round, and two rounds count as a barrier. */
    ONE_ACCEPTED_PER_ROUND,
    /** A refused poll ends an attempt for good, also at a draining engine. */
    REFUSED_IS_OVER,
    /**
     * An attempt unknown to its engine counts as ended, though its statement was never answered.
     */
    UNKNOWN_IS_OVER,
    /** The response to a DELETE counts as the end, also where it overtook the statement. */
    DELETED_IS_OVER,
    /** An abandoned attempt has no quiet period: its ordering key goes on at once. */
    ABANDONED_IS_OVER,
    /**
     * The quiet period of a key ends when an unpolled run ends, not when that is written or
     * forgotten.
     */
    UNWRITTEN_END_IS_OVER,
    /** An unpolled run that ended counts as forgotten, and its DELETE is not repeated. */
    UNWRITTEN_END_IS_FORGOTTEN,
    /** A connection broken after the statement was written counts as a failed connect. */
    BROKEN_NEVER_RAN,
    /** A request is answered at its deadline, and again when an attempt ends late. */
    ANSWERED_TWICE,
    /** A connection that opened late still carries its statement to a draining engine. */
    DRAIN_IGNORED,
    /** A client that stopped polling counts as present. */
    ABSENCE_IGNORED,
    /** A request without an answer at its deadline gets none. */
    DEADLINE_IGNORED
}
