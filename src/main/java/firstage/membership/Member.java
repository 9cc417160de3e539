package firstage.membership;

/**
 * What is known of a member. {@code incarnation}: Unix ms of its start, raised by itself alone to
 * refute a suspicion; the higher one counts, of equal ones the later state. {@code weight}: the
 * share of traffic it wants, 1 is usual.
 */
public record Member(
        String name,
        String zone,
        long incarnation,
        MemberState state,
        String version,
        double weight) {
    /** Whether this says more than that: a newer incarnation, or a later state of the same. */
    boolean overrides(Member other) {
        return incarnation > other.incarnation
                || incarnation == other.incarnation && state.compareTo(other.state) > 0;
    }

    Member withState(MemberState next) {
        return new Member(name, zone, incarnation, next, version, weight);
    }

    Member withIncarnation(long next, MemberState state) {
        return new Member(name, zone, next, state, version, weight);
    }
}
