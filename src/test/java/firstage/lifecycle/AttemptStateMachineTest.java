package firstage.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;

import firstage.lifecycle.AttemptStateMachine.CallFailure;
import firstage.lifecycle.AttemptStateMachine.EngineReply;
import firstage.lifecycle.AttemptStateMachine.Timeout;
import firstage.policy.api.AttemptOutcome;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * A dispatch's life, story by story: what it does, how it ends, and how long its engine may hold
 * it.
 */
class AttemptStateMachineTest implements AttemptStateMachine.AttemptActions {
    private final List<String> acts = new ArrayList<>();
    private AttemptStateMachine life = new AttemptStateMachine(this, true);
    private boolean lives;
    private boolean awaited = true;
    private long limit;
    private int done;
    private long now = 1_000_000;

    private AttemptStateMachineTest written() {
        life.start();
        life.onStatementWritten(now);
        acts.clear();
        return this;
    }

    @Test
    void itIsAskedForUntilItsLastPageIsHere() {
        written();
        life.onStatementReply(now, EngineReply.PROGRESS);
        life.onReply(now + 2_500, EngineReply.PAGE);
        life.onReply(now + 2_510, EngineReply.LAST_PAGE);
        assertThat(acts).containsExactly("ask", "fetch 1", "RETURNED 0");
    }

    @Test
    void givenUpBeforeItIsWrittenItNeverRan() {
        life.start();
        life.abandon(now, AttemptOutcome.CANCELLED);
        assertThat(life.shouldSendStatement()).isFalse();
        life.onTimeout(now, Timeout.ABANDON);
        assertThat(acts).containsExactly("post", "after 0 DUE", "NOT_SENT 0");
    }

    @Test
    void itsEngineMayHoldItWhereTheDeleteMayHaveOvertakenTheStatement() {
        written();
        life.abandon(now + 10, AttemptOutcome.TIMED_OUT);
        life.onDeleteAcknowledged(now + 20);
        assertThat(acts).containsExactly("after 200 DUE", "delete", "after 5000 DELETE_AGAIN");
        limit = now + 200_000;
        life.onTimeout(now + 210, Timeout.ABANDON);
        assertThat(acts)
                .last()
                .isEqualTo("TIMED_OUT " + (AttemptStateMachine.UNPOLLED_EXPIRY - 210));
    }

    @Test
    void theStatementsOwnAnswerMakesADeleteProof() {
        written();
        life.abandon(now + 10, AttemptOutcome.TIMED_OUT);
        life.onStatementReply(now + 20, EngineReply.PROGRESS);
        life.onTimeout(now + 140, Timeout.RETRY_DELETE);
        life.onDeleteAcknowledged(now + 150);
        assertThat(acts)
                .containsExactly(
                        "after 200 DUE",
                        "delete",
                        "after 120 DELETE_AGAIN",
                        "delete",
                        "TIMED_OUT 0");
        assertThat(done).isEqualTo(1);
    }

    /**
     * Its connection comes up late: the engine is told on the one that carried the call for news.
     */
    @Test
    void aDeleteIsGivenAgainWhereItsConnectionNeverCameUp() {
        written();
        life.onStatementReply(now, EngineReply.PROGRESS);
        awaited = false;
        life.abandon(now + 10, AttemptOutcome.CANCELLED);
        life.onReply(now + 80, EngineReply.PROGRESS);
        life.onTimeout(now + 200, Timeout.RETRY_DELETE);
        life.onDeleteAcknowledged(now + 205);
        assertThat(acts)
                .containsExactly(
                        "ask",
                        "after 200 DUE",
                        "delete",
                        "after 120 DELETE_AGAIN",
                        "delete",
                        "CALLED_OFF 0");
    }

    @Test
    void whatNobodyWaitsForIsToldOnlyOnceItIsProven() {
        written();
        life.onStatementReply(now, EngineReply.PROGRESS);
        awaited = false;
        limit = now + 200_000;
        life.abandon(now + 10, AttemptOutcome.CANCELLED);
        life.onTimeout(now + 210, Timeout.ABANDON);
        assertThat(life.isLingering()).isTrue();
        assertThat(acts)
                .containsExactly("ask", "after 200 DUE", "delete", "after 200790 FORGOTTEN");
        life.onDeleteFailed(now + 2_510, CallFailure.CONNECT_TIMEOUT);
        life.onTimeout(now + 3_010, Timeout.RETRY_DELETE);
        life.onDeleteAcknowledged(now + 3_020);
        assertThat(acts).endsWith("after 500 DELETE_AGAIN", "delete", "CALLED_OFF 0");
        life.onTimeout(now + 200_990, Timeout.EXPIRY);
        assertThat(acts).endsWith("CALLED_OFF 0");
        assertThat(done).isEqualTo(1);
    }

    @Test
    void whatIsNeverProvenIsHeldUntilItsLimitAndItsEngineIsToldOn() {
        written();
        limit = now + 200_000;
        life.abandon(now + 10, AttemptOutcome.CANCELLED);
        life.onTimeout(now + 210, Timeout.ABANDON);
        assertThat(acts).endsWith("after 200790 FORGOTTEN", "CALLED_OFF 200790");
        assertThat(life.isLingering()).isFalse();
        life.onDeleteAcknowledged(now + 300);
        life.onTimeout(now + 5_300, Timeout.RETRY_DELETE);
        assertThat(acts).endsWith("after 5000 DELETE_AGAIN", "delete");
        assertThat(done).isZero();
        life.onTimeout(now + 201_000, Timeout.EXPIRY);
        assertThat(acts).endsWith("delete");
        assertThat(done).isEqualTo(1);
    }

