package firstage.policy;

import static firstage.fixtures.SchedulerScenario.LOOKUP;
import static firstage.fixtures.SchedulerScenario.REPORT;
import static firstage.fixtures.SchedulerScenario.SECOND;
import static org.assertj.core.api.Assertions.assertThat;

import firstage.fixtures.SchedulerScenario;
import firstage.policy.api.AttemptOutcome;
import firstage.policy.api.AttemptProgress;
import firstage.policy.api.EndpointUpdate.Lifecycle;
import org.junit.jupiter.api.Test;

/** Tests rule 4, the budget of warming engines. */
class SlowStartBudgetTest {
    private final SchedulerScenario scenario = new SchedulerScenario();

    @Test
    void warmingEngine_underLoad_getsNoMoreThanItsBudget() {
        scenario.managers = 2;
        scenario.start(1).endpointUpdate(0, Lifecycle.ACTIVE, scenario.now());
        int sent = 0;
        for (int id = 0; id < 40; id++) {
            scenario.request(id, LOOKUP);
            if (scenario.attempts(id) > 0) {
                scenario.result(id, AttemptOutcome.SUCCEEDED);
                sent++;
            }
        }
        // Both managers together may send 8.2 s of work: the overload multiple 2 x the initial
        // share 0.3 x 8 cores x 0.85 x the window of 2 s.
        assertThat(sent).isBetween(1, 20);
    }

    @Test
    void engine_thatWentDown_warmsUpBeforeTheEndpointListReportsIt() {
        scenario.managers = 2;
        scenario.start(1)
                .request(1, LOOKUP)
                .result(1, AttemptOutcome.CONNECT_FAILED)
                .advance(2 * SECOND);
        scenario.result(1, AttemptOutcome.SUCCEEDED);
        int sent = 0;
        for (int id = 2; id < 42; id++) {
            scenario.request(id, LOOKUP);
            if (scenario.attempts(id) > 0) {
                scenario.result(id, AttemptOutcome.SUCCEEDED);
                sent++;
            }
        }
        assertThat(sent).isBetween(1, 24);
    }

    @Test
    void budget_ofManagerThatJustStarted_countsAsSpent() {
        scenario.managers = 2;
        scenario.start(1)
                .endpointUpdate(0, Lifecycle.ACTIVE, scenario.now() - SECOND)
                .request(1, REPORT);
        assertThat(scenario.attempts(1)).isZero();
        // Work that the manager may have sent before its start is no longer in the window.
        scenario.advance(2 * SECOND + SECOND / 10);
        assertThat(scenario.attempts(1)).isOne();
    }

    @Test
    void expectedWork_afterShortFirstSuccesses_isNotTooSmall() {
        scenario.managers = 2;
        scenario.start(2).endpointUpdate(1, Lifecycle.GONE, 0);
        for (int id = 0; id < 4; id++) {
            scenario.request(id, REPORT);
        }
        // Two of four reports, all estimated at 2 s of work, end early as they are short.
        scenario.success(0, 1_000).success(1, 1_000);
        scenario.endpointUpdate(0, Lifecycle.GONE, 0)
                .endpointUpdate(1, Lifecycle.ACTIVE, scenario.now());
        for (int id = 4; id < 24; id++) {
            scenario.request(id, REPORT);
            if (scenario.attempts(id) > 0) {
                scenario.success(id, 1_000);
            }
        }
        // Both managers together may send 8.2 s of work in any 2 s: four reports of 2 s.
        assertThat(scenario.attemptCounts().keySet().stream().filter(id -> id >= 4).count())
                .isBetween(1L, 2L);
    }

    @Test
    void brokenConnection_ofLivingEngine_startsNoWarmUp() {
        scenario.managers = 2;
        scenario.start(1)
                .request(0, REPORT)
                .advance(SECOND / 2)
                .request(1, LOOKUP)
                .result(1, AttemptOutcome.CONNECTION_LOST);
        scenario.progress(0, AttemptProgress.Kind.FRACTION_DONE, 0.1);
        scenario.result(0, AttemptOutcome.SUCCEEDED);
        for (int id = 2; id < 42; id++) {
            scenario.request(id, LOOKUP).result(id, AttemptOutcome.SUCCEEDED);
        }
        assertThat(scenario.attemptCounts()).hasSize(42);
    }

    @Test
    void budget_ofHundredsOfManagers_isKeptAndUsed() {
        int sent = 0;
        for (int rank = 0; rank < 200; rank++) {
            SchedulerScenario manager = new SchedulerScenario();
            manager.managers = 200;
            manager.rank = rank;
            manager.start(2).request(0, LOOKUP).result(0, AttemptOutcome.SUCCEEDED);
            manager.endpointUpdate(0, Lifecycle.GONE, 0)
                    .endpointUpdate(1, Lifecycle.ACTIVE, manager.now())
                    .request(1, LOOKUP)
                    .request(2, LOOKUP);
            sent += manager.attempts(1) + manager.attempts(2);
        }
        // The engine can take 8.2 s of work in any 2 s: 41 lookups of 0.2 s.
        assertThat(sent).isBetween(8, 30);
    }

    /**
     * Only 160 of 2,600 managers share an engine. With a share of 1/2600 for each manager, as by
     * the settings, the engine would get too little work to warm up.
     */
    @Test
    void warmUpShare_inCells_isThatOfManagersThatShareTheEngine() {
        int startedBySettings = 0;
        int startedByWarmUpShare = 0;
        for (int rank = 0; rank < 160; rank++) {
            startedBySettings += startedAtWarmingEngine(rank, 0);
            startedByWarmUpShare += startedAtWarmingEngine(rank, 0.875 / 160);
        }
        // The engine can take 8.2 s of work in any 2 s: 41 lookups of 0.2 s.
        assertThat(startedBySettings).isLessThan(4);
        assertThat(startedByWarmUpShare).isBetween(8, 36);
    }

    private static int startedAtWarmingEngine(int rank, double warmUpShare) {
        SchedulerScenario manager = new SchedulerScenario();
        manager.managers = 2_600;
        manager.rank = rank;
        manager.warmUpShare = warmUpShare;
        manager.start(2);
        manager.quotaShare(1.0 / 160);
        manager.request(0, LOOKUP).result(0, AttemptOutcome.SUCCEEDED);
        manager.endpointUpdate(0, Lifecycle.GONE, 0)
                .endpointUpdate(1, Lifecycle.ACTIVE, manager.now())
                .request(1, LOOKUP)
                .request(2, LOOKUP);
        return manager.attempts(1) + manager.attempts(2);
    }
}
