package firstage.policy.state;

/** A rate limit that allows bursts: it fills at a rate, up to what that brings in a time span. */
public final class TokenBucket {
    private final double rate;
    private final double capacity;
    private double tokens;

    /** A full bucket of so many tokens a tick, that holds those of {@code span} ticks. */
    public TokenBucket(double rate, long span) {
        this.rate = rate;
        capacity = rate * span;
        tokens = capacity;
    }

    /** Takes one token; false where less than one was left, which is taken all the same. */
    public boolean tryAcquire() {
        boolean enough = tokens >= 1;
        tokens = Math.max(0, tokens - 1);
        return enough;
    }

    /** Adds the tokens of so many ticks. */
    public void refill(long elapsed) {
        tokens = Math.min(capacity, tokens + rate * elapsed);
    }
}
