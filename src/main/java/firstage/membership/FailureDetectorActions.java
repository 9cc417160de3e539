package firstage.membership;

/** What the failure detector wants done; none of it calls back before it returns. */
interface FailureDetectorActions {
    /** Sends a probe; {@code target} is empty where nobody is known at the address. */
    void sendPing(long now, int address, long sequence, String target);

    /** Asks another to probe the target in this manager's place. */
    void sendPingRequest(long now, Peer helper, long sequence, String target);

    /** A peer did not answer, neither directly nor to others. */
    void peerUnanswered(long now, Peer peer, String reason);

    /** A suspect did not refute in time. */
    void suspicionTimedOut(long now, Peer peer, String reason);
}
