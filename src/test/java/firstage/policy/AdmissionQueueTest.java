package firstage.policy;

import static firstage.fixtures.SchedulerScenario.LOAD;
import static firstage.fixtures.SchedulerScenario.LOOKUP;
import static firstage.fixtures.SchedulerScenario.REPORT;
import static firstage.fixtures.SchedulerScenario.SECOND;
import static org.assertj.core.api.Assertions.assertThat;

import firstage.fixtures.SchedulerScenario;
import firstage.policy.api.AttemptOutcome;
import firstage.policy.api.AttemptProgress;
import firstage.policy.api.EndpointUpdate.Lifecycle;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the bound, the timeouts and the order of the admission queue. */
class AdmissionQueueTest {
    private final SchedulerScenario scenario = new SchedulerScenario();

    @Test
    void request_withoutEngines_isQueuedAndAnsweredBeforeItsDeadline() {
        scenario.start(0).request(1, LOOKUP).request(2, LOAD);
        assertThat(scenario.isAnswered(1)).isFalse();
        scenario.advance(5 * SECOND);
        assertThat(scenario.actions()).contains("reject 1").doesNotContain("fail 1");
        scenario.advance(15 * SECOND);
        assertThat(scenario.isAnswered(2)).isTrue();
    }

    @Test
    void newRequests_withFullQueue_areRejectedAtOnce() {
        scenario.start(0);
        for (int id = 0; id < 100; id++) {
            scenario.request(id, REPORT);
        }
        assertThat(scenario.actions().stream().filter(action -> action.startsWith("reject")))
                .hasSizeGreaterThan(50);
    }

    @Test
    void request_thatCannotEndBeforeShutdown_isRejectedInTime() {
        scenario.start(1).request(1, REPORT).request(2, LOAD);
        scenario.shutdown(2 * SECOND);
        scenario.request(3, REPORT).request(4, LOOKUP);
        assertThat(scenario.actions()).contains("reject 3", "start 4").doesNotContain("start 3");
        scenario.advance(2 * SECOND - 200);
        assertThat(scenario.isAnswered(1)).isFalse();
        scenario.advance(400);
        assertThat(scenario.actions()).contains("reject 1");
        assertThat(scenario.isAnswered(2)).isFalse();
    }

    @Test
    void queuePass_whileSaturated_skipsRequestsThatFitNowhere() {
        scenario.start(1)
                .request(1, REPORT)
                .progress(1, AttemptProgress.Kind.WAITING_FOR_MEMORY, 0);
        for (int id = 2; id < 40; id++) {
            scenario.request(id, id % 2 == 0 ? REPORT : LOOKUP);
        }
        List<String> sent =
                scenario.actions().stream().filter(action -> action.startsWith("start")).toList();
        assertThat(sent).hasSizeLessThan(20);
        scenario.result(1, AttemptOutcome.SUCCEEDED);
        assertThat(scenario.attempts(1)).isEqualTo(1);
    }

    @Test
    void queuedRequest_whileCongestedWithoutEstimate_isRejectedByItsObjective() {
        scenario.estimatesWork = false;
        scenario.start(1)
                .endpointUpdate(0, Lifecycle.GONE, 0)
                .request(1, REPORT)
                .advance(4 * SECOND);
        // The objective ends after 9 s and a typical run takes 3 s, so the request times out after
        // 6 s. Its deadline alone would let it wait until 17 s.
        assertThat(scenario.isAnswered(1)).isFalse();
        scenario.advance(4 * SECOND);
        assertThat(scenario.actions()).contains("reject 1");
    }

    @Test
    void queue_forTenantBeyondItsQuota_isNotFilled() {
        scenario.tenantRatesPerSecond = List.of(1.0, 100.0);
        scenario.start(0);
        for (int id = 0; id < 30; id++) {
            scenario.request(id, REPORT, -1, 0, 0);
        }
        assertThat(scenario.actions()).contains("reject 29");
        scenario.request(30, REPORT, -1, 0, 1);
        assertThat(scenario.isAnswered(30)).isFalse();
    }
}
