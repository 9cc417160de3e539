package firstage.policy;

import firstage.policy.api.Deployment;
import firstage.policy.state.EngineState;
import firstage.policy.state.RequestState;
import firstage.policy.state.SlidingWindowCounter;

/**
 * Slow start of engines (rule 4). The capacity of a warming engine grows with its age; each manager
 * may use its own share of that capacity, counted as work over a window.
 */
final class SlowStartBudget {
    /**
     * Share of its budget that a manager uses; the rest is left to other managers and to random
     * allocation.
     */
    private static final double USED_BUDGET_SHARE = 0.9;

    /**
     * Share of a window's budget that is handed out by random allocation; the rest is a margin, as
     * two managers may be drawn at the same time.
     */
    private static final double ALLOCATED_SHARE = 0.4;

    /**
     * Largest work of a request that may be allocated at random, as a share of the engine's
     * capacity in a window; one such request too many does not overload the engine.
     */
    private static final double SMALL_REQUEST_SHARE = 0.05;

    /** Golden ratio, which spreads the ranks of the managers evenly over the range from 0 to 1. */
    private static final double RANK_STEP = 0.618034;

    /**
     * Share of a linear growth of capacity that is relied on, as the actual growth of engines is
     * unknown.
     */
    private static final double WARM_UP_SLOPE = 0.8;

    /** Busy share of the cores of an engine at capacity. */
    private static final double BUSY_SHARE_AT_CAPACITY = 0.85;

    /**
     * Number of buckets of the window. A bucket at the edge of the window still counts, so that the
     * sent work is never underestimated.
     */
    private static final int WINDOW_BUCKETS = 20;

    private final Deployment.Rules rules;
    private final int rank;

    /** Share of each manager if all shares are equal, for engines without {@code warmUpShare}. */
    private final double equalShare;

    /** Time at which this manager received its first endpoint list; negative before. */
    private long startedAt = -1;

    /**
     * Creates the budget of one manager.
     *
     * @param rank index of this manager among all
     * @param managers number of managers that share the engines
     */
    SlowStartBudget(Deployment.Rules rules, int rank, int managers) {
        this.rules = rules;
        this.rank = rank;
        equalShare = 1.0 / managers;
    }

    /** Returns a new counter for the work sent to one engine during its warm-up. */
    static SlidingWindowCounter newWorkWindow(Deployment.Rules rules) {
        return new SlidingWindowCounter(rules.overloadWindow(), WINDOW_BUCKETS);
    }

    void onEndpoints(long now) {
        startedAt = startedAt < 0 ? now : startedAt;
    }

    /**
     * Returns the share of its capacity that an engine can be relied on to have now. The share
     * grows linearly from {@code initialCapacityShare}, with a slope reduced by {@link
     * #WARM_UP_SLOPE}, and is 1 once the warm-up is over.
     */
    double capacityShare(long now, EngineState engine) {
        // Suspected restarts count as well: an engine that was unavailable may have restarted, and
        // the endpoint list reports that late.
        long age = now - engine.lastStartAt();
        if (engine.lastStartAt() <= 0
                || age >= rules.warmUpDuration()
                || rules.initialCapacityShare() <= 0) {
            return 1;
        }
        double elapsedShare = Math.max(0, (double) age / rules.warmUpDuration());
        return rules.initialCapacityShare()
                + (1 - rules.initialCapacityShare()) * elapsedShare * WARM_UP_SLOPE;
    }

    /** Returns whether this engine is warm, or its budget has room for this request. */
    boolean allows(long now, RequestState request, EngineState engine, double quotaShare) {
        return capacityShare(now, engine) >= 1 || hasBudget(now, request, engine, quotaShare);
    }

    private boolean hasBudget(
            long now, RequestState request, EngineState engine, double quotaShare) {
        if (rules.overloadMultiple() <= 0) {
            return true;
        }
        // Work that this manager sent before its own restart is unknown; it may have been its whole
        // share.
        if (engine.lastStartAt() < startedAt && now < startedAt + rules.overloadWindow()) {
            return false;
        }
        double work = request.classStats.expectedWarmUpWork();
        // Quota released by other managers is not used, so that the rule does not depend on them.
        double ownShare =
                Math.min(quotaShare, engine.warmUpShare > 0 ? engine.warmUpShare : equalShare);
        double sentWork = engine.warmUpWork.upperBound(now);
        double windowCapacity =
                rules.overloadMultiple()
                        * capacityShare(now, engine)
                        * engine.cores
                        * BUSY_SHARE_AT_CAPACITY
                        * rules.overloadWindow();
        return sentWork + work <= windowCapacity * ownShare * USED_BUDGET_SHARE
                || sentWork == 0
                        && work <= windowCapacity * SMALL_REQUEST_SHARE
                        && allocationDraw(now, engine)
                                < windowCapacity * ownShare * ALLOCATED_SHARE / work;
    }

    /**
     * Returns this manager's draw, in [0, 1), for an engine in the current window. If the share of
     * each manager is smaller than any request, the managers with low draws may send one. All
     * managers compute the draws in the same way, and the draws differ between windows.
     */
    private double allocationDraw(long now, EngineState engine) {
        long window = (now - engine.lastStartAt()) / rules.overloadWindow();
        return (rank * RANK_STEP + engine.hashFraction((int) window)) % 1;
    }

    /** Records an attempt that was sent to this engine. */
    void recordAttempt(long now, RequestState request, EngineState engine) {
        engine.warmUpWork.add(
                now, capacityShare(now, engine) < 1 ? request.classStats.expectedWarmUpWork() : 0);
    }
}
