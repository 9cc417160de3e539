package firstage.life;

import static org.assertj.core.api.Assertions.assertThat;

import firstage.door.Outcome;
import firstage.life.DispatchLife.Alarm;
import firstage.life.DispatchLife.Loss;
import firstage.life.DispatchLife.Word;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A dispatch's life, story by story: what it does, how it ends, and how long its engine may hold it. */
class DispatchLifeTest implements DispatchLife.Carrier {
    private final List<String> acts = new ArrayList<>();
    private DispatchLife life = new DispatchLife(this, true);
    private boolean lives;
    private long now = 1_000_000;

    private DispatchLifeTest written() {
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
        assertThat(acts).containsExactly("ask", "fetch 1", "RETURNED 0");
    }

    @Test
    void givenUpBeforeItIsWrittenItNeverRan() {
        life.start();
        life.giveUp(now, Outcome.CALLED_OFF);
        assertThat(life.wanted()).isFalse();
        life.rang(now, Alarm.DUE);
        assertThat(acts).containsExactly("post", "after 0 DUE", "NOT_SENT 0");
    }

    @Test
    void itsEngineMayHoldItWhereTheDeleteMayHaveOvertakenTheStatement() {
        written();
        life.giveUp(now + 10, Outcome.TIMED_OUT);
        life.deleted(now + 20);
        assertThat(acts).containsExactly("after 200 DUE", "delete");
        life.rang(now + 210, Alarm.DUE);
        assertThat(acts).last().isEqualTo("TIMED_OUT " + (DispatchLife.FORGETS - 210));
    }

    @Test
    void theStatementsOwnAnswerMakesADeleteProof() {
        written();
        life.giveUp(now + 10, Outcome.TIMED_OUT);
        life.posted(now + 20, Word.NEWS);
        life.deleted(now + 30);
        assertThat(acts).containsExactly("after 200 DUE", "delete", "delete", "TIMED_OUT 0");
    }

    @Test
    void thatTheEngineDoesNotKnowItProvesNothingWhileItsStatementMayLieUnread() {
        written();
        life.postFailed(now + 5, Loss.LOST);
        life.told(now + 10, Word.ERROR);
        life.rang(now + 210, Alarm.DUE);
        assertThat(acts).containsExactly("ask fresh", "after 200 DUE", "delete",
                "ERRORED " + (DispatchLife.FORGETS + 5 - 210));
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
        assertThat(acts).last().isEqualTo("BROKEN " + (DispatchLife.FORGETS + 600 - 700));
    }

    @Test
    void anErrorIsProvenByADeleteWhereOthersWaitAndEndsAtOnceElsewhere() {
        written();
        life.posted(now, Word.ERROR);
        assertThat(acts).containsExactly("after 200 DUE", "delete");
        life.deleted(now + 10);
        assertThat(acts).last().isEqualTo("ERRORED 0");
        life = new DispatchLife(this, false);
        written();
        life.posted(now, Word.ERROR);
        assertThat(acts).containsExactly("ERRORED 0");
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
        assertThat(acts).containsExactly("post", "post", "post", "NO_CONNECTION 0");
    }

    @Test
    void nothingIsToldAfterItsEnd() {
        written();
        life.posted(now, Word.TURNED_AWAY);
        life.told(now, Word.LAST);
        life.giveUp(now, Outcome.TIMED_OUT);
        life.rang(now, Alarm.DUE);
        assertThat(acts).containsExactly("TURNED_AWAY 0");
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
    public void ended(Outcome how, long rest) {
        acts.add(how + " " + rest);
    }
}
