package firstage.policy;

import firstage.policy.state.EngineState;
import firstage.policy.state.RequestState;
import java.util.Collection;

/**
 * Selects the engine for an attempt: of the eligible ones that have capacity the one with the
 * highest score, else one that is not saturated, else none.
 */
final class EngineSelector {
    // Points of the score. Where this manager has capacity outweighs what else speaks for an
    // engine; the fleet's probe and a full engine outweigh that.
    private static final double CAPACITY_SCORE = 100;
    private static final double FLEET_PROBE_SCORE = 500;
    private static final double FULL_ENGINE_PENALTY = 500;
    private static final double SAME_ENGINE_PENALTY = 50;
    private static final double SAME_ZONE_SCORE = 1;
    private static final double FREE_MEMORY_STEP_SCORE = 2;
    private static final double MIN_FREE_MEMORY_STEPS = -20;

    /**
     * Free memory is rounded down to quarters of the slice; between engines in the same quarter
     * table affinity decides.
     */
    private static final double FREE_MEMORY_STEPS_PER_SLICE = 4;

    private final EngineEligibility eligibility;
    private final RetryPolicy retries;
    private final ConcurrencyLimiter limiter;
    private final LatencyTracker latency;
    private final SlowStartBudget slowStart;
    private final GrantEstimator grants;
    private final PriorityClasses priorities;
    private final LoadProbing probing;
    private final LoadReportTracker loadReports;
    private final TableAffinity tables;
    private final Placement placement;

    private boolean metEligibleEngine;

    /**
     * Where the manager stands, and what engines heed.
     *
     * @param prefersOwnZone whether traffic between zones costs
     * @param prioritiesHeeded whether engines run requests by priority
     */
    record Placement(int zone, boolean prefersOwnZone, boolean prioritiesHeeded) {}

    EngineSelector(
            EngineEligibility eligibility,
            RetryPolicy retries,
            ConcurrencyLimiter limiter,
            LatencyTracker latency,
            SlowStartBudget slowStart,
            GrantEstimator grants,
            PriorityClasses priorities,
            LoadProbing probing,
            LoadReportTracker loadReports,
            TableAffinity tables,
            Placement placement) {
        this.eligibility = eligibility;
        this.retries = retries;
        this.limiter = limiter;
        this.latency = latency;
        this.slowStart = slowStart;
        this.grants = grants;
        this.priorities = priorities;
        this.probing = probing;
        this.loadReports = loadReports;
        this.tables = tables;
        this.placement = placement;
    }

    /** Whether the last selection met an eligible engine, with capacity or without. */
    boolean metEligibleEngine() {
        return metEligibleEngine;
    }

    /** The engine for the next attempt of this request; null where it has to wait. */
    EngineState select(long now, RequestState request, Collection<EngineState> engines) {
        metEligibleEngine = false;
        if (request.attemptsStarted > 0 && !retries.mayStartAttempt(now, request)) {
            return null;
        }
        boolean probed = probing.needsProbes(request);
        if (probed) {
            probing.probeIfDue(now, request, engines);
            if (probing.isWaiting(now, request)) {
                return null;
            }
        }
        boolean top = priorities.of(request) == PriorityClasses.TOP;
        boolean withinLimits = isWithinAllLimits(request, engines);
        double[] loadOrder = tables.loadOrder(request, engines);
        EngineState best = null;
        double bestScore = Double.NEGATIVE_INFINITY;
        for (EngineState engine : probed ? request.probedEngines : engines) {
            if (!eligibility.isEligible(now, request, engine)) {
                continue;
            }
            metEligibleEngine = true;
            double capacityShare = slowStart.capacityShare(now, engine);
            double grantMb = grants.grantMb(request, engine);
            boolean fits = fits(request, engine, grantMb, capacityShare, top, withinLimits);
            boolean accepts = fits || isUncontended(now, request, engine, grantMb, capacityShare);
            if (probed) {
                boolean idle = engine.memoryQueueEmpty && engine.attemptsInFlight.isEmpty();
                accepts = probing.reportedCapacity(request, engine) && (accepts || idle);
            }
            if (accepts) {
                double score = score(now, request, engine, capacityShare, fits, loadOrder);
                if (score > bestScore) {
                    bestScore = score;
                    best = engine;
                }
            }
        }
        return best;
    }

    /**
     * Whether this manager's attempts in flight stay within its thread limits of all engines
     * together: many managers with one lone request each would fill an engine.
     */
    private static boolean isWithinAllLimits(
            RequestState request, Collection<EngineState> engines) {
        double limit = 0;
        int reserved = 0;
        for (EngineState engine : engines) {
            limit += OutlierDetector.isUsable(engine) ? engine.threadLimit : 0;
            reserved += engine.reservedThreads;
        }
        return reserved == 0 || reserved + request.trafficClass().threads() <= limit;
    }

    /** Whether this manager's limits, or an exception from them, let the request go there. */
    private boolean fits(
            RequestState request,
            EngineState engine,
            double grantMb,
            double capacityShare,
            boolean top,
            boolean withinLimits) {
        // One of the top priority may exceed the thread limit: many short requests would starve
        // behind long ones.
        boolean onlyTop = top && !engine.hasAttemptOfPriority(PriorityClasses.TOP);
        boolean mayExceedLimits =
                engine.attemptsInFlight.isEmpty() && withinLimits
                        || limiter.isShareBelowOneRequest(request.trafficClass())
                                && onlyTop
                                && placement.prioritiesHeeded
                                && !latency.isTopPrioritySlow();
        // The probe owner may exceed its slice; otherwise recovery would wait for its capacity.
        return mayExceedLimits
                || OutlierDetector.isFleetProbe(engine)
                || limiter.hasMemory(engine, grantMb, capacityShare)
                        && (limiter.hasThreads(
                                        engine, request.trafficClass().threads(), capacityShare)
                                || onlyTop);
    }

    /** Whether the engine shows no sign of saturation, so that our limits need not bind. */
    private boolean isUncontended(
            long now,
            RequestState request,
            EngineState engine,
            double grantMb,
            double capacityShare) {
        return capacityShare >= 1
                && !limiter.isSaturated(now, engine, latency)
                && limiter.isWithinEngine(engine, grantMb, request.trafficClass().threads());
    }

    private double score(
            long now,
            RequestState request,
            EngineState engine,
            double capacityShare,
            boolean fits,
            double[] loadOrder) {
        boolean smallShare = limiter.isShareBelowOneRequest(request.trafficClass());
        double freeMemorySteps =
                Math.floor(limiter.freeMemory(engine, capacityShare) * FREE_MEMORY_STEPS_PER_SLICE);
        boolean sameZone = placement.prefersOwnZone && engine.zone == placement.zone;
        return (OutlierDetector.isFleetProbe(engine) ? FLEET_PROBE_SCORE : 0)
                + (fits ? CAPACITY_SCORE : 0)
                + Math.max(MIN_FREE_MEMORY_STEPS, freeMemorySteps) * FREE_MEMORY_STEP_SCORE
                + (sameZone ? SAME_ZONE_SCORE : 0)
                + tables.score(request, engine, loadOrder, smallShare)
                - (smallShare ? FULL_ENGINE_PENALTY * loadReports.estimatedLoad(now, engine) : 0)
                - (engine == request.lastEngine ? SAME_ENGINE_PENALTY : 0);
    }
}
