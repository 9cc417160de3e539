package firstage.policy;

import static firstage.fixtures.SchedulerScenario.REPORT;
import static firstage.fixtures.SchedulerScenario.SECOND;
import static org.assertj.core.api.Assertions.assertThat;

import firstage.fixtures.SchedulerScenario;
import firstage.policy.api.AttemptOutcome;
import firstage.policy.api.AttemptProgress;
import org.junit.jupiter.api.Test;

/** Tests the detection of attempts that make no or too little progress. */
class StuckAttemptDetectorTest {
    private final SchedulerScenario scenario = new SchedulerScenario();

    @Test
    void attemptWithoutReports_onReportingEngine_isCancelled() {
        scenario.mayCancel = true;
        scenario.start(1).request(1, REPORT).request(2, REPORT);
        for (int step = 0; step < 4; step++) {
            scenario.advance(SECOND / 2)
                    .progress(1, AttemptProgress.Kind.FRACTION_DONE, 0.1 + step * 0.2);
        }
        assertThat(scenario.actions()).contains("cancel 2").doesNotContain("cancel 1");
    }

    @Test
    void attemptQueuedForMemory_withoutReports_isLeftAlone() {
        scenario.mayCancel = true;
        scenario.start(1)
                .request(1, REPORT)
                .progress(1, AttemptProgress.Kind.WAITING_FOR_MEMORY, 0)
                .advance(3 * SECOND);
        assertThat(scenario.actions()).doesNotContain("cancel 1");
    }

    @Test
    void runawayAttempt_withinItsObjective_isCancelledAndRetried() {
        scenario.mayCancel = true;
        scenario.start(2)
                .request(1, REPORT)
                .advance(SECOND)
                .progress(1, AttemptProgress.Kind.FRACTION_DONE, 0.05);
        assertThat(scenario.actions()).contains("cancel 1");
        scenario.result(1, AttemptOutcome.CANCELLED);
        assertThat(scenario.attempts(1)).isEqualTo(2);
    }
}
