package firstage.policy;

import firstage.policy.state.TokenBucket;
import firstage.util.Ticks;
import java.util.List;

/** The rate of requests that each tenant may send to this manager; bursts are allowed. */
final class TenantQuotas {
    /** So much time's worth of a quota may be used at once. */
    private static final long BURST = Ticks.ofSeconds(5);

    private final List<TokenBucket> buckets;

    /**
     * @param rates requests a tick of each tenant, over all managers
     * @param share this manager's share of them
     */
    TenantQuotas(List<Double> rates, double share) {
        buckets = rates.stream().map(rate -> new TokenBucket(rate * share, BURST)).toList();
    }

    /** Counts a request of this tenant (-1: none); false where it is beyond the tenant's quota. */
    boolean tryAcquire(int tenant) {
        return tenant < 0 || tenant >= buckets.size() || buckets.get(tenant).tryAcquire();
    }

    /** So many ticks have passed. */
    void refill(long elapsed) {
        buckets.forEach(bucket -> bucket.refill(elapsed));
    }
}
