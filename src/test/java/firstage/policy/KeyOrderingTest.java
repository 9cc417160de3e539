package firstage.policy;

import static firstage.fixtures.SchedulerScenario.LOAD;
import static firstage.fixtures.SchedulerScenario.SECOND;
import static org.assertj.core.api.Assertions.assertThat;

import firstage.fixtures.SchedulerScenario;
import firstage.policy.api.AttemptOutcome;
import org.junit.jupiter.api.Test;

/** Tests rule 5, the order of requests within an ordering key. */
class KeyOrderingTest {
    private final SchedulerScenario scenario = new SchedulerScenario();

    @Test
    void requestsOfOneKey_afterBrokenConnection_runInOrderAfterAPause() {
        scenario.start(3)
                .request(1, LOAD, 9, 0, -1)
                .request(2, LOAD, 9, 0, -1)
                .request(3, LOAD, 9, 0, -1);
        assertThat(scenario.attempts(2)).isZero();
        scenario.result(1, AttemptOutcome.SUCCEEDED);
        assertThat(scenario.attempts(2)).isEqualTo(1);
        scenario.result(2, AttemptOutcome.CONNECTION_LOST).advance(SECOND / 2 - 200);
        assertThat(scenario.attempts(3)).isZero();
        scenario.advance(400);
        assertThat(scenario.attempts(3)).isEqualTo(1);
    }

    @Test
    void requestOfUnknownOrder_onArrival_isRejectedAndPausesItsKey() {
        scenario.start(2).requestOfUnknownOrder(2, 7);
        assertThat(scenario.actions()).contains("reject 2");
        scenario.request(1, LOAD, 7, 0, -1);
        assertThat(scenario.attempts(1)).isZero();
        scenario.advance(SECOND / 5);
        assertThat(scenario.attempts(1)).isEqualTo(1);
        assertThat(scenario.attempts(2)).isZero();
    }

    @Test
    void nextRequestOfKey_whileEngineMayRunTheFirst_waits() {
        scenario.start(2)
                .request(1, LOAD, 7, 0, -1)
                .request(2, LOAD, 7, 0, -1)
                .resultThatMayStillRun(1, AttemptOutcome.FAILED, 2 * SECOND);
        assertThat(scenario.actions()).contains("fail 1");
        assertThat(scenario.advance(SECOND * 19 / 10).attempts(2)).isZero();
        assertThat(scenario.advance(SECOND / 5).attempts(2)).isEqualTo(1);
    }
}
