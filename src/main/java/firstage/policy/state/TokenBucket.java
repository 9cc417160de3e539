package firstage.policy.state;

/** Token bucket: a rate limiter that allows bursts up to its capacity. */
public final class TokenBucket {
    private final double rate;
    private final double capacity;
    private double tokens;

    /**
     * Creates a full bucket.
     *
     * @param rate tokens per tick
     * @param burst capacity of the bucket, as the number of ticks in which an empty one fills
     */
    public TokenBucket(double rate, long burst) {
        this.rate = rate;
        capacity = rate * burst;
        tokens = capacity;
    }

    /**
     * Takes one token. Returns false if less than a whole token was left, in which case the rest is
     * taken as well.
     */
    public boolean tryAcquire() {
        boolean available = tokens >= 1;
        tokens = Math.max(0, tokens - 1);
        return available;
    }

    /** Adds the tokens of {@code elapsed} ticks. */
    public void refill(long elapsed) {
        tokens = Math.min(capacity, tokens + rate * elapsed);
    }
}
