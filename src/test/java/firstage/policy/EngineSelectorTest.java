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
import firstage.policy.api.LoadReport;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests rules 3 and 6 (drains and placement) and the choice among eligible engines. */
class EngineSelectorTest {
    private final SchedulerScenario scenario = new SchedulerScenario();

    @Test
    void request_withDrainingEngine_goesElsewhere() {
        scenario.start(2).endpointUpdate(0, Lifecycle.DRAINING, 0);
        for (int id = 0; id < 4; id++) {
            scenario.request(id, LOOKUP);
            assertThat(scenario.engineOf(id)).isEqualTo(1);
        }
    }

    @Test
    void request_boundToZoneWithoutEngines_waits() {
        scenario.lookupZones = Set.of(1);
        scenario.start(4)
                .endpointUpdate(2, Lifecycle.GONE, 0)
                .endpointUpdate(3, Lifecycle.GONE, 0)
                .request(1, LOOKUP)
                .advance(5 * SECOND);
        assertThat(scenario.attempts(1)).isZero();
        assertThat(scenario.isAnswered(1)).isTrue();
    }

    @Test
    void managers_withSharesBelowOneRequest_selectDifferentEngines() {
        Set<Integer> selected = new HashSet<>();
        for (int seed = 0; seed < 10; seed++) {
            SchedulerScenario manager = new SchedulerScenario();
            manager.managers = 64;
            manager.seed = seed;
            selected.add(manager.start(12).requestOfTables(1, LOOKUP, 5).engineOf(1));
        }
        assertThat(selected).hasSizeGreaterThan(3);
    }

    @Test
    void tableLoads_ofTheSameTables_goToDifferentEngines() {
        scenario.start(4)
                .requestOfTables(1, LOAD, 5)
                .requestOfTables(2, LOAD, 5)
                .requestOfTables(3, LOOKUP, 5);
        assertThat(scenario.engineOf(2)).isNotEqualTo(scenario.engineOf(1));
        assertThat(scenario.engineOf(3)).isNotIn(scenario.engineOf(1), scenario.engineOf(2));
    }

    @Test
    void engine_thatReportedFullLoad_isAvoidedWhileReportIsFresh() {
        scenario.managers = 64;
        scenario.start(2);
        scenario.probeResult(0, new LoadReport(14, 0, 0, 0, 0));
        scenario.probeResult(1, new LoadReport(2, 0, 0, 0, 0));
        for (int id = 0; id < 8; id++) {
            assertThat(scenario.request(id, LOOKUP).engineOf(id)).isEqualTo(1);
            scenario.result(id, AttemptOutcome.SUCCEEDED);
        }
    }

    @Test
    void shortRequest_behindLongOnes_isNotStarved() {
        scenario.managers = 4;
        scenario.start(1)
                .request(1, REPORT, -1, 100, -1)
                .progress(1, AttemptProgress.Kind.WAITING_FOR_MEMORY, 0);
        scenario.request(2, REPORT, -1, 100, -1)
                .request(3, REPORT, -1, 100, -1)
                .request(4, LOOKUP, -1, 100, -1);
        assertThat(scenario.attempts(3)).isZero();
        assertThat(scenario.attempts(4)).isEqualTo(1);
    }

    @Test
    void singleRequests_withManyManagers_stayWithinTheTotalThreadLimit() {
        scenario.managers = 16;
        scenario.start(4);
        for (int engine = 0; engine < 4; engine++) {
            scenario.probeResult(engine, new LoadReport(0, 5, 0, 0, 0));
        }
        // The limit is one thread at each of the four engines, so that two reports of two threads
        // each may start, rather than one on every engine.
        for (int id = 10; id < 14; id++) {
            scenario.request(id, REPORT, -1, 100, -1);
        }
        assertThat(scenario.attemptCounts().keySet().stream().filter(id -> id >= 10)).hasSize(2);
    }

    @Test
    void tableLoad_whileSaturated_leavesPlaceToShortRequests() {
        scenario.managers = 8;
        scenario.start(1)
                .request(1, LOAD, -1, 100, -1)
                .progress(1, AttemptProgress.Kind.WAITING_FOR_MEMORY, 0)
                .request(2, LOOKUP, -1, 100, -1);
        assertThat(scenario.attempts(2)).isEqualTo(1);
    }
}
