package firstage.lifecycle;

import firstage.util.Ticks;

/**
 * Decides whether a statement may be written now, from the known state of its request and the age
 * of that knowledge. All first attempts, retries and hedged requests pass through this class each
 * time some of their bytes are about to be written; no other class makes this decision.
 */
public final class SendGuard {
    /**
     * Maximum age of knowledge that a send may rely on, in ticks; older knowledge is renewed first.
     * Half of the 0.1 s within which statements may still be sent for a client that left. The other
     * half allows for input that arrived and is not read yet.
     */
    public static final long MAX_KNOWLEDGE_AGE = Ticks.ofMillis(50);

    /** Decisions on whether a statement is written. */
    public enum Verdict {
        /** The statement may be written now. */
        SEND,
        /** The knowledge is too old: all pending input must be read before the next decision. */
        RENEW,
        /** The attempt was abandoned or has ended. */
        ATTEMPT_OVER,
        /** The client has its answer or gets none. */
        CLIENT_SETTLED,
        /** The client may be gone. */
        CLIENT_ABSENT,
        /** The client's deadline has passed. */
        DEADLINE_PASSED,
        /** The engine drains or is not listed any more. */
        ENGINE_LEAVING,
        /** The knowledge could not be renewed. */
        KNOWLEDGE_STALE,
        /** The head of the call, which states the time left to the client, is too old. */
        HEAD_STALE;

        /** Returns whether the statement must be written neither now nor later. */
        public boolean isRefusal() {
            return this != SEND && this != RENEW;
        }
    }

    /**
     * State of a request, its attempt and its engine as known when a send is checked. Times are
     * ticks.
     *
     * @param attemptOpen whether the attempt is neither abandoned nor ended
     * @param engineAccepts whether the engine is listed and does not drain, as of {@code readAsOf}
     * @param clientSettled whether the client has its answer or gets none
     * @param clientAbsent whether the client may be gone
     * @param clientSeenAt the last time at which the client's connection showed its presence
     * @param readAsOf the time up to which all input that had arrived was read and handled
     * @param deadline the client's deadline
     */
    public record Knowledge(
            boolean attemptOpen,
            boolean engineAccepts,
            boolean clientSettled,
            boolean clientAbsent,
            long clientSeenAt,
            long readAsOf,
            long deadline) {
        /** Returns the time as of which the oldest part of this knowledge holds. */
        public long asOf() {
            return Math.min(clientSeenAt, readAsOf);
        }
    }

    private SendGuard() {}

    /** Decides whether the statement may be written; see {@link Verdict} for the outcomes. */
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
     * Decides whether the rest of a partly written statement may be written.
     *
     * @param headMadeAt when the head of the call was made; the head states the time that the
     *     client had left then
     */
    public static Verdict decideRest(long now, Knowledge knowledge, long headMadeAt) {
        Verdict verdict = decide(now, knowledge);
        return !verdict.isRefusal() && now - headMadeAt > MAX_KNOWLEDGE_AGE
                ? Verdict.HEAD_STALE
                : verdict;
    }
}
