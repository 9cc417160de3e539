package firstage.membership;

/**
 * How a manager holds another: here, doubted (silent for now), gone (silent for good), or left by
 * intent.
 */
public enum MemberState {
    ALIVE,
    SUSPECT,
    DEAD,
    LEFT
}
