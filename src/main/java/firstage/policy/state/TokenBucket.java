package firstage.policy.state;

/** A customer's share as a bucket: it fills at a rate up to what that rate brings in a span. */
public final class TokenBucket {
    private final double rate;
    private final double most;
    private double left;

    public TokenBucket(double rate, long span) {
        this.rate = rate;
        most = rate * span;
        left = most;
    }

    /** Takes one; false where less than one was left. */
    public boolean take() {
        boolean enough = left >= 1;
        left = Math.max(0, left - 1);
        return enough;
    }

    public void fill(long time) {
        left = Math.min(most, left + rate * time);
    }
}
