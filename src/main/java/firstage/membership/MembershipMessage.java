package firstage.membership;

import java.util.List;

/**
 * One datagram. {@code lastHeardAgo}: ticks since its sender last heard the receiver, -1 for never:
 * so a link that is broken in one direction is seen. {@code grantsQuota}: an answer to a ping
 * grants the receiver its share. {@code withdrawnGrants}: members that the sender has withdrawn its
 * grant from. {@code unheardMembers}: whom the sender does not hear though others do. {@code
 * members}: gossip. {@code digest}: of the fleet coordinator and the cells.
 */
public record MembershipMessage(
        String fleet,
        String from,
        long incarnation,
        Kind kind,
        long sequence,
        String target,
        long viewNumber,
        long viewHash,
        long lastHeardAgo,
        boolean grantsQuota,
        List<String> withdrawnGrants,
        List<String> unheardMembers,
        List<Member> members,
        byte[] digest) {
    /**
     * PING asks, ACK answers; PING_REQUEST asks another to ping the target, INDIRECT_ACK says that
     * it answered; SYNC and its reply send all that is known. The ordinal is on the wire.
     */
    public enum Kind {
        PING,
        ACK,
        PING_REQUEST,
        INDIRECT_ACK,
        SYNC,
        SYNC_REPLY
    }

    /** The same with these member records and without a grant of quota. */
    MembershipMessage withMembers(List<Member> records) {
        return new MembershipMessage(
                fleet,
                from,
                incarnation,
                kind,
                sequence,
                target,
                viewNumber,
                viewHash,
                lastHeardAgo,
                false,
                withdrawnGrants,
                unheardMembers,
                records,
                digest);
    }
}
