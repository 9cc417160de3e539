package firstage.simulation.schedule;

/**
 * Old faults of the program, to be put back one at a time: a rig that does not find them proves
 * nothing.
 */
public enum InjectedDefect {
    NONE,
    /** Batches are told as they are read, whatever the thread missed meanwhile. */
    DELIVERED_AS_READ,
    /** One new connection is accepted a look, and two looks are taken for all. */
    ONE_ACCEPTED_PER_ROUND,
    /** A refused call for news ends a dispatch for good, also at an engine that drains. */
    REFUSED_IS_OVER,
    /**
     * An engine that does not know a dispatch whose statement was never answered for will not take
     * it up.
     */
    UNKNOWN_IS_OVER,
    /** The answer to a DELETE proves the end, also where it overtook the statement. */
    DELETED_IS_OVER,
    /**
     * A dispatch that is given up ends as soon as its time to hear of it is over, and its key goes
     * on.
     */
    ABANDONED_IS_OVER,
    /**
     * A key rests as if what ends unasked were over when it ends, not when that is written or
     * forgotten.
     */
    UNWRITTEN_END_IS_OVER,
    /** What ended with nobody to ask is taken for forgotten, and its DELETE is not given again. */
    UNWRITTEN_END_IS_FORGOTTEN,
    /** A connection that broke under the statement is taken for one that never came up. */
    BROKEN_NEVER_RAN,
    /** The client's limit answers it, and a late end answers it again. */
    ANSWERED_TWICE,
    /** A connection that came up late carries a statement to an engine that drains. */
    DRAIN_IGNORED,
    /** A client that does not call again is taken for there. */
    ABSENCE_IGNORED,
    /** What has no answer at its limit gets none. */
    DEADLINE_IGNORED
}