    @Test
    void aStatementThatLayUnreadForSoLongNeverComes() {
        written();
        awaited = false;
        limit = now + 200_000;
        life.abandon(now + 10, AttemptOutcome.CANCELLED);
        life.onTimeout(now + 210, Timeout.ABANDON);
        life.onDeleteAcknowledged(now + AttemptStateMachine.UNPOLLED_EXPIRY - 1);
        assertThat(acts).last().isEqualTo("after 5000 DELETE_AGAIN");
        life.onDeleteAcknowledged(now + AttemptStateMachine.UNPOLLED_EXPIRY + 5_000);
        assertThat(acts).last().isEqualTo("CALLED_OFF 0");
    }

    @Test
    void whereNoOtherWaitsAnEndIsNotProvenForLong() {
        life = new AttemptStateMachine(this, false);
        written();
        life.onStatementReply(now, EngineReply.PROGRESS);
        awaited = false;
        life.abandon(now + 10, AttemptOutcome.CANCELLED);
        life.onTimeout(now + 210, Timeout.ABANDON);
        assertThat(acts)
                .containsExactly(
                        "ask",
                        "after 200 DUE",
                        "delete",
                        "CALLED_OFF " + (AttemptStateMachine.UNPOLLED_EXPIRY - 210));
        assertThat(done).isEqualTo(1);
    }

    @Test
    void thatTheEngineDoesNotKnowItProvesNothingWhileItsStatementMayLieUnread() {
        written();
        life.onStatementFailed(now + 5, CallFailure.REPLY_LOST);
        life.onReply(now + 10, EngineReply.FAILED);
        life.onTimeout(now + 210, Timeout.ABANDON);
        assertThat(acts)
                .containsExactly(
                        "ask fresh",
                        "after 200 DUE",
                        "delete",
                        "after " + (AttemptStateMachine.UNPOLLED_EXPIRY + 5 - 210) + " FORGOTTEN",
                        "ERRORED " + (AttemptStateMachine.UNPOLLED_EXPIRY + 5 - 210));
    }

    @Test
    void aRefusalEndsItOnlyWhereNoOtherConnectionIsUpAndMayStillBeADrain() {
        written();
        life.onStatementReply(now, EngineReply.PROGRESS);
        lives = true;
        life.onCallFailed(now + 100, CallFailure.CONNECTION_REFUSED);
        assertThat(acts).containsExactly("ask", "after 500 AGAIN");
        life.onTimeout(now + 600, Timeout.RETRY_POLL);
        lives = false;
        life.onCallFailed(now + 700, CallFailure.CONNECTION_REFUSED);
        assertThat(acts)
                .last()
                .isEqualTo("BROKEN " + (AttemptStateMachine.UNPOLLED_EXPIRY + 600 - 700));
    }

    @Test
    void anErrorIsProvenByADeleteWhereOthersWaitAndEndsAtOnceElsewhere() {
        written();
        life.onStatementReply(now, EngineReply.FAILED);
        assertThat(acts).containsExactly("after 200 DUE", "delete");
        life.onDeleteAcknowledged(now + 10);
        assertThat(acts).last().isEqualTo("ERRORED 0");
        life = new AttemptStateMachine(this, false);
        written();
        life.onStatementReply(now, EngineReply.FAILED);
        assertThat(acts).containsExactly("ERRORED 0");
    }

    @Test
    void answersThatCannotBeReadAreAskedForAgainButNotForEver() {
        written();
        life.onStatementReply(now, EngineReply.PROGRESS);
        for (int i = 0; i < 4; i++) {
            life.onCallFailed(now + i, CallFailure.REPLY_UNREADABLE);
            life.onTimeout(now + i, Timeout.RETRY_POLL);
        }
        assertThat(acts).contains("ask fresh").doesNotContain("delete");
        life.onCallFailed(now + 5, CallFailure.REPLY_UNREADABLE);
        assertThat(acts).endsWith("after 200 DUE", "delete");
    }

    @Test
    void newConnectionsThatAreResetCostNothingAtFirst() {
        life.start();
        life.onStatementFailed(now, CallFailure.RESET_BEFORE_SEND);
        life.onStatementFailed(now, CallFailure.RESET_BEFORE_SEND);
        life.onStatementFailed(now, CallFailure.RESET_BEFORE_SEND);
        assertThat(acts).containsExactly("post", "post", "post", "NO_CONNECTION 0");
    }

    @Test
    void nothingIsToldAfterItsEnd() {
        written();
        life.onStatementReply(now, EngineReply.REFUSED);
        life.onReply(now, EngineReply.LAST_PAGE);
        life.abandon(now, AttemptOutcome.TIMED_OUT);
        life.onTimeout(now, Timeout.ABANDON);
        assertThat(acts).containsExactly("TURNED_AWAY 0");
    }

    @Override
    public void sendStatement() {
        acts.add("post");
    }

    @Override
    public void poll(boolean fresh) {
        acts.add("ask" + (fresh ? " fresh" : ""));
    }

    @Override
    public void fetchPage(int page, boolean fresh) {
        acts.add("fetch " + page);
    }

    @Override
    public void sendDelete(boolean fresh) {
        acts.add("delete");
    }

    @Override
    public void startTimer(long delay, Timeout alarm) {
        acts.add("after " + delay + " " + alarm);
    }

    @Override
    public boolean hasOpenConnection() {
        return lives;
    }

    @Override
    public boolean isResultAwaited() {
        return awaited;
    }

    @Override
    public long deadline() {
        return limit;
    }

    @Override
    public void release() {
        done++;
    }

    @Override
    public void reportEnd(AttemptOutcome how, long rest) {
        acts.add(how + " " + rest);
    }
}
