package firstage.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A client's call, story by story. */
class ClientCallStateMachineTest implements ClientCallStateMachine.Carrier {
    private final List<String> acts = new ArrayList<>();
    private final ClientCallStateMachine life = new ClientCallStateMachine(this);

    @Test
    void aQuickAnswerGoesOutOnTheFirstCall() {
        life.start();
        life.answer();
        life.due();
        assertThat(acts).containsExactly("arm 2500", "give", "disarm", "forget");
    }

    @Test
    void aSlowOneGetsAPathAndIsKeptForACallThatIsMadeAgain() {
        life.start();
        life.due();
        life.asked();
        life.answer();
        life.lastBroke();
        life.asked();
        life.due();
        assertThat(acts)
                .containsExactly(
                        "arm 2500",
                        "path",
                        "arm 500",
                        "disarm",
                        "give",
                        "arm 20000",
                        "give",
                        "arm 20000",
                        "forget");
    }

    @Test
    void aClientThatClosesWithNoPathGivesUp() {
        life.start();
        life.firstBroke();
        life.answer();
        assertThat(acts).containsExactly("arm 2500", "close", "disarm", "forget", "left");
    }

    @Test
    void aPathThatNobodyAsksAtIsGivenUpAndAnAnswerThatIsThereIsNot() {
        life.start();
        life.due();
        life.due();
        assertThat(acts).containsExactly("arm 2500", "path", "arm 500", "arm 19500", "away");
        life.due();
        assertThat(acts).endsWith("forget", "left");
        acts.clear();
        ClientCallStateMachine other = new ClientCallStateMachine(this);
        other.start();
        other.due();
        other.answer();
        assertThat(other.settled()).isFalse();
        other.due();
        assertThat(acts).endsWith("forget").doesNotContain("left", "give");
    }

    @Test
    void aCallAtThePathThatBreaksMayBeMadeAgain() {
        life.start();
        life.due();
        life.asked();
        life.lastBroke();
        life.asked();
        life.answer();
        assertThat(acts).contains("give").doesNotContain("left");
    }

    @Test
    void aClientThatDoesNotCallAgainIsAwayAndOneThatDoesIsBack() {
        life.start();
        life.due();
        life.asked();
        acts.clear();
        life.lastBroke();
        life.asked();
        assertThat(acts).containsExactly("arm 20000", "away", "disarm", "back");
        life.lastBroke();
        life.answer();
        life.asked();
        assertThat(acts).endsWith("away", "arm 20000", "give", "arm 20000").doesNotContain("left");
    }

    @Test
    void aClientThatIsAwayAndGivesUpIsOwedNothing() {
        life.start();
        life.due();
        life.due();
        life.gaveUp();
        assertThat(acts).endsWith("away", "disarm", "forget", "left");
    }

    @Test
    void aClientThatGivesUpIsOwedNothingMore() {
        life.start();
        life.due();
        life.asked();
        life.gaveUp();
        life.answer();
        assertThat(acts).endsWith("fail", "forget", "left").doesNotContain("give");
    }

    @Override
    public void givePath() {
        acts.add("path");
    }

    @Override
    public void give() {
        acts.add("give");
    }

    @Override
    public void arm(long delay) {
        acts.add("arm " + delay);
    }

    @Override
    public void disarm() {
        acts.add("disarm");
    }

    @Override
    public void failHeld() {
        acts.add("fail");
    }

    @Override
    public void closeHeld() {
        acts.add("close");
    }

    @Override
    public void away() {
        acts.add("away");
    }

    @Override
    public void back() {
        acts.add("back");
    }

    @Override
    public void left() {
        acts.add("left");
    }

    @Override
    public void forget() {
        acts.add("forget");
    }
}
