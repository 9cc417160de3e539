package firstage.door;

import java.util.Arrays;

/**
 * What a manager was asked for, by worth, and what it sent: sums since its start, of expected work in tenths of a
 * millisecond. Worth is the utility for a second of expected work, in bands of half an octave.
 */
public final class Demand {
    public static final int BANDS = 32;
    /** The band of a worth of 1: as many below it as above, a factor of 256 each way. */
    private static final int MIDDLE = BANDS / 2;
    /** Bands that a customer beyond its share counts lower: a factor of sixteen. */
    private static final int OVER_SHARE = 8;
    private static final double TENTHS = 10_000;
    private final double[] came = new double[BANDS];
    private double sent;
    private double waits;

    /** The band of so much utility for so much expected work. */
    public static int band(double utility, double work, boolean overShare) {
        double worth = utility / Math.max(1, work) * TENTHS;
        long band = Math.round(2 * Math.log(Math.max(Double.MIN_NORMAL, worth)) / Math.log(2)) + MIDDLE;
        return (int) Math.max(0, Math.min(BANDS - 1, band - (overShare ? OVER_SHARE : 0)));
    }

    public void came(int band, double work) {
        came[band] += work;
    }

    /** It was sent for the first time. */
    public void sent(double work) {
        sent += work;
    }

    /** Of what is held, so much would go if there were room. */
    public void waits(double work) {
        waits = work;
    }

    public double[] came() {
        return Arrays.copyOf(came, BANDS);
    }

    public double sent() {
        return sent;
    }

    public double waits() {
        return waits;
    }
}
