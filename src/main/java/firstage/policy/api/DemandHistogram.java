package firstage.policy.api;

import java.util.Arrays;

/**
 * What a manager was asked for, by worth, and what became of it: sums since its start, of expected
 * work in tenths of a millisecond. Worth is the utility for a second of expected work, in bands of
 * half an octave.
 */
public final class DemandHistogram {
    public static final int BANDS = 32;

    /** The band of a worth of 1: as many below it as above, a factor of 256 each way. */
    private static final int MIDDLE_BAND = BANDS / 2;

    /**
     * Bands that a customer beyond its share counts lower, a factor of two: in a storm all are
     * beyond theirs.
     */
    private static final int OVER_QUOTA_PENALTY = 2;

    private static final double TICKS_PER_SECOND = 10_000;
    private final double[] arrivedWork = new double[BANDS];
    private double startedWork;
    private double shedWork;
    private double waitingWork;
    private double runningThreads;
    private double threadCapacity;

    /** The band of so much utility for so much expected work. */
    public static int band(double utility, double work, boolean overShare) {
        double worth = utility / Math.max(1, work) * TICKS_PER_SECOND;
        long band =
                Math.round(2 * Math.log(Math.max(Double.MIN_NORMAL, worth)) / Math.log(2))
                        + MIDDLE_BAND;
        return (int) Math.max(0, Math.min(BANDS - 1, band - (overShare ? OVER_QUOTA_PENALTY : 0)));
    }

    public void arrivedWork(int band, double work) {
        arrivedWork[band] += work;
    }

    /** It was sent for the first time. */
    public void startedWork(double work) {
        startedWork += work;
    }

    /** It was given up by the queue, which was full or too slow for it. */
    public void shedWork(double work) {
        shedWork += work;
    }

    /** Of what is held, so much would go if there were room. */
    public void waitingWork(double work) {
        waitingWork = work;
    }

    /** Its threads that run on engines in use, and how many these bear of all managers. */
    public void runningThreads(double threads, double bears) {
        this.runningThreads = threads;
        this.threadCapacity = bears;
    }

    public double[] arrivedWork() {
        return Arrays.copyOf(arrivedWork, BANDS);
    }

    public double startedWork() {
        return startedWork;
    }

    public double shedWork() {
        return shedWork;
    }

    public double waitingWork() {
        return waitingWork;
    }

    public double runningThreads() {
        return runningThreads;
    }

    public double threadCapacity() {
        return threadCapacity;
    }
}
