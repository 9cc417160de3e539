package firstage.util;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests the conversions between ticks and other units of time. */
class TicksTest {
    @Test
    void conversions_roundDownToWholeUnits() {
        assertThat(Ticks.ofMillis(250)).isEqualTo(2_500);
        assertThat(Ticks.ofSeconds(3)).isEqualTo(30_000);
        assertThat(Ticks.ofNanos(199_999)).isEqualTo(1);
        assertThat(Ticks.toMillis(2_509)).isEqualTo(250);
        assertThat(Ticks.toSeconds(2_500)).isEqualTo(0.25);
    }
}
