package firstage.policy;

import static firstage.fixtures.SchedulerScenario.LOAD;
import static firstage.fixtures.SchedulerScenario.LOOKUP;
import static firstage.fixtures.SchedulerScenario.SECOND;
import static org.assertj.core.api.Assertions.assertThat;

import firstage.fixtures.SchedulerScenario;
import firstage.policy.api.AttemptOutcome;
import firstage.policy.api.EndpointUpdate.Lifecycle;
import org.junit.jupiter.api.Test;

/** Tests the bookkeeping of requests and engines. */
class WorkloadSchedulerTest {
    private final SchedulerScenario scenario = new SchedulerScenario();

    @Test
    void lateResult_ofClosedRequest_startsNothing() {
        scenario.start(2).request(1, LOOKUP);
        scenario.clientGone(1);
        scenario.result(1, AttemptOutcome.CONNECT_FAILED).advance(SECOND);
        assertThat(scenario.attempts(1)).isEqualTo(1);
        assertThat(scenario.isAnswered(1)).isFalse();
        assertThat(scenario.actions()).contains("releaseRequest 1");
    }

    @Test
    void engine_thatLeftLongAgo_isReleasedOnceNothingIsInFlight() {
        scenario.start(2).request(1, LOOKUP);
        scenario.endpointUpdate(scenario.engineOf(1), Lifecycle.GONE, 0)
                .endpointUpdate(1 - scenario.engineOf(1), Lifecycle.DRAINING, 0)
                .advance(90 * SECOND);
        assertThat(scenario.actions()).noneMatch(action -> action.startsWith("releaseEngine"));
        scenario.result(1, AttemptOutcome.SUCCEEDED);
        for (int id = 2; id < 6; id++) {
            scenario.request(id, LOAD).advance(20 * SECOND);
        }
        assertThat(scenario.actions().stream().filter(action -> action.startsWith("releaseEngine")))
                .containsExactly("releaseEngine " + scenario.engineOf(1));
    }
}
