package firstage.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A client's call, story by story. */
class ClientCallStateMachineTest implements ClientCallStateMachine.ClientCallActions {
    private final List<String> acts = new ArrayList<>();
    private final ClientCallStateMachine life = new ClientCallStateMachine(this);

    @Test
    void aQuickAnswerGoesOutOnTheFirstCall() {
        life.start();
        life.onAnswerAvailable();
        life.onTimeout();
        assertThat(acts).containsExactly("arm 2500", "give", "disarm", "forget");
    }

    @Test
    void aSlowOneGetsAPathAndIsKeptForACallThatIsMadeAgain() {
        life.start();
        life.onTimeout();
        life.onPoll();
        life.onAnswerAvailable();
        life.onLastPollBroken();
        life.onPoll();
        life.onTimeout();
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
        life.onFirstCallBroken();
        life.onAnswerAvailable();
        assertThat(acts).containsExactly("arm 2500", "close", "disarm", "forget", "left");
    }

    @Test
    void aPathThatNobodyAsksAtIsGivenUpAndAnAnswerThatIsThereIsNot() {
        life.start();
        life.onTimeout();
        life.onTimeout();
        assertThat(acts).containsExactly("arm 2500", "path", "arm 500", "arm 19500", "away");
        life.onTimeout();
        assertThat(acts).endsWith("forget", "left");
        acts.clear();
        ClientCallStateMachine other = new ClientCallStateMachine(this);
        other.start();
        other.onTimeout();
        other.onAnswerAvailable();
        assertThat(other.isSettled()).isFalse();
        other.onTimeout();
        assertThat(acts).endsWith("forget").doesNotContain("left", "give");
    }

    @Test
    void aCallAtThePathThatBreaksMayBeMadeAgain() {
        life.start();
        life.onTimeout();
        life.onPoll();
        life.onLastPollBroken();
        life.onPoll();
        life.onAnswerAvailable();
        assertThat(acts).contains("give").doesNotContain("left");
    }

    @Test
    void aClientThatDoesNotCallAgainIsAwayAndOneThatDoesIsBack() {
        life.start();
        life.onTimeout();
        life.onPoll();
        acts.clear();
        life.onLastPollBroken();
        life.onPoll();
        assertThat(acts).containsExactly("arm 20000", "away", "disarm", "back");
        life.onLastPollBroken();
        life.onAnswerAvailable();
        life.onPoll();
        assertThat(acts).endsWith("away", "arm 20000", "give", "arm 20000").doesNotContain("left");
    }

    @Test
    void aClientThatIsAwayAndGivesUpIsOwedNothing() {
        life.start();
        life.onTimeout();
        life.onTimeout();
        life.onClientCancelled();
        assertThat(acts).endsWith("away", "disarm", "forget", "left");
    }

    @Test
    void aClientThatGivesUpIsOwedNothingMore() {
        life.start();
        life.onTimeout();
        life.onPoll();
        life.onClientCancelled();
        life.onAnswerAvailable();
        assertThat(acts).endsWith("fail", "forget", "left").doesNotContain("give");
    }

    @Override
    public void respondWithPollPath() {
        acts.add("path");
    }

    @Override
    public void respond() {
        acts.add("give");
    }

    @Override
    public void startTimer(long delay) {
        acts.add("arm " + delay);
    }

    @Override
    public void stopTimer() {
        acts.add("disarm");
    }

    @Override
    public void failHeldCalls() {
        acts.add("fail");
    }

    @Override
    public void closeHeldCalls() {
        acts.add("close");
    }

    @Override
    public void markClientAbsent() {
        acts.add("away");
    }

    @Override
    public void markClientPresent() {
        acts.add("back");
    }

    @Override
    public void markClientGone() {
        acts.add("left");
    }

    @Override
    public void release() {
        acts.add("forget");
    }
}
