package firstage.membership;

/** Carries the effects out; none of them calls back before it returns. */
public interface MembershipActions {
    /**
     * To the peer at this place of the seeds; {@code kind}: of the message, for what counts them.
     */
    void send(int address, MembershipMessage.Kind kind, byte[] datagram);

    /** A new view is in force. */
    void viewChanged(long now, MembershipView view);

    /** A line for the log: what, of whom, and why. */
    void logMemberEvent(long now, String event, String member, String reason);

    /** What the rooms above tell with each message, and what they are told by a member. */
    byte[] outgoingDigest(long now);

    void digestReceived(long now, String from, byte[] digest);
}
