package firstage.policy;

import static firstage.fixtures.SchedulerScenario.LOAD;
import static firstage.fixtures.SchedulerScenario.LOOKUP;
import static firstage.fixtures.SchedulerScenario.SECOND;
import static org.assertj.core.api.Assertions.assertThat;

import firstage.fixtures.SchedulerScenario;
import firstage.policy.api.AttemptOutcome;
import firstage.policy.api.AttemptProgress;
import firstage.policy.api.TrafficClass.Effect;
import firstage.policy.api.TrafficClass.Scope;
import org.junit.jupiter.api.Test;

/** Tests rules 2 and 7, which decide whether a request may be retried. */
class RetryPolicyTest {
    private final SchedulerScenario scenario = new SchedulerScenario();

    @Test
    void nonIdempotentRequest_thatMayHaveRun_failsWithoutRetry() {
        scenario.start(3)
                .request(1, LOAD)
                .result(1, AttemptOutcome.CONNECTION_LOST)
                .advance(SECOND);
        assertThat(scenario.attempts(1)).isEqualTo(1);
        assertThat(scenario.actions()).contains("fail 1").doesNotContain("reject 1");
    }

    @Test
    void nonIdempotentRequest_thatNeverRan_isRetriedElsewhere() {
        scenario.start(3).request(1, LOAD);
        int first = scenario.engineOf(1);
        scenario.result(1, AttemptOutcome.CONNECT_FAILED);
        assertThat(scenario.attempts(1)).isEqualTo(2);
        assertThat(scenario.engineOf(1)).isNotEqualTo(first);
    }

    @Test
    void requestWithIdempotencyKey_withCellScope_isRetriedInItsCell() {
        scenario.loadEffect = Effect.IDEMPOTENT_WITH_KEY;
        scenario.idempotencyScope = Scope.CELL;
        scenario.start(4).request(1, LOAD);
        int first = scenario.engineOf(1);
        scenario.result(1, AttemptOutcome.CONNECTION_LOST).advance(SECOND / 10);
        assertThat(scenario.attempts(1)).isEqualTo(2);
        assertThat(scenario.engineOf(1) / 2).isEqualTo(first / 2);
    }

    @Test
    void requestWithIdempotencyKey_afterItsWindow_isNotRetried() {
        scenario.loadEffect = Effect.IDEMPOTENT_WITH_KEY;
        scenario.start(2)
                .request(1, LOAD)
                .advance(7 * SECOND)
                .result(1, AttemptOutcome.CONNECTION_LOST)
                .advance(SECOND);
        assertThat(scenario.attempts(1)).isEqualTo(1);
        assertThat(scenario.actions()).contains("reject 1");
    }

    @Test
    void idempotencyWindow_withAttemptInFlight_countsFromIt() {
        scenario.loadEffect = Effect.IDEMPOTENT_WITH_KEY;
        scenario.mayHedge = true;
        scenario.start(3).request(1, LOAD).advance(2 * SECOND);
        assertThat(scenario.attempts(1)).isEqualTo(2);
        for (int step = 0; step < 9; step++) {
            scenario.progress(1, AttemptProgress.Kind.FRACTION_DONE, 0.1).advance(SECOND / 2);
        }
        // The connection of the hedged request breaks within 6 s of its start, but after the window
        // of 6 s that counts from the first attempt, which is still in flight.
        scenario.result(1, AttemptOutcome.CONNECTION_LOST).advance(SECOND);
        assertThat(scenario.attempts(1)).isEqualTo(2);
    }

    @Test
    void retries_ofManyRequests_stayWithinTheBudget() {
        scenario.retryRatio = 0.1;
        scenario.start(20);
        for (int id = 0; id < 10; id++) {
            scenario.request(id, LOOKUP).result(id, AttemptOutcome.REFUSED);
        }
        // The budget allows one retry plus a tenth of the ten accepted requests.
        int retries = scenario.attemptCounts().values().stream().mapToInt(n -> n - 1).sum();
        assertThat(retries).isBetween(1, 2);
    }
}
