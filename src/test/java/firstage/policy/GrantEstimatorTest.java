package firstage.policy;

import static firstage.fixtures.SchedulerScenario.LOOKUP;
import static org.assertj.core.api.Assertions.assertThat;

import firstage.fixtures.SchedulerScenario;
import firstage.policy.api.AttemptOutcome;
import firstage.policy.api.AttemptProgress;
import org.junit.jupiter.api.Test;

/** Tests memory grants and their margin. */
class GrantEstimatorTest {
    private final SchedulerScenario scenario = new SchedulerScenario();

    @Test
    void grant_withEstimate_isAQuarterAboveIt() {
        scenario.start(1).request(1, LOOKUP, -1, 400, -1);
        assertThat(scenario.actions()).contains("grant 1 500");
    }

    @Test
    void grant_afterSpill_hasLargerMargin() {
        scenario.start(1)
                .request(1, LOOKUP, -1, 400, -1)
                .progress(1, AttemptProgress.Kind.SPILLING, 40)
                .result(1, AttemptOutcome.SUCCEEDED);
        scenario.request(2, LOOKUP, -1, 400, -1);
        assertThat(scenario.actions()).doesNotContain("grant 2 500");
    }

    @Test
    void grant_afterWaitForMemory_hasSmallerMargin() {
        scenario.start(2)
                .request(1, LOOKUP, -1, 400, -1)
                .progress(1, AttemptProgress.Kind.WAITING_FOR_MEMORY, 0);
        scenario.request(2, LOOKUP, -1, 400, -1);
        assertThat(scenario.actions()).contains("grant 1 500").contains("grant 2 484");
    }
}
