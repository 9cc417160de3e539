package firstage.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;

import firstage.lifecycle.SendGuard.Knowledge;
import firstage.lifecycle.SendGuard.Verdict;
import firstage.util.Ticks;
import org.junit.jupiter.api.Test;

class SendGuardTest {
    private static final long NOW = 100_000;
    private static final long DEADLINE = NOW + 10_000;
    private static final long TOO_OLD = SendGuard.MAX_KNOWLEDGE_AGE + 1;

    private static Knowledge knowledge(long clientSeenAt, long readAsOf) {
        return new Knowledge(true, true, false, false, clientSeenAt, readAsOf, DEADLINE);
    }

    /** With larger limits, a statement could be sent more than 0.1 s after its client left. */
    @Test
    void knowledgeAgeAndPollGrace_areAtMostHalfOfWhatIsAllowed() {
        long allowed = Ticks.ofMillis(100);
        assertThat(2 * SendGuard.MAX_KNOWLEDGE_AGE).isLessThanOrEqualTo(allowed);
        assertThat(2 * ClientCallStateMachine.POLL_GRACE).isLessThanOrEqualTo(allowed);
    }

    @Test
    void decide_freshKnowledge_sends() {
        assertThat(SendGuard.decide(NOW, knowledge(NOW, NOW - SendGuard.MAX_KNOWLEDGE_AGE)))
                .isEqualTo(Verdict.SEND);
    }

    /** Knowledge from before a pause of the process does not show whether the client is there. */
    @Test
    void decide_oldKnowledge_isRenewed() {
        assertThat(SendGuard.decide(NOW, knowledge(NOW, NOW - TOO_OLD))).isEqualTo(Verdict.RENEW);
        assertThat(SendGuard.decide(NOW, knowledge(NOW - TOO_OLD, NOW))).isEqualTo(Verdict.RENEW);
    }

    @Test
    void decide_sendNotAllowed_refusesWithReason() {
        assertThat(decide(false, true, false, false, DEADLINE)).isEqualTo(Verdict.ATTEMPT_OVER);
        assertThat(decide(true, false, false, false, DEADLINE)).isEqualTo(Verdict.ENGINE_LEAVING);
        assertThat(decide(true, true, true, false, DEADLINE)).isEqualTo(Verdict.CLIENT_SETTLED);
        assertThat(decide(true, true, false, true, DEADLINE)).isEqualTo(Verdict.CLIENT_ABSENT);
        assertThat(decide(true, true, false, false, NOW)).isEqualTo(Verdict.DEADLINE_PASSED);
    }

    private static Verdict decide(
            boolean open, boolean accepts, boolean settled, boolean absent, long deadline) {
        Verdict verdict =
                SendGuard.decide(
                        NOW, new Knowledge(open, accepts, settled, absent, NOW, NOW, deadline));
        assertThat(verdict.isRefusal()).isTrue();
        return verdict;
    }

    /**
     * The rest of a statement waited until its engine read the first part; the head now states more
     * time than the client has left.
     */
    @Test
    void decideRest_headMadeLongAgo_isRefused() {
        assertThat(SendGuard.decideRest(NOW, knowledge(NOW, NOW), NOW - TOO_OLD))
                .isEqualTo(Verdict.HEAD_STALE);
        assertThat(SendGuard.decideRest(NOW, knowledge(NOW, NOW), NOW - 1)).isEqualTo(Verdict.SEND);
    }
}
