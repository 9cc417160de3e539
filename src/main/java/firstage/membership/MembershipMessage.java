package firstage.membership;

import java.util.List;

/**
 * Contents of one datagram between managers.
 *
 * @param target in a PING_REQUEST the member to ping, in an INDIRECT_ACK the member that answered;
 *     not used in other kinds
 * @param lastHeardAgo ticks since the sender last received a message from the receiver of this one,
 *     -1 for never; reveals a link that is broken in one direction
 * @param grantsQuota whether this ack grants the receiver its full share
 * @param withdrawnGrants members from which the sender has withdrawn its grant
 * @param unheardMembers alive members from which others receive messages but the sender does not
 * @param members gossiped member records
 * @param digest data of the fleet coordinator and the cells
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
     * Kind of a message. PING requests an ACK. PING_REQUEST asks another manager to ping the
     * target, and INDIRECT_ACK reports that the target answered. SYNC and SYNC_REPLY carry all
     * known member records. The ordinal is on the wire.
     */
    public enum Kind {
        PING,
        ACK,
        PING_REQUEST,
        INDIRECT_ACK,
        SYNC,
        SYNC_REPLY
    }

    /** Returns a copy with other member records and without a quota grant. */
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
