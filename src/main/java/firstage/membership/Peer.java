package firstage.membership;

import firstage.util.Ticks;
import java.util.List;

/** What this manager knows of one other: its member record and when and how it was last heard. */
final class Peer {
    /**
     * After this without a message the link counts as broken: six probe periods of usual length.
     */
    static final long UNHEARD_AFTER = Ticks.ofMillis(1_200);

    private static final long NEVER = Long.MIN_VALUE / 4;

    private final FlapDamping damping = new FlapDamping();
    private Member member;
    private int address = -1;
    private long lastHeardAt = NEVER;
    private long indirectlyHeardAt = NEVER;
    private long lastHeardUsAgo = -1;
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

    void update(Member next) {
        member = next;
    }

    String name() {
        return member.name();
    }

    MemberState state() {
        return member.state();
    }

    /** Whether it is alive or suspect, so that an unanswered probe says something new. */
    boolean isJudged() {
        return state() == MemberState.ALIVE || state() == MemberState.SUSPECT;
    }

    boolean hasAddress() {
        return address >= 0;
    }

    /** The index of its address; -1 where it has not been heard. */
    int address() {
        return address;
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

    /** Takes over what the head of a message says; its member records are applied apart. */
    void onMessage(long now, int from, MembershipMessage message) {
        address = from;
        lastHeardAt = now;
        lastHeardUsAgo = message.lastHeardAgo();
        viewNumber = message.viewNumber();
        viewHash = message.viewHash();
        unheardMembers = message.unheardMembers();
    }

    /** Another manager got an answer from it. */
    void onIndirectAck(long now) {
        indirectlyHeardAt = now;
    }

    /** This process stood still so long: it could have heard nobody. */
    void onPause(long gap) {
        lastHeardAt += gap;
    }

    void suspectSince(long now) {
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

    /** When it was last known to answer anybody. */
    long lastAliveAt() {
        return Math.max(lastHeardAt, indirectlyHeardAt);
    }

    /** What a message to it says of when it was last heard: ticks, -1 for never. */
    long lastHeardAgo(long now) {
        return lastHeardAt < 0 ? -1 : Math.max(0, now - lastHeardAt);
    }

    /**
     * How the link to it is: ok, deaf (this manager does not hear it), unheard (it does not hear
     * this manager, {@code self}), cut.
     */
    String linkState(long now, String self) {
        boolean deaf = timeSinceHeard(now) > UNHEARD_AFTER;
        boolean unheard =
                !deaf && (lastHeardUsAgo < 0 || lastHeardUsAgo > UNHEARD_AFTER)
                        || unheardMembers.contains(self);
        return deaf && unheard ? "cut" : deaf ? "deaf" : unheard ? "unheard" : "ok";
    }
}
