package firstage.policy.api;

import firstage.util.Ticks;
import java.util.Arrays;

/**
 * Expected work that arrived at a manager, by priority band, and how much of it was started, shed
 * or is waiting. Work is in ticks on one thread; arrived, started and shed work are sums since the
 * start of the manager. Each band covers half an octave of priority weight per second of expected
 * work.
 */
public final class DemandHistogram {
    /** Number of priority bands. */
    public static final int BANDS = 32;

    /** Band of a weight of 1 per second of work; bands reach a factor of 256 below and above it. */
    private static final int MIDDLE_BAND = BANDS / 2;

    /** Bands by which a request over its tenant's quota is lowered: a factor of two in weight. */
    private static final int OVER_QUOTA_PENALTY = 2;

    private final double[] arrivedWork = new double[BANDS];
    private double startedWork;
    private double shedWork;
    private double waitingWork;
    private double runningThreads;
    private double threadCapacity;

    /**
     * Returns the band, from 0 to {@link #BANDS} - 1, of a request.
     *
     * @param work expected work in ticks on one thread
     * @param overQuota whether the request exceeds its tenant's quota
     */
    public static int priorityBand(double priorityWeight, double work, boolean overQuota) {
        double weightPerSecond = priorityWeight / Math.max(1, work) * Ticks.PER_SECOND;
        long band =
                Math.round(2 * Math.log(Math.max(Double.MIN_NORMAL, weightPerSecond)) / Math.log(2))
                        + MIDDLE_BAND;
        return (int) Math.max(0, Math.min(BANDS - 1, band - (overQuota ? OVER_QUOTA_PENALTY : 0)));
    }

    /** Records the work of a request that arrived. */
    public void arrivedWork(int band, double work) {
        arrivedWork[band] += work;
    }

    /** Records the work of a request whose first attempt was started. */
    public void startedWork(double work) {
        startedWork += work;
    }

    /**
     * Records the work of a request that timed out in the queue, or left it because it was full,
     * with no attempt in flight.
     */
    public void shedWork(double work) {
        shedWork += work;
    }

    /** Sets the work of the queued requests that could start if there were capacity. */
    public void waitingWork(double work) {
        waitingWork = work;
    }

    /**
     * Sets the threads in use and the capacity of the usable engines.
     *
     * @param threads number of threads that this manager uses on these engines
     * @param capacity number of threads of all managers together that these engines can run
     */
    public void runningThreads(double threads, double capacity) {
        this.runningThreads = threads;
        this.threadCapacity = capacity;
    }

    /** Returns a copy of the arrived work of each band. */
    public double[] arrivedWork() {
        return Arrays.copyOf(arrivedWork, BANDS);
    }

    /** Returns the work of all requests that were started. */
    public double startedWork() {
        return startedWork;
    }

    /** Returns the work of all requests that left the queue without being started from it. */
    public double shedWork() {
        return shedWork;
    }

    /** Returns the work that waits for capacity now. */
    public double waitingWork() {
        return waitingWork;
    }

    /** Returns the number of threads that this manager uses on usable engines now. */
    public double runningThreads() {
        return runningThreads;
    }

    /** Returns the number of threads of all managers that the usable engines can run now. */
    public double threadCapacity() {
        return threadCapacity;
    }
}
