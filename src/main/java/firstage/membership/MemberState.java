package firstage.membership;

/**
 * State of a member as seen by one manager: alive; suspect (did not answer, may still refute); dead
 * (did not refute in time); left (shut down on purpose). The ordinal is sent to other managers; at
 * equal incarnations the later state overrides the earlier one.
 */
public enum MemberState {
    ALIVE,
    SUSPECT,
    DEAD,
    LEFT
}
