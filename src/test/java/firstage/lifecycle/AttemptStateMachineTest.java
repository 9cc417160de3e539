package firstage.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;

import firstage.lifecycle.AttemptStateMachine.Alarm;
import firstage.lifecycle.AttemptStateMachine.Loss;
import firstage.lifecycle.AttemptStateMachine.Word;
import firstage.policy.api.AttemptOutcome;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * A dispatch's life, story by story: what it does, how it ends, and how long its engine may hold
 * it.
 */
class AttemptStateMachineTest implements AttemptStateMachine.Carrier {
    private final List<String> acts = new ArrayList<>();
    private AttemptStateMachine life = new AttemptStateMachine(this, true);
    private boolean lives;
    private boolean awaited = true;
    private long limit;
    private int done;
    private long now = 1_000_000;

    private AttemptStateMachineTest written() {
        life.start();
        life.written(now);
        acts.clear();
        return this;
    }

    @Test
    void itIsAskedForUntilItsLastPageIsHere() {
        written();
        life.posted(now, Word.NEWS);
        life.told(now + 2_500, Word.PAGE);
        life.told(now + 2_510, Word.LAST);
        assertThat(acts).containsExactly("ask", "fetch 1", "SUCCEEDED 0");
    }

    @Test
    void givenUpBeforeItIsWrittenItNeverRan() {
        life.start();
        life.giveUp(now, AttemptOutcome.CANCELLED);
        assertThat(life.wanted()).isFalse();
        life.rang(now, Alarm.DUE);
        assertThat(acts).containsExactly("post", "after 0 DUE", "NOT_SENT 0");
    }

    @Test
    void itsEngineMayHoldItWhereTheDeleteMayHaveOvertakenTheStatement() {
        written();
        life.giveUp(now + 10, AttemptOutcome.TIMED_OUT);
        life.deleted(now + 20);
        assertThat(acts).containsExactly("after 200 DUE", "delete", "after 5000 DELETE_AGAIN");
        limit = now + 200_000;
        life.rang(now + 210, Alarm.DUE);
        assertThat(acts).last().isEqualTo("TIMED_OUT " + (AttemptStateMachine.FORGETS - 210));
    }

    @Test
    void theStatementsOwnAnswerMakesADeleteProof() {
        written();
        life.giveUp(now + 10, AttemptOutcome.TIMED_OUT);
        life.posted(now + 20, Word.NEWS);
        life.rang(now + 140, Alarm.DELETE_AGAIN);
        life.deleted(now + 150);
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
        life.posted(now, Word.NEWS);
        awaited = false;
        life.giveUp(now + 10, AttemptOutcome.CANCELLED);
        life.told(now + 80, Word.NEWS);
        life.rang(now + 200, Alarm.DELETE_AGAIN);
        life.deleted(now + 205);
        assertThat(acts)
                .containsExactly(
                        "ask",
                        "after 200 DUE",
                        "delete",
                        "after 120 DELETE_AGAIN",
                        "delete",
                        "CANCELLED 0");
    }

    @Test
    void whatNobodyWaitsForIsToldOnlyOnceItIsProven() {
        written();
        life.posted(now, Word.NEWS);
        awaited = false;
        limit = now + 200_000;
        life.giveUp(now + 10, AttemptOutcome.CANCELLED);
        life.rang(now + 210, Alarm.DUE);
        assertThat(life.lingers()).isTrue();
        assertThat(acts)
                .containsExactly("ask", "after 200 DUE", "delete", "after 200790 FORGOTTEN");
        life.deleteFailed(now + 2_510, Loss.UNREACHED);
        life.rang(now + 3_010, Alarm.DELETE_AGAIN);
        life.deleted(now + 3_020);
        assertThat(acts).endsWith("after 500 DELETE_AGAIN", "delete", "CANCELLED 0");
        life.rang(now + 200_990, Alarm.FORGOTTEN);
        assertThat(acts).endsWith("CANCELLED 0");
        assertThat(done).isEqualTo(1);
    }

    @Test
    void whatIsNeverProvenIsHeldUntilItsLimitAndItsEngineIsToldOn() {
        written();
        limit = now + 200_000;
        life.giveUp(now + 10, AttemptOutcome.CANCELLED);
        life.rang(now + 210, Alarm.DUE);
        assertThat(acts).endsWith("after 200790 FORGOTTEN", "CANCELLED 200790");
        assertThat(life.lingers()).isFalse();
        life.deleted(now + 300);
        life.rang(now + 5_300, Alarm.DELETE_AGAIN);
        assertThat(acts).endsWith("after 5000 DELETE_AGAIN", "delete");
        assertThat(done).isZero();
        life.rang(now + 201_000, Alarm.FORGOTTEN);
        assertThat(acts).endsWith("delete");
        assertThat(done).isEqualTo(1);
    }

