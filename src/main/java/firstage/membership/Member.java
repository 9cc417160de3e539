package firstage.membership;

/**
 * Record of a member, as it is sent in gossip. Of two records of a member the one with the higher
 * incarnation wins, and at equal incarnations the one with the later state.
 *
 * @param incarnation Unix time of the member's start in ms; only the member itself raises it, to
 *     refute a suspicion or to announce its shutdown
 * @param weight relative share of traffic that the member asks for; usually 1
 */
public record Member(
        String name,
        String zone,
        long incarnation,
        MemberState state,
        String version,
        double weight) {
    /** Returns whether this record replaces the other record of the same member. */
    boolean overrides(Member other) {
        return incarnation > other.incarnation
                || incarnation == other.incarnation && state.compareTo(other.state) > 0;
    }

    Member withState(MemberState newState) {
        return new Member(name, zone, incarnation, newState, version, weight);
    }

    Member withIncarnation(long newIncarnation, MemberState newState) {
        return new Member(name, zone, newIncarnation, newState, version, weight);
    }
}
