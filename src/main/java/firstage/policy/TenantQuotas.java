package firstage.policy;

import firstage.policy.state.TokenBucket;
import firstage.util.Ticks;
import java.util.List;

/** Rate limits of the tenants at this manager, which allow bursts. */
final class TenantQuotas {
    /** Size of the largest burst, as the time in which the quota allows that many requests. */
    private static final long BURST = Ticks.ofSeconds(5);

    private final List<TokenBucket> buckets;

    /**
     * Creates quotas that allow a full burst at once.
     *
     * @param rates quota of each tenant in requests per tick, over all managers
     * @param share this manager's share of the quotas
     */
    TenantQuotas(List<Double> rates, double share) {
        buckets = rates.stream().map(rate -> new TokenBucket(rate * share, BURST)).toList();
    }

    /**
     * Counts a request of this tenant, or of none if {@code tenant} is -1. Returns whether the
     * request is within the tenant's quota; requests without a tenant always are.
     */
    boolean tryAcquire(int tenant) {
        return tenant < 0 || tenant >= buckets.size() || buckets.get(tenant).tryAcquire();
    }

    /** Refills the quotas after {@code elapsed} ticks. */
    void refill(long elapsed) {
        buckets.forEach(bucket -> bucket.refill(elapsed));
    }
}
