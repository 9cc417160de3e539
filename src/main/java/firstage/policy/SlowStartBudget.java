package firstage.policy;

import firstage.policy.api.Deployment;
import firstage.policy.state.EngineState;
import firstage.policy.state.RequestState;
import firstage.policy.state.SlidingWindowCounter;

/**
 * Warm-up of engines that started lately (rule 4): such an engine bears a part of its capacity that
 * grows with its age, and of that each manager may use its own part, counted over a window.
 */
final class SlowStartBudget {
    /**
     * The share of the budget that is used: other managers and random allocations need the rest.
     */
    private static final double SAFETY = 0.9;

    /**
     * The share of a window's budget that random allocation hands out; two managers may be drawn at
     * once.
     */
    private static final double ALLOCATED_SHARE = 0.4;

    /**
     * Requests up to this share of the budget may be allocated at random: one too many does no
     * harm.
     */
    private static final double SMALL_REQUEST_SHARE = 0.05;

    /** The golden ratio: spreads the managers' ranks evenly. */
    private static final double RANK_STEP = 0.618034;

    /** The share of a straight line that is counted on: how an engine warms up is unknown. */
    private static final double WARM_UP_SLOPE = 0.8;

    /** Busy share of the cores at capacity. */
    private static final double BUSY_SHARE_AT_CAPACITY = 0.85;

    /** Pieces of the window: what is in doubt is counted on the safe side. */
    private static final int WINDOW_PIECES = 20;

    private final Deployment.Rules rules;
    private final int rank;
    private final double shareBySettings;

    /** When this manager first had an endpoint list; below 0 before. */
    private long startedAt = -1;

    /**
     * @param rank this manager's number among all
     * @param managers how many managers share the engines
     */
    SlowStartBudget(Deployment.Rules rules, int rank, int managers) {
        this.rules = rules;
        this.rank = rank;
        shareBySettings = 1.0 / managers;
    }

    /** A counter for the work sent to one engine while it warms up. */
    static SlidingWindowCounter newWorkWindow(Deployment.Rules rules) {
        return new SlidingWindowCounter(rules.overloadWindow(), WINDOW_PIECES);
    }

    void onEndpoints(long now) {
        startedAt = startedAt < 0 ? now : startedAt;
    }

    /**
     * The share of its capacity an engine is sure to have: grows from {@code initialCapacityShare}
     * with {@link #WARM_UP_SLOPE} of a straight line, and is 1 once the warm-up is over.
     */
    double capacityShare(long now, EngineState engine) {
        // An engine that was unavailable may have restarted: the endpoint list tells so late.
        long age = now - engine.lastStartAt();
        if (engine.lastStartAt() <= 0
                || age >= rules.warmUpDuration()
                || rules.initialCapacityShare() <= 0) {
            return 1;
        }
        double straight = Math.max(0, (double) age / rules.warmUpDuration());
        return rules.initialCapacityShare()
                + (1 - rules.initialCapacityShare()) * straight * WARM_UP_SLOPE;
    }

    /** Whether this engine is warm, or its budget has room for this request. */
    boolean allows(long now, RequestState request, EngineState engine, double quotaShare) {
        return capacityShare(now, engine) >= 1 || hasBudget(now, request, engine, quotaShare);
    }

    private boolean hasBudget(
            long now, RequestState request, EngineState engine, double quotaShare) {
        if (rules.overloadMultiple() <= 0) {
            return true;
        }
        // What this manager sent before its own start is unknown, and may be its whole part.
        if (engine.lastStartAt() < startedAt && now < startedAt + rules.overloadWindow()) {
            return false;
        }
        double work = request.classStats.warmUpWork();
        // A quota that peers handed over does not count: the rule rests on our own part alone.
        double own =
                Math.min(quotaShare, engine.warmUpShare > 0 ? engine.warmUpShare : shareBySettings);
        double sent = engine.warmUpWork.upperBound(now);
        double bearable =
                rules.overloadMultiple()
                        * capacityShare(now, engine)
                        * engine.cores
                        * BUSY_SHARE_AT_CAPACITY
                        * rules.overloadWindow();
        return sent + work <= bearable * own * SAFETY
                || sent == 0
                        && work <= bearable * SMALL_REQUEST_SHARE
                        && allocation(now, engine) < bearable * own * ALLOCATED_SHARE / work;
    }

    /**
     * Where each manager's part is below any request, some managers of all get one; from 0 to 1,
     * other in each window, computed alike by all.
     */
    private double allocation(long now, EngineState engine) {
        long window = (now - engine.lastStartAt()) / rules.overloadWindow();
        return (rank * RANK_STEP + engine.hashFraction((int) window)) % 1;
    }

    /** An attempt was sent to this engine. */
    void recordAttempt(long now, RequestState request, EngineState engine) {
        engine.warmUpWork.add(
                now, capacityShare(now, engine) < 1 ? request.classStats.warmUpWork() : 0);
    }
}
