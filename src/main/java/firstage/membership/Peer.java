package firstage.membership;

import firstage.util.Ticks;
import java.util.List;

/** State of another manager: its member record, and the time and header of its last message. */
final class Peer {
    /**
     * Time without a message after which the link counts as broken: six probe periods of the usual
     * length.
     */
    static final long UNHEARD_AFTER = Ticks.ofMillis(1_200);

    private static final long NEVER = Long.MIN_VALUE / 4;

    private final FlapDamping damping = new FlapDamping();
    private Member member;
    private int address = -1;
    private long lastHeardAt = NEVER;
    private long indirectlyHeardAt = NEVER;

    /**
     * Ticks since the peer last received a message from this manager, as its own last message
     * reports; -1 for never.
     */
    private long reportedLastHeardAgo = -1;

    private long viewNumber;
    private long viewHash;
    private long suspectedAt;
    private List<String> unheardMembers = List.of();

    Peer(Member member) {
        this.member = member;
    }

    Member member() {
        return member;
    }

    void update(Member newRecord) {
        member = newRecord;
    }

    String name() {
        return member.name();
    }

    MemberState state() {
        return member.state();
    }

    /** Returns whether the peer is alive or suspect; a missing ack matters only then. */
    boolean isAliveOrSuspect() {
        return state() == MemberState.ALIVE || state() == MemberState.SUSPECT;
    }

    boolean hasAddress() {
        return address >= 0;
    }

    /**
     * Returns the index of the peer's address; -1 before its first message, and after another
     * manager has replaced it there.
     */
    int address() {
        return address;
    }

    /** Forgets the address, which another manager uses now. */
    void forgetAddress() {
        address = -1;
    }

    long viewNumber() {
        return viewNumber;
    }

    long viewHash() {
        return viewHash;
    }

    FlapDamping damping() {
        return damping;
    }

    /** Records the header of a message from the peer; its member records are applied separately. */
    void onMessage(long now, int senderAddress, MembershipMessage message) {
        address = senderAddress;
        lastHeardAt = now;
        reportedLastHeardAgo = message.lastHeardAgo();
        viewNumber = message.viewNumber();
        viewHash = message.viewHash();
        unheardMembers = message.unheardMembers();
    }

    /** Records that another manager received an ack from the peer. */
    void onIndirectAck(long now) {
        indirectlyHeardAt = now;
    }

    /**
     * Excludes a pause of this process, which lasted {@code gap} ticks, from the time since the
     * peer's last message.
     */
    void onPause(long gap) {
        lastHeardAt += gap;
    }

    void setSuspectedAt(long now) {
        suspectedAt = now;
    }

    long suspectedAt() {
        return suspectedAt;
    }

    long timeSinceHeard(long now) {
        return now - lastHeardAt;
    }

    long timeSinceIndirectlyHeard(long now) {
        return now - indirectlyHeardAt;
    }

    /** Returns when the peer was last known to answer any manager. */
    long lastAliveAt() {
        return Math.max(lastHeardAt, indirectlyHeardAt);
    }

    /** Returns the ticks since the peer's last message, as sent to the peer; -1 for never. */
    long lastHeardAgo(long now) {
        return lastHeardAt < 0 ? -1 : Math.max(0, now - lastHeardAt);
    }

    /**
     * Returns the state of the link to the peer: ok, deaf (this manager receives nothing from the
     * peer), unheard (the peer receives nothing from this manager) or cut (both).
     *
     * @param self name of this manager
     */
    String linkState(long now, String self) {
        boolean deaf = timeSinceHeard(now) > UNHEARD_AFTER;
        boolean unheard =
                !deaf && (reportedLastHeardAgo < 0 || reportedLastHeardAgo > UNHEARD_AFTER)
                        || unheardMembers.contains(self);
        return deaf && unheard ? "cut" : deaf ? "deaf" : unheard ? "unheard" : "ok";
    }
}
