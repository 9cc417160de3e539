package firstage.policy;

import static firstage.fixtures.SchedulerScenario.LOOKUP;
import static firstage.fixtures.SchedulerScenario.REPORT;
import static firstage.fixtures.SchedulerScenario.SECOND;
import static org.assertj.core.api.Assertions.assertThat;

import firstage.fixtures.SchedulerScenario;
import firstage.policy.api.AttemptProgress;
import org.junit.jupiter.api.Test;

/** Tests thread limits and memory slices under saturation. */
class ConcurrencyLimiterTest {
    private final SchedulerScenario scenario = new SchedulerScenario();

    @Test
    void unusedThreadLimits_whenLatencyRises_shrinkInSeconds() {
        scenario.managers = 64;
        scenario.start(8);
        for (int id = 0; id < 96; id++) {
            scenario.request(id, REPORT);
            for (int done = id - 7; id % 8 == 7 && done <= id; done++) {
                scenario.success(done, 9_000);
            }
            scenario.advance(SECOND / 8);
        }
        for (int id = 100; id < 120; id++) {
            scenario.request(id, LOOKUP).success(id, 60_000);
        }
        scenario.advance(2 * SECOND);
        for (int id = 200; id < 220; id++) {
            scenario.request(id, REPORT);
        }
        assertThat(scenario.attemptCounts().keySet().stream().filter(id -> id >= 200).count())
                .isLessThan(3);
    }

    @Test
    void topPriorityRequests_thatAreSlow_stayWithinTheLimits() {
        scenario.managers = 64;
        scenario.start(8);
        for (int id = 0; id < 16; id++) {
            scenario.request(id, LOOKUP).success(id, 30_000);
        }
        for (int id = 100; id < 120; id++) {
            scenario.request(id, LOOKUP);
        }
        assertThat(scenario.attemptCounts().keySet().stream().filter(id -> id >= 100))
                .hasSizeLessThan(5);
    }

    @Test
    void slowResults_fromTheFirstOn_doNotCountAsLowLatency() {
        scenario.start(1);
        // All results take ten times the estimate. The limits must be enforced and not grow as if
        // this latency were the normal one.
        for (int id = 0; id < 60; id++) {
            scenario.request(id, LOOKUP);
            if (scenario.attempts(id) > 0) {
                scenario.success(id, 20_000);
            }
            scenario.advance(SECOND / 20);
        }
        for (int id = 100; id < 160; id++) {
            scenario.request(id, LOOKUP);
        }
        assertThat(scenario.attemptCounts().keySet().stream().filter(id -> id >= 100))
                .hasSizeLessThan(16);
    }

    @Test
    void saturation_whileRequestsWait_persists() {
        scenario.managers = 4;
        scenario.start(1)
                .request(1, REPORT)
                .progress(1, AttemptProgress.Kind.WAITING_FOR_MEMORY, 0);
        for (int id = 2; id < 30; id++) {
            scenario.request(id, REPORT);
        }
        for (int step = 0; step < 16; step++) {
            scenario.progress(1, AttemptProgress.Kind.FRACTION_DONE, 0).advance(SECOND / 2);
        }
        // Eight seconds after the only sign of saturation, most of the queue still waits.
        assertThat(scenario.attemptCounts()).hasSizeLessThan(5);
    }
}
