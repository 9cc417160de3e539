package firstage.policy.state;

/** Ratios in bins of half an octave around 1; old samples lose weight by {@link #halve}. */
public final class LogHistogram {
    private static final int COUNT = 17;
    private final double[] weights = new double[COUNT];
    private double total;

    /** The quantile computed last, valid until the next change. */
    private double cachedShare = -1;

    private double cachedQuantile;

    /** Adds a sample. */
    public void add(double ratio) {
        double octaves = Math.log(Math.max(ratio, 1e-9)) / Math.log(2);
        weights[(int) Math.max(0, Math.min(COUNT - 1, Math.floor(octaves * 2 + COUNT / 2.0)))]++;
        total++;
        cachedShare = -1;
    }

    /** Halves the weight of all samples. */
    public void halve() {
        for (int i = 0; i < COUNT; i++) {
            weights[i] /= 2;
        }
        total /= 2;
        cachedShare = -1;
    }

    /** The weight of all samples; one that was halved counts half. */
    public double total() {
        return total;
    }

    /** The ratio below which this share of the samples lies, interpolated; 1 without samples. */
    public double quantile(double share) {
        if (share != cachedShare) {
            cachedQuantile = computeQuantile(share);
            cachedShare = share;
        }
        return cachedQuantile;
    }

    private double computeQuantile(double share) {
        double left = share * total;
        for (int i = 0; i < COUNT && total > 0; i++) {
            if (weights[i] > 0 && left <= weights[i]) {
                return Math.pow(2, (i - COUNT / 2.0 + left / weights[i]) / 2);
            }
            left -= weights[i];
        }
        return 1;
    }
}
