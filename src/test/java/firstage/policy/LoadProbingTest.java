package firstage.policy;

import static firstage.fixtures.SchedulerScenario.LOOKUP;
import static firstage.fixtures.SchedulerScenario.REPORT;
import static org.assertj.core.api.Assertions.assertThat;

import firstage.fixtures.SchedulerScenario;
import firstage.policy.api.AttemptOutcome;
import firstage.policy.api.LoadReport;
import org.junit.jupiter.api.Test;

/** Tests the probes of engines before a costly request. */
class LoadProbingTest {
    private final SchedulerScenario scenario = new SchedulerScenario();

    @Test
    void costlyRequest_withShareBelowIt_probesForIdleEngine() {
        scenario.managers = 64;
        scenario.probePrice = 0.01;
        scenario.start(3).request(9, REPORT);
        assertThat(scenario.actions())
                .as("no probe is worth its cost while latencies are low")
                .noneMatch(action -> action.startsWith("probe"));
        scenario.result(9, AttemptOutcome.SUCCEEDED)
                .request(10, LOOKUP)
                .success(10, 30_000)
                .request(11, LOOKUP)
                .success(11, 30_000);
        scenario.request(1, REPORT);
        assertThat(scenario.actions()).contains("probe 0", "probe 1", "probe 2");
        assertThat(scenario.attempts(1)).isZero();
        for (int engine = 0; engine < 3; engine++) {
            scenario.probeResult(engine, new LoadReport(0, engine == 1 ? 0 : 4, 0, 0, 0));
        }
        scenario.runPendingActions();
        assertThat(scenario.engineOf(1)).isEqualTo(1);
        // Three probes would cost more than the value that a lookup could lose.
        scenario.actions().clear();
        scenario.request(2, LOOKUP);
        assertThat(scenario.actions()).noneMatch(action -> action.startsWith("probe"));
    }

    @Test
    void costlyRequest_whereProbesReportNoLoad_startsWithoutProbe() {
        scenario.managers = 64;
        scenario.probePrice = 0.01;
        scenario.probesReportLoad = false;
        scenario.start(3).request(9, REPORT).result(9, AttemptOutcome.SUCCEEDED);
        scenario.request(10, LOOKUP).success(10, 30_000).request(11, LOOKUP).success(11, 30_000);
        scenario.request(1, REPORT);
        // If engines were probed, the request would wait for a load report that never arrives, and
        // be rejected without an attempt.
        assertThat(scenario.actions()).noneMatch(action -> action.startsWith("probe"));
        assertThat(scenario.attempts(1)).isEqualTo(1);
    }
}
