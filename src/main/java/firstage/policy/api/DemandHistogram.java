package firstage.policy.api;

import firstage.util.Ticks;
import java.util.Arrays;

/**
 * The work that a manager was asked for, by priority band, and what became of it: sums since its
 * start, of expected work in ticks on one thread. A band is half an octave of priority weight for a
 * second of expected work.
 */
public final class DemandHistogram {
    /** How many priority bands there are. */
    public static final int BANDS = 32;

    /** The band of a weight of 1 for a second of work: a factor of 256 each way. */
    private static final int MIDDLE_BAND = BANDS / 2;

    /** Bands that a request beyond its tenant's quota counts lower: a factor of two. */
    private static final int OVER_QUOTA_PENALTY = 2;

    private final double[] arrivedWork = new double[BANDS];
    private double startedWork;
    private double shedWork;
    private double waitingWork;
    private double runningThreads;
    private double threadCapacity;

    /** The band, from 0 to {@link #BANDS} - 1, of this weight for so many ticks of work. */
    public static int priorityBand(double priorityWeight, double work, boolean overQuota) {
        double weightPerSecond = priorityWeight / Math.max(1, work) * Ticks.PER_SECOND;
        long band =
                Math.round(2 * Math.log(Math.max(Double.MIN_NORMAL, weightPerSecond)) / Math.log(2))
                        + MIDDLE_BAND;
        return (int) Math.max(0, Math.min(BANDS - 1, band - (overQuota ? OVER_QUOTA_PENALTY : 0)));
    }

    /** A request arrived. */
    public void arrivedWork(int band, double work) {
        arrivedWork[band] += work;
    }

    /** A request was started for the first time. */
    public void startedWork(double work) {
        startedWork += work;
    }

    /** A request left the queue unstarted, as it was full or too slow. */
    public void shedWork(double work) {
        shedWork += work;
    }

    /** Queued requests of this work would start if there were capacity. */
    public void waitingWork(double work) {
        waitingWork = work;
    }

    /** This manager's threads on usable engines, and how many these bear of all managers. */
    public void runningThreads(double threads, double capacity) {
        this.runningThreads = threads;
        this.threadCapacity = capacity;
    }

    /** The arrived work of each band; a copy. */
    public double[] arrivedWork() {
        return Arrays.copyOf(arrivedWork, BANDS);
    }

    /** The work of all requests that were started. */
    public double startedWork() {
        return startedWork;
    }

    /** The work of all requests that left the queue unstarted. */
    public double shedWork() {
        return shedWork;
    }

    /** The work that waits for capacity now. */
    public double waitingWork() {
        return waitingWork;
    }

    /** This manager's threads on usable engines now. */
    public double runningThreads() {
        return runningThreads;
    }

    /** The threads that usable engines bear of all managers now. */
    public double threadCapacity() {
        return threadCapacity;
    }
}
