package firstage.policy.state;

/** A mean over recent samples: sum and count are halved when the count reaches its limit. */
public final class DecayingMean {
    private final double limit;
    private double sum;
    private double count;

    /** A mean over about so many samples. */
    public DecayingMean(double limit) {
        this.limit = limit;
    }

    /** Adds a sample. */
    public void add(double sample) {
        sum += sample;
        count++;
        if (count >= limit) {
            sum /= 2;
            count /= 2;
        }
    }

    /** The mean, or {@code unknown} without samples. */
    public double orElse(double unknown) {
        return count > 0 ? sum / count : unknown;
    }
}
