package firstage.simulation.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Hostile schedules with fixed seeds: what the program does keeps the rules, and each old fault put
 * back is found.
 */
class FaultSchedulesTest {
    @Test
    void noScheduleBreaksARuleOrLeavesATableFilled() {
        assertThat(FaultSchedules.run(0, 10_000, InjectedDefect.NONE, 3)).isEmpty();
    }

    @ParameterizedTest
    @EnumSource(value = InjectedDefect.class, mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void anOldFaultIsFound(InjectedDefect fault) {
        assertThat(FaultSchedules.run(0, 6_000, fault, 3)).isNotEmpty();
    }

    @Test
    void theSameSeedsGiveTheSameVerdict() {
        assertThat(FaultSchedules.run(0, 2_000, InjectedDefect.ABANDONED_IS_OVER, 5))
                .isEqualTo(FaultSchedules.run(0, 2_000, InjectedDefect.ABANDONED_IS_OVER, 5));
    }
}
