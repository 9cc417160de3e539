package firstage.membership;

import java.util.List;

/**
 * One datagram. {@code lastHeardAgo}: tenths of a millisecond since its sender last heard the
 * receiver, -1 for never: a way that bears in one direction only shows by it. {@code
 * withdrawnGrants}: members that its sender has withdrawn its word from, so that others may use
 * their part. {@code grantsQuota}: the answer to a ping is such a word. {@code unheardMembers}:
 * whom the sender does not hear though others do. {@code digest}: of the rooms above.
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
     * PING asks, ACK answers; ASK wants a third one asked, VOUCH says that it answered; SYNC tells
     * all that is known.
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
