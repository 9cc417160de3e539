package firstage.policy.state;

/** Mean of recent samples. Sum and count are halved when the count reaches its maximum. */
public final class DecayingMean {
    private final double maxCount;
    private double sum;
    private double count;

    /** Creates a mean over about the last {@code maxCount} samples. */
    public DecayingMean(double maxCount) {
        this.maxCount = maxCount;
    }

    /** Adds a sample. */
    public void add(double sample) {
        sum += sample;
        count++;
        if (count >= maxCount) {
            sum /= 2;
            count /= 2;
        }
    }

    /** Returns the mean, or {@code defaultValue} if there are no samples. */
    public double orElse(double defaultValue) {
        return count > 0 ? sum / count : defaultValue;
    }
}
