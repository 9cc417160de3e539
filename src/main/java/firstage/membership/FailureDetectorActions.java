package firstage.membership;

/**
 * Effects of the failure detector. An implementation must not call the failure detector before it
 * returns, except for {@link FailureDetector#startSuspicion}.
 */
interface FailureDetectorActions {
    /** Sends a probe; {@code target} is empty if no peer is known at the address. */
    void sendPing(long now, int address, long sequence, String target);

    /** Asks another peer to probe the target on this manager's behalf. */
    void sendPingRequest(long now, Peer prober, long sequence, String target);

    /** Reports that a peer answered neither a direct nor an indirect probe. */
    void peerUnresponsive(long now, Peer peer, String reason);

    /** Reports that a suspect did not refute the suspicion in time. */
    void suspicionTimedOut(long now, Peer peer, String reason);
}
