package firstage.membership;

/**
 * How a manager holds another: alive; suspect (unresponsive for now); dead (unresponsive for good);
 * left by intent. The ordinal is sent to other managers, and the later counts for more.
 */
public enum MemberState {
    ALIVE,
    SUSPECT,
    DEAD,
    LEFT
}
