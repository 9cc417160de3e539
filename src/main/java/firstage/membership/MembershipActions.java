package firstage.membership;

/**
 * Effects of the membership protocol. An implementation must not call the protocol before it
 * returns.
 */
public interface MembershipActions {
    /**
     * Sends a datagram to the peer address with this index.
     *
     * @param kind kind of the encoded message, for counters
     */
    void send(int address, MembershipMessage.Kind kind, byte[] datagram);

    /** Reports a new membership view. */
    void viewChanged(long now, MembershipView view);

    /** Logs an event of a member and its reason. */
    void logMemberEvent(long now, String event, String member, String reason);

    /** Returns the digest of the fleet coordinator and the cells to send with each message. */
    byte[] outgoingDigest(long now);

    /** Delivers a member's digest to the fleet coordinator and the cells. */
    void digestReceived(long now, String from, byte[] digest);
}
