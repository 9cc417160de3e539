package firstage.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests single calls of clients event by event: the actions that each event causes. */
class ClientCallStateMachineTest implements ClientCallStateMachine.ClientCallActions {
    private final List<String> actions = new ArrayList<>();
    private final ClientCallStateMachine call = new ClientCallStateMachine(this);

    @Test
    void answer_whileFirstCallHeld_respondsAtOnce() {
        call.start();
        call.onAnswerAvailable();
        call.onTimeout();
        assertThat(actions).containsExactly("startTimer 2500", "respond", "stopTimer", "release");
    }

    @Test
    void answer_afterPollPath_isKeptForRepeatedPoll() {
        call.start();
        call.onTimeout();
        call.onPoll();
        call.onAnswerAvailable();
        call.onLastPollBroken();
        call.onPoll();
        call.onTimeout();
        assertThat(actions)
                .containsExactly(
                        "startTimer 2500",
                        "respondWithPollPath",
                        "startTimer 500",
                        "stopTimer",
                        "respond",
                        "startTimer 20000",
                        "respond",
                        "startTimer 20000",
                        "release");
    }

    @Test
    void firstCallBroken_withoutPollPath_clientGone() {
        call.start();
        call.onFirstCallBroken();
        call.onAnswerAvailable();
        assertThat(actions)
                .containsExactly(
                        "startTimer 2500",
                        "closeHeldCalls",
                        "stopTimer",
                        "release",
                        "markClientGone");
    }

    /**
     * A client that closes its connection after it got a path must count as absent at once, not
     * only after the poll grace.
     */
    @Test
    void pathConnectionClosed_beforePoll_clientAbsentAtOnceUntilItPolls() {
        call.start();
        call.onTimeout();
        call.onPathConnectionClosed();
        call.onPoll();
        call.onPathConnectionClosed();
        assertThat(actions)
                .containsExactly(
                        "startTimer 2500",
                        "respondWithPollPath",
                        "startTimer 500",
                        "startTimer 20000",
                        "markClientAbsent",
                        "stopTimer",
                        "markClientPresent");
    }

    @Test
    void poll_neverMade_clientGoneUnlessAnswerReady() {
        call.start();
        call.onTimeout();
        call.onTimeout();
        assertThat(actions)
                .containsExactly(
                        "startTimer 2500",
                        "respondWithPollPath",
                        "startTimer 500",
                        "startTimer 19500",
                        "markClientAbsent");
        call.onTimeout();
        assertThat(actions).endsWith("release", "markClientGone");
        actions.clear();
        ClientCallStateMachine other = new ClientCallStateMachine(this);
        other.start();
        other.onTimeout();
        other.onAnswerAvailable();
        assertThat(other.isSettled()).isFalse();
        other.onTimeout();
        assertThat(actions).endsWith("release").doesNotContain("markClientGone", "respond");
    }

    @Test
    void pollBroken_polledAgain_responds() {
        call.start();
        call.onTimeout();
        call.onPoll();
        call.onLastPollBroken();
        call.onPoll();
        call.onAnswerAvailable();
        assertThat(actions).contains("respond").doesNotContain("markClientGone");
    }

    @Test
    void pollBroken_thenPolled_clientAbsentThenPresent() {
        call.start();
        call.onTimeout();
        call.onPoll();
        actions.clear();
        call.onLastPollBroken();
        call.onPoll();
        assertThat(actions)
                .containsExactly(
                        "startTimer 20000", "markClientAbsent", "stopTimer", "markClientPresent");
        call.onLastPollBroken();
        call.onAnswerAvailable();
        call.onPoll();
        assertThat(actions)
                .endsWith("markClientAbsent", "startTimer 20000", "respond", "startTimer 20000")
                .doesNotContain("markClientGone");
    }

    @Test
    void cancel_clientAbsent_clientGone() {
        call.start();
        call.onTimeout();
        call.onTimeout();
        call.onClientCancelled();
        assertThat(actions).endsWith("markClientAbsent", "stopTimer", "release", "markClientGone");
    }

    @Test
    void cancel_pollHeld_failsHeldCalls() {
        call.start();
        call.onTimeout();
        call.onPoll();
        call.onClientCancelled();
        call.onAnswerAvailable();
        assertThat(actions)
                .endsWith("failHeldCalls", "release", "markClientGone")
                .doesNotContain("respond");
    }

    @Override
    public void respondWithPollPath() {
        actions.add("respondWithPollPath");
    }

    @Override
    public void respond() {
        actions.add("respond");
    }

    @Override
    public void startTimer(long delay) {
        actions.add("startTimer " + delay);
    }

    @Override
    public void stopTimer() {
        actions.add("stopTimer");
    }

    @Override
    public void failHeldCalls() {
        actions.add("failHeldCalls");
    }

    @Override
    public void closeHeldCalls() {
        actions.add("closeHeldCalls");
    }

    @Override
    public void markClientAbsent() {
        actions.add("markClientAbsent");
    }

    @Override
    public void markClientPresent() {
        actions.add("markClientPresent");
    }

    @Override
    public void markClientGone() {
        actions.add("markClientGone");
    }

    @Override
    public void release() {
        actions.add("release");
    }
}
