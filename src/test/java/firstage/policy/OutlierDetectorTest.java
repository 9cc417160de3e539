package firstage.policy;

import static firstage.fixtures.SchedulerScenario.LOAD;
import static firstage.fixtures.SchedulerScenario.LOOKUP;
import static firstage.fixtures.SchedulerScenario.REPORT;
import static firstage.fixtures.SchedulerScenario.SECOND;
import static org.assertj.core.api.Assertions.assertThat;

import firstage.fixtures.SchedulerScenario;
import firstage.policy.api.AttemptOutcome;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the ejection and the recovery of engines. */
class OutlierDetectorTest {
    private final SchedulerScenario scenario = new SchedulerScenario();

    @Test
    void engine_withoutProgressReports_isAvoidedAndItsRequestsHedged() {
        scenario.mayHedge = true;
        scenario.start(2).request(1, REPORT);
        int silent = scenario.engineOf(1);
        scenario.advance(2 * SECOND);
        assertThat(scenario.attempts(1)).isEqualTo(2);
        assertThat(scenario.engineOf(1)).isNotEqualTo(silent);
        scenario.request(2, LOAD).request(3, LOAD);
        assertThat(scenario.engineOf(2)).isNotEqualTo(silent);
        assertThat(scenario.engineOf(3)).isNotEqualTo(silent);
    }

    @Test
    void engine_thatFailsAtOnce_isEjected() {
        scenario.start(2);
        int failing = scenario.request(0, LOOKUP).engineOf(0);
        scenario.result(0, AttemptOutcome.FAILED);
        for (int id = 1; id < 20; id++) {
            scenario.request(id, LOOKUP);
            scenario.result(
                    id,
                    scenario.engineOf(id) == failing
                            ? AttemptOutcome.FAILED
                            : AttemptOutcome.SUCCEEDED);
            if (scenario.attempts(id) > 1) {
                scenario.result(id, AttemptOutcome.SUCCEEDED);
            }
        }
        long startedAtFailing =
                scenario.actions().stream()
                        .filter(action -> action.equals("start at " + failing))
                        .count();
        assertThat(startedAtFailing).isBetween(3L, 5L);
    }

    @Test
    void requests_thatFailEverywhere_ejectNoEngineAndEnd() {
        scenario.start(4);
        for (int id = 0; id < 8; id++) {
            scenario.request(id, LOOKUP)
                    .result(id, AttemptOutcome.FAILED)
                    .result(id, AttemptOutcome.FAILED);
            assertThat(scenario.attempts(id)).isEqualTo(2);
            assertThat(scenario.actions()).contains("fail " + id);
        }
        for (int id = 10; id < 14; id++) {
            scenario.request(id, REPORT);
        }
        assertThat(
                        List.of(
                                scenario.engineOf(10),
                                scenario.engineOf(11),
                                scenario.engineOf(12),
                                scenario.engineOf(13)))
                .doesNotHaveDuplicates();
    }

    @Test
    void engine_thatRefuses_isAvoidedUntilASuccess() {
        scenario.start(1)
                .request(1, REPORT)
                .request(2, LOOKUP)
                .result(2, AttemptOutcome.REFUSED)
                .request(3, LOOKUP);
        assertThat(scenario.attempts(3)).isZero();
        scenario.result(1, AttemptOutcome.SUCCEEDED);
        assertThat(scenario.attempts(3)).isEqualTo(1);
    }
}
