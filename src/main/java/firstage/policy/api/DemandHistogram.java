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
    private static final int MIDDLE = BANDS / 2;

    /**
     * Bands that a customer beyond its share counts lower, a factor of two: in a storm all are
     * beyond theirs.
     */
    private static final int OVER_SHARE = 2;

    private static final double TENTHS = 10_000;
    private final double[] came = new double[BANDS];
    private double sent;
    private double lost;
    private double waits;
    private double runs;
    private double bears;

    /** The band of so much utility for so much expected work. */
    public static int band(double utility, double work, boolean overShare) {
        double worth = utility / Math.max(1, work) * TENTHS;
        long band =
                Math.round(2 * Math.log(Math.max(Double.MIN_NORMAL, worth)) / Math.log(2)) + MIDDLE;
        return (int) Math.max(0, Math.min(BANDS - 1, band - (overShare ? OVER_SHARE : 0)));
    }

    public void came(int band, double work) {
        came[band] += work;
    }

    /** It was sent for the first time. */
    public void sent(double work) {
        sent += work;
    }

    /** It was given up by the queue, which was full or too slow for it. */
    public void lost(double work) {
        lost += work;
    }

    /** Of what is held, so much would go if there were room. */
    public void waits(double work) {
        waits = work;
    }

    /** Its threads that run on engines in use, and how many these bear of all managers. */
    public void runs(double threads, double bears) {
        this.runs = threads;
        this.bears = bears;
    }

    public double[] came() {
        return Arrays.copyOf(came, BANDS);
    }

    public double sent() {
        return sent;
    }

    public double lost() {
        return lost;
    }

    public double waits() {
        return waits;
    }

    public double runs() {
        return runs;
    }

    public double bears() {
        return bears;
    }
}
