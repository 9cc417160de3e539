package firstage.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class PauseDetectorTest implements PauseDetector.PauseActions {
    private static final long HEARTBEAT = PauseDetector.HEARTBEAT_INTERVAL;
    private int barriers;
    private final PauseDetector detector = new PauseDetector(this, 0);

    @Override
    public void requestReadBarrier() {
        barriers++;
    }

    @Test
    void earliestArrival_heartbeatsInTime_isNow() {
        for (long now = HEARTBEAT; now < 20 * HEARTBEAT; now += HEARTBEAT) {
            detector.onHeartbeat(now);
            assertThat(detector.earliestArrival(now + HEARTBEAT / 2))
                    .isEqualTo(now + HEARTBEAT / 2);
        }
        assertThat(barriers).isZero();
    }

    /**
     * Input that is read before the late heartbeat may have arrived as early as the pause began.
     */
    @Test
    void earliestArrival_afterPause_isBeforeItUntilBacklogIsRead() {
        detector.onHeartbeat(HEARTBEAT);
        detector.onHeartbeat(2 * HEARTBEAT);
        long resumed = 2 * HEARTBEAT + 4_000;
        assertThat(detector.earliestArrival(resumed)).isEqualTo(HEARTBEAT);
        detector.onHeartbeat(resumed + 1);
        assertThat(detector.earliestArrival(resumed + 2)).isEqualTo(HEARTBEAT);
        assertThat(barriers).isEqualTo(1);
        detector.onBacklogRead(resumed + 3);
        assertThat(detector.earliestArrival(resumed + 4)).isEqualTo(resumed + 4);
    }

    /** A connection that can't be accepted for a while may hold an unread request. */
    @Test
    void earliestArrival_readsBlocked_isBeforeThatUntilBacklogIsRead() {
        detector.onHeartbeat(HEARTBEAT);
        detector.onReadsBlocked(HEARTBEAT + 1);
        for (long now = 2 * HEARTBEAT; now < 20 * HEARTBEAT; now += HEARTBEAT) {
            detector.onHeartbeat(now);
        }
        assertThat(detector.earliestArrival(20 * HEARTBEAT)).isZero();
        assertThat(barriers).isEqualTo(1);
        detector.onBacklogRead(20 * HEARTBEAT + 1);
        assertThat(detector.isCatchingUp(20 * HEARTBEAT + 2)).isFalse();
    }

    /**
     * Guards against a thread that is busy for seconds, so that a barrier is always pending: calls
     * counted as arrived at its begin, and were given up as soon as they were read.
     */
    @Test
    void earliestArrival_barrierAlwaysPending_advancesWithThoseThatPassed() {
        long busyStep = 3 * HEARTBEAT;
        detector.onHeartbeat(HEARTBEAT);
        for (int step = 1; step <= 100; step++) {
            detector.onHeartbeat(HEARTBEAT + step * busyStep);
            if (step > 2) {
                detector.onBacklogRead(HEARTBEAT + step * busyStep + 1);
                assertThat(detector.earliestArrival(HEARTBEAT + step * busyStep + 2))
                        .isEqualTo(HEARTBEAT + (step - 2) * busyStep);
            }
        }
    }

    /**
     * The process is stopped again before all input is read, so passing the first read barrier does
     * not end the pause.
     */
    @Test
    void onBacklogRead_pausedAgainMeanwhile_staysPaused() {
        detector.onHeartbeat(HEARTBEAT);
        detector.onHeartbeat(2 * HEARTBEAT);
        assertThat(detector.isCatchingUp(10 * HEARTBEAT)).isTrue();
        detector.onBacklogRead(20 * HEARTBEAT);
        assertThat(barriers).isEqualTo(2);
        // The first barrier was requested then, so nothing older is unread.
        assertThat(detector.earliestArrival(20 * HEARTBEAT)).isEqualTo(10 * HEARTBEAT);
        detector.onBacklogRead(20 * HEARTBEAT + 1);
        assertThat(detector.isCatchingUp(20 * HEARTBEAT + 2)).isFalse();
    }
}
