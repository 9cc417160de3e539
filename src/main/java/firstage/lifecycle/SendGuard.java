package firstage.lifecycle;

import firstage.util.Ticks;

/**
 * Decides whether a statement may be written at this instant, by what is known and as of when. The
 * only place that does: first attempts, retries and hedged requests pass through it, each time
 * bytes of them are about to be written.
 */
public final class SendGuard {
    /**
     * Older knowledge is renewed before it is acted on. Half of the 0.1 s within which a client
     * that left may still be sent for: the rest is for what arrived and is not read yet.
     */
    public static final long MAX_KNOWLEDGE_AGE = Ticks.ofMillis(50);

    /** What is to be done with the statement. */
    public enum Verdict {
        /** It may be written now. */
        SEND,
        /** What is known is too old: what lies unread is to be read, then this is asked again. */
        RENEW,
        /** Its attempt was abandoned or has ended. */
        ATTEMPT_OVER,
        /** Its client has its answer or is owed none. */
        CLIENT_SETTLED,
        /** Its client may be gone. */
        CLIENT_ABSENT,
        /** Its client waits no longer. */
        DEADLINE_PASSED,
        /** Its engine drains or is not listed any more. */
        ENGINE_LEAVING,
        /** What is known could not be renewed. */
        KNOWLEDGE_STALE,
        /** Its head, with the time that the client has left, was made too long ago. */
        HEAD_STALE;

        /** Whether it is not to be written, now or later. */
        public boolean isRefusal() {
            return this != SEND && this != RENEW;
        }
    }

    /**
     * What is known. Times are ticks.
     *
     * @param attemptOpen the attempt was neither abandoned nor ended
     * @param engineAccepts the engine is listed and does not drain, as of {@code readAsOf}
     * @param clientSettled the client has its answer or is owed none
     * @param clientAbsent the client may be gone
     * @param clientSeenAt when the client was last known to be there, by its connection
     * @param readAsOf all that had arrived at this moment has been read and handled
     * @param deadline the client's
     */
    public record Knowledge(
            boolean attemptOpen,
            boolean engineAccepts,
            boolean clientSettled,
            boolean clientAbsent,
            long clientSeenAt,
            long readAsOf,
            long deadline) {
        /** As of when the oldest part of it holds. */
        public long asOf() {
            return Math.min(clientSeenAt, readAsOf);
        }
    }

    private SendGuard() {}

    /** Whether the statement may be written. */
    public static Verdict decide(long now, Knowledge knowledge) {
        if (!knowledge.attemptOpen) {
            return Verdict.ATTEMPT_OVER;
        }
        if (knowledge.clientSettled) {
            return Verdict.CLIENT_SETTLED;
        }
        if (knowledge.clientAbsent) {
            return Verdict.CLIENT_ABSENT;
        }
        if (!knowledge.engineAccepts) {
            return Verdict.ENGINE_LEAVING;
        }
        if (now >= knowledge.deadline) {
            return Verdict.DEADLINE_PASSED;
        }
        return now - knowledge.asOf() > MAX_KNOWLEDGE_AGE ? Verdict.RENEW : Verdict.SEND;
    }

    /**
     * Whether the rest of a statement may be written, whose head was made at {@code headMadeAt}: it
     * names the time that the client had left then.
     */
    public static Verdict decideRest(long now, Knowledge knowledge, long headMadeAt) {
        Verdict verdict = decide(now, knowledge);
        return !verdict.isRefusal() && now - headMadeAt > MAX_KNOWLEDGE_AGE
                ? Verdict.HEAD_STALE
                : verdict;
    }
}
