package firstage.policy.state;

/** Coarse bins of half an octave around 1. */
public final class LogHistogram {
    private static final int COUNT = 17;
    private final double[] weight = new double[COUNT];
    private double total;

    /** The quantile last asked for, until the next change. */
    private double asked = -1;

    private double answer;

    public void add(double ratio) {
        double octaves = Math.log(Math.max(ratio, 1e-9)) / Math.log(2);
        weight[(int) Math.max(0, Math.min(COUNT - 1, Math.floor(octaves * 2 + COUNT / 2.0)))]++;
        total++;
        asked = -1;
    }

    public void halve() {
        for (int i = 0; i < COUNT; i++) {
            weight[i] /= 2;
        }
        total /= 2;
        asked = -1;
    }

    /** The weight of all samples; one that was halved counts half. */
    public double total() {
        return total;
    }

    /**
     * The ratio below which this share of the samples lies, straight within a bin; 1 without
     * samples.
     */
    public double quantile(double share) {
        if (share != asked) {
            answer = find(share);
            asked = share;
        }
        return answer;
    }

    private double find(double share) {
        double left = share * total;
        for (int i = 0; i < COUNT && total > 0; i++) {
            if (weight[i] > 0 && left <= weight[i]) {
                return Math.pow(2, (i - COUNT / 2.0 + left / weight[i]) / 2);
            }
            left -= weight[i];
        }
        return 1;
    }
}