    @Test
    void aStatementThatLayUnreadForSoLongNeverComes() {
        written();
        awaited = false;
        limit = now + 200_000;
        life.giveUp(now + 10, AttemptOutcome.CANCELLED);
        life.rang(now + 210, Alarm.DUE);
        life.deleted(now + AttemptStateMachine.FORGETS - 1);
        assertThat(acts).last().isEqualTo("after 5000 DELETE_AGAIN");
        life.deleted(now + AttemptStateMachine.FORGETS + 5_000);
        assertThat(acts).last().isEqualTo("CANCELLED 0");
    }

    @Test
    void whereNoOtherWaitsAnEndIsNotProvenForLong() {
        life = new AttemptStateMachine(this, false);
        written();
        life.posted(now, Word.NEWS);
        awaited = false;
        life.giveUp(now + 10, AttemptOutcome.CANCELLED);
        life.rang(now + 210, Alarm.DUE);
        assertThat(acts)
                .containsExactly(
                        "ask",
                        "after 200 DUE",
                        "delete",
                        "CANCELLED " + (AttemptStateMachine.FORGETS - 210));
        assertThat(done).isEqualTo(1);
    }

    @Test
    void thatTheEngineDoesNotKnowItProvesNothingWhileItsStatementMayLieUnread() {
        written();
        life.postFailed(now + 5, Loss.LOST);
        life.told(now + 10, Word.ERROR);
        life.rang(now + 210, Alarm.DUE);
        assertThat(acts)
                .containsExactly(
                        "ask fresh",
                        "after 200 DUE",
                        "delete",
                        "after " + (AttemptStateMachine.FORGETS + 5 - 210) + " FORGOTTEN",
                        "FAILED " + (AttemptStateMachine.FORGETS + 5 - 210));
    }

    @Test
    void aRefusalEndsItOnlyWhereNoOtherConnectionIsUpAndMayStillBeADrain() {
        written();
        life.posted(now, Word.NEWS);
        lives = true;
        life.lost(now + 100, Loss.REFUSED);
        assertThat(acts).containsExactly("ask", "after 500 AGAIN");
        life.rang(now + 600, Alarm.AGAIN);
        lives = false;
        life.lost(now + 700, Loss.REFUSED);
        assertThat(acts)
                .last()
                .isEqualTo("CONNECTION_LOST " + (AttemptStateMachine.FORGETS + 600 - 700));
    }

    @Test
    void anErrorIsProvenByADeleteWhereOthersWaitAndEndsAtOnceElsewhere() {
        written();
        life.posted(now, Word.ERROR);
        assertThat(acts).containsExactly("after 200 DUE", "delete");
        life.deleted(now + 10);
        assertThat(acts).last().isEqualTo("FAILED 0");
        life = new AttemptStateMachine(this, false);
        written();
        life.posted(now, Word.ERROR);
        assertThat(acts).containsExactly("FAILED 0");
    }

    @Test
    void answersThatCannotBeReadAreAskedForAgainButNotForEver() {
        written();
        life.posted(now, Word.NEWS);
        for (int i = 0; i < 4; i++) {
            life.lost(now + i, Loss.SPOILT);
            life.rang(now + i, Alarm.AGAIN);
        }
        assertThat(acts).contains("ask fresh").doesNotContain("delete");
        life.lost(now + 5, Loss.SPOILT);
        assertThat(acts).endsWith("after 200 DUE", "delete");
    }

    @Test
    void newConnectionsThatAreResetCostNothingAtFirst() {
        life.start();
        life.postFailed(now, Loss.RESET);
        life.postFailed(now, Loss.RESET);
        life.postFailed(now, Loss.RESET);
        assertThat(acts).containsExactly("post", "post", "post", "CONNECT_FAILED 0");
    }

    @Test
    void nothingIsToldAfterItsEnd() {
        written();
        life.posted(now, Word.TURNED_AWAY);
        life.told(now, Word.LAST);
        life.giveUp(now, AttemptOutcome.TIMED_OUT);
        life.rang(now, Alarm.DUE);
        assertThat(acts).containsExactly("REFUSED 0");
    }

    @Override
    public void post() {
        acts.add("post");
    }

    @Override
    public void ask(boolean fresh) {
        acts.add("ask" + (fresh ? " fresh" : ""));
    }

    @Override
    public void fetch(int page, boolean fresh) {
        acts.add("fetch " + page);
    }

    @Override
    public void delete(boolean fresh) {
        acts.add("delete");
    }

    @Override
    public void after(long delay, Alarm alarm) {
        acts.add("after " + delay + " " + alarm);
    }

    @Override
    public boolean lives() {
        return lives;
    }

    @Override
    public boolean awaited() {
        return awaited;
    }

    @Override
    public long limit() {
        return limit;
    }

    @Override
    public void done() {
        done++;
    }

    @Override
    public void ended(AttemptOutcome how, long rest) {
        acts.add(how + " " + rest);
    }
}
