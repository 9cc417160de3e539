package firstage.membership;

import java.util.List;

/**
 * One datagram. {@code heardAgo}: tenths of a millisecond since its sender last heard the receiver,
 * -1 for never: a way that bears in one direction only shows by it. {@code lent}: members that its
 * sender has withdrawn its word from, so that others may use their part. {@code grants}: the answer
 * to a ping is such a word. {@code unheard}: whom the sender does not hear though others do. {@code
 * digest}: of the rooms above.
 */
public record MembershipMessage(
        String fleet,
        String from,
        long incarnation,
        Kind kind,
        long seq,
        String target,
        long view,
        long hash,
        long heardAgo,
        boolean grants,
        List<String> lent,
        List<String> unheard,
        List<Member> entries,
        byte[] digest) {
    /**
     * PING asks, ACK answers; ASK wants a third one asked, VOUCH says that it answered; SYNC tells
     * all that is known.
     */
    public enum Kind {
        PING,
        ACK,
        ASK,
        VOUCH,
        SYNC,
        SYNC_BACK
    }
}
