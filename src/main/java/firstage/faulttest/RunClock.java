package firstage.faulttest;

import firstage.emulator.RealTimeLoop;

/** Measures the ticks since a run's traffic began; a large negative number before then. */
final class RunClock {
    private final RealTimeLoop loop;
    private long startedAt = Long.MAX_VALUE / 2;

    RunClock(RealTimeLoop loop) {
        this.loop = loop;
    }

    /** Sets the time of the loop at which traffic begins. */
    void start(long time) {
        startedAt = time;
    }

    long startedAt() {
        return startedAt;
    }

    long elapsed() {
        return loop.now() - startedAt;
    }
}
