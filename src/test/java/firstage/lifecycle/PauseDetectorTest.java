package firstage.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class PauseDetectorTest implements PauseDetector.PauseActions {
    private static final long BEAT = PauseDetector.BEAT_INTERVAL;
    private int barriers;
    private final PauseDetector pauses = new PauseDetector(this, 0);

    @Override
    public void requestReadBarrier() {
        barriers++;
    }

    @Test
    void earliestArrival_beatsInTime_isNow() {
        for (long now = BEAT; now < 20 * BEAT; now += BEAT) {
            pauses.onBeat(now);
            assertThat(pauses.earliestArrival(now + BEAT / 2)).isEqualTo(now + BEAT / 2);
        }
        assertThat(barriers).isZero();
    }

    /** What is read before the late beat may have come at the pause's beginning, too. */
    @Test
    void earliestArrival_afterPause_isBeforeItUntilBacklogIsRead() {
        pauses.onBeat(BEAT);
        pauses.onBeat(2 * BEAT);
        long resumed = 2 * BEAT + 4_000;
        assertThat(pauses.earliestArrival(resumed)).isEqualTo(BEAT);
        pauses.onBeat(resumed + 1);
        assertThat(pauses.earliestArrival(resumed + 2)).isEqualTo(BEAT);
        assertThat(barriers).isEqualTo(1);
        pauses.onBacklogRead(resumed + 3);
        assertThat(pauses.earliestArrival(resumed + 4)).isEqualTo(resumed + 4);
    }

    /** A connection that can't be accepted for a while holds a request that nobody reads. */
    @Test
    void onReadsBlocked_countsFromThenUntilBacklogIsRead() {
        pauses.onBeat(BEAT);
        pauses.onReadsBlocked(BEAT + 1);
        for (long now = 2 * BEAT; now < 20 * BEAT; now += BEAT) {
            pauses.onBeat(now);
        }
        assertThat(pauses.earliestArrival(20 * BEAT)).isZero();
        assertThat(barriers).isEqualTo(1);
        pauses.onBacklogRead(20 * BEAT + 1);
        assertThat(pauses.isCatchingUp(20 * BEAT + 2)).isFalse();
    }

    /** The process is stopped again before all is read: the first barrier proves nothing. */
    @Test
    void onBacklogRead_pausedAgainMeanwhile_staysPaused() {
        pauses.onBeat(BEAT);
        pauses.onBeat(2 * BEAT);
        assertThat(pauses.isCatchingUp(10 * BEAT)).isTrue();
        pauses.onBacklogRead(20 * BEAT);
        assertThat(barriers).isEqualTo(2);
        assertThat(pauses.earliestArrival(20 * BEAT)).isEqualTo(BEAT);
        pauses.onBacklogRead(20 * BEAT + 1);
        assertThat(pauses.isCatchingUp(20 * BEAT + 2)).isFalse();
    }
}
