package firstage.policy.state;

/** A customer's share as a bucket: it fills at a rate up to what that rate brings in a span. */
public final class TokenBucket {
    private final double rate;
    private final double capacity;
    private double tokens;

    public TokenBucket(double rate, long span) {
        this.rate = rate;
        capacity = rate * span;
        tokens = capacity;
    }

    /** Takes one; false where less than one was left. */
    public boolean tryAcquire() {
        boolean enough = tokens >= 1;
        tokens = Math.max(0, tokens - 1);
        return enough;
    }

    public void refill(long time) {
        tokens = Math.min(capacity, tokens + rate * time);
    }
}
