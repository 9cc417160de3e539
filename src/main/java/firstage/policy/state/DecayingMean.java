package firstage.policy.state;

/** A mean over recent samples: sum and count are halved when the count reaches its limit. */
public final class DecayingMean {
    private final double limit;
    private double sum;
    private double count;

    public DecayingMean(double limit) {
        this.limit = limit;
    }

    public void add(double sample) {
        sum += sample;
        count++;
        if (count >= limit) {
            sum /= 2;
            count /= 2;
        }
    }

    /** The mean, or {@code unknown} without samples. */
    public double or(double unknown) {
        return count > 0 ? sum / count : unknown;
    }
}
