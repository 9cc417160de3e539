package firstage.simulation.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Fault schedules with fixed seeds: the program keeps all rules, and the schedules find each
 * injected defect.
 */
class FaultSchedulesTest {
    @Test
    void run_withoutDefect_keepsAllRules() {
        assertThat(FaultSchedules.run(0, 10_000, InjectedDefect.NONE, 3)).isEmpty();
    }

    @ParameterizedTest
    @EnumSource(value = InjectedDefect.class, mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void run_injectedDefect_findsViolations(InjectedDefect defect) {
        assertThat(FaultSchedules.run(0, 6_000, defect, 3)).isNotEmpty();
    }

    @Test
    void run_sameSeeds_givesSameFindings() {
        assertThat(FaultSchedules.run(0, 2_000, InjectedDefect.ABANDONED_IS_OVER, 5))
                .isEqualTo(FaultSchedules.run(0, 2_000, InjectedDefect.ABANDONED_IS_OVER, 5));
    }
}
