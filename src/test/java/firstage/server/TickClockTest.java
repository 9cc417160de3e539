package firstage.server;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class TickClockTest {
    private static final long START_MS = 1_700_000_000_000L;
    private static final long HOUR_MS = 3_600_000;
    private long unixMs = START_MS;
    private long nanos = 5;
    private final TickClock clock = new TickClock(() -> unixMs, () -> nanos);

    private void advance(long ms) {
        unixMs += ms;
        nanos += ms * 1_000_000;
    }

    private long ageMs(long startedAtUnixMs) {
        return (clock.now() - clock.fromUnixMillis(startedAtUnixMs)) / 10;
    }

    @Test
    void fromUnixMillis_clockNotStepped_isExact() {
        advance(10_000);
        assertThat(ageMs(START_MS + 7_000)).isEqualTo(3_000);
        assertThat(ageMs(START_MS - 7_000)).isEqualTo(17_000);
        assertThat(clock.fromUnixMillis(0)).isZero();
    }

    /** An engine that just started must not count as warm, as it would be overloaded. */
    @Test
    void fromUnixMillis_clockSteppedForward_engineIsNotOlder() {
        advance(10_000);
        unixMs += HOUR_MS;
        assertThat(ageMs(START_MS + 7_000)).isEqualTo(3_000);
        assertThat(ageMs(unixMs - 3_000)).isLessThanOrEqualTo(3_000);
    }

    /** The coordinator's clock may or may not have been stepped back with this machine's clock. */
    @Test
    void fromUnixMillis_clockSteppedBack_engineIsNeitherOlderNorOfTheFuture() {
        advance(10_000);
        unixMs -= HOUR_MS;
        assertThat(ageMs(unixMs - 3_000)).isEqualTo(3_000);
        assertThat(ageMs(START_MS + 7_000)).isBetween(0L, 3_000L);
    }

    @Test
    void now_clockStepped_goesOn() {
        long before = clock.now();
        unixMs -= HOUR_MS;
        nanos += 1_000_000;
        assertThat(clock.now()).isEqualTo(before + 10);
    }
}
