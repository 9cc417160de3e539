package firstage.policy.state;

/** Histogram of ratios in bins of half an octave around 1, with decay by {@link #halve}. */
public final class LogHistogram {
    private static final int BIN_COUNT = 17;
    private final double[] weights = new double[BIN_COUNT];
    private double totalWeight;

    /** Share for which {@link #cachedQuantile} was computed; -1 if the samples changed since. */
    private double cachedShare = -1;

    private double cachedQuantile;

    /** Adds a sample. */
    public void add(double ratio) {
        double octaves = Math.log(Math.max(ratio, 1e-9)) / Math.log(2);
        weights[
                (int)
                        Math.max(
                                0,
                                Math.min(
                                        BIN_COUNT - 1,
                                        Math.floor(octaves * 2 + BIN_COUNT / 2.0)))]++;
        totalWeight++;
        cachedShare = -1;
    }

    /** Halves the weight of all samples. */
    public void halve() {
        for (int i = 0; i < BIN_COUNT; i++) {
            weights[i] /= 2;
        }
        totalWeight /= 2;
        cachedShare = -1;
    }

    /** Returns the total weight of the samples; each starts with a weight of 1. */
    public double totalWeight() {
        return totalWeight;
    }

    /**
     * Returns the ratio below which this share of the samples lies, interpolated within a bin; 1
     * without samples.
     */
    public double quantile(double share) {
        if (share != cachedShare) {
            cachedQuantile = computeQuantile(share);
            cachedShare = share;
        }
        return cachedQuantile;
    }

    private double computeQuantile(double share) {
        double remainingWeight = share * totalWeight;
        for (int i = 0; i < BIN_COUNT && totalWeight > 0; i++) {
            if (weights[i] > 0 && remainingWeight <= weights[i]) {
                return Math.pow(2, (i - BIN_COUNT / 2.0 + remainingWeight / weights[i]) / 2);
            }
            remainingWeight -= weights[i];
        }
        return 1;
    }
}
