package firstage.membership;

/** What the membership wants done; none of it calls back before it returns. */
public interface MembershipActions {
    /** To the peer at the address of this index; {@code kind}: of the message, for counters. */
    void send(int address, MembershipMessage.Kind kind, byte[] datagram);

    /** A new view is in force. */
    void viewChanged(long now, MembershipView view);

    /** A line for the log: the event, the member and the reason. */
    void logMemberEvent(long now, String event, String member, String reason);

    /** What the fleet coordinator and the cells send with each message. */
    byte[] outgoingDigest(long now);

    /** What a member sent for the fleet coordinator and the cells. */
    void digestReceived(long now, String from, byte[] digest);
}
