package firstage.simulation.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Hostile schedules with fixed seeds: what the program does keeps the rules, and each old fault put
 * back is found.
 */
class HostileSchedulesTest {
    @Test
    void noScheduleBreaksARuleOrLeavesATableFilled() {
        assertThat(HostileSchedules.play(0, 10_000, Fault.NONE, 3)).isEmpty();
    }

    @ParameterizedTest
    @EnumSource(value = Fault.class, mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void anOldFaultIsFound(Fault fault) {
        assertThat(HostileSchedules.play(0, 6_000, fault, 3)).isNotEmpty();
    }

    @Test
    void theSameSeedsGiveTheSameVerdict() {
        assertThat(HostileSchedules.play(0, 2_000, Fault.GIVEN_UP_IS_OVER, 5))
                .isEqualTo(HostileSchedules.play(0, 2_000, Fault.GIVEN_UP_IS_OVER, 5));
    }
}
