package firstage.policy;

import firstage.policy.state.EngineState;
import firstage.policy.state.RequestState;
import java.util.Collection;

/**
 * Selects the engine for an attempt: the eligible engine with the highest score. Engines where this
 * manager's limits leave capacity score higher than engines that merely show no saturation; other
 * engines are not selected.
 */
final class EngineSelector {
    // Parts of the score. Capacity within this manager's limits outweighs all other parts except
    // those for the fleet's probe and for a full engine.
    private static final double CAPACITY_SCORE = 100;
    private static final double FLEET_PROBE_SCORE = 500;
    private static final double FULL_ENGINE_PENALTY = 500;
    private static final double SAME_ENGINE_PENALTY = 50;
    private static final double SAME_ZONE_SCORE = 1;
    private static final double FREE_MEMORY_STEP_SCORE = 2;
    private static final double MIN_FREE_MEMORY_STEPS = -20;

    /**
     * Number of steps into which a memory slice is divided. Free memory is rounded down to whole
     * steps, and table affinity decides between engines with the same number of free steps.
     */
    private static final double FREE_MEMORY_STEPS_PER_SLICE = 4;

    private final EngineEligibility eligibility;
    private final RetryPolicy retries;
    private final ConcurrencyLimiter limiter;
    private final LatencyTracker latency;
    private final SlowStartBudget slowStart;
    private final GrantEstimator grants;
    private final PriorityAssigner priorities;
    private final LoadProbing probing;
    private final LoadReportTracker loadReports;
    private final TableAffinity tables;
    private final SelectionSettings settings;

    private boolean foundEligibleEngine;

    /**
     * Deployment settings that affect the selection.
     *
     * @param zone zone of this manager
     * @param prefersOwnZone whether traffic between zones has a cost
     * @param enginesHonourPriorities whether engines run requests by priority
     */
    record SelectionSettings(int zone, boolean prefersOwnZone, boolean enginesHonourPriorities) {}

    EngineSelector(
            EngineEligibility eligibility,
            RetryPolicy retries,
            ConcurrencyLimiter limiter,
            LatencyTracker latency,
            SlowStartBudget slowStart,
            GrantEstimator grants,
            PriorityAssigner priorities,
            LoadProbing probing,
            LoadReportTracker loadReports,
            TableAffinity tables,
            SelectionSettings settings) {
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
        this.settings = settings;
    }

    /** Returns whether the latest selection found an eligible engine, with or without capacity. */
    boolean foundEligibleEngine() {
        return foundEligibleEngine;
    }

    /** Returns the engine for the next attempt of this request; null if the request has to wait. */
    EngineState select(long now, RequestState request, Collection<EngineState> engines) {
        foundEligibleEngine = false;
        if (request.attemptsStarted > 0 && !retries.mayStartAttempt(now, request)) {
            return null;
        }
        boolean needsProbes = probing.needsProbes(request);
        if (needsProbes) {
            probing.probeIfDue(now, request, engines);
            if (probing.isWaiting(now, request)) {
                return null;
            }
        }
        boolean topPriority = priorities.priorityOf(request) == PriorityAssigner.TOP;
        boolean withinTotalLimit = isWithinTotalThreadLimit(request, engines);
        double[] tableLoadOrder = tables.tableLoadOrder(request, engines);
        EngineState best = null;
        double bestScore = Double.NEGATIVE_INFINITY;
        for (EngineState engine : needsProbes ? request.probedEngines : engines) {
            if (!eligibility.isEligible(now, request, engine)) {
                continue;
            }
            foundEligibleEngine = true;
            double capacityShare = slowStart.capacityShare(now, engine);
            double grantMb = grants.grantMb(request, engine);
            boolean fits =
                    fits(request, engine, grantMb, capacityShare, topPriority, withinTotalLimit);
            boolean accepts = fits || isUncontended(now, request, engine, grantMb, capacityShare);
            if (needsProbes) {
                boolean idle = engine.memoryQueueEmpty && engine.attemptsInFlight.isEmpty();
                accepts = probing.reportedCapacity(request, engine) && (accepts || idle);
            }
            if (accepts) {
                double score = score(now, request, engine, capacityShare, fits, tableLoadOrder);
                if (score > bestScore) {
                    bestScore = score;
                    best = engine;
                }
            }
        }
        return best;
    }

    /**
     * Returns whether this manager's attempts and this request together stay within the sum of its
     * thread limits at all usable engines; always true while no attempt is in flight. Without this
     * check, many managers with a single request each could fill an engine.
     */
    private static boolean isWithinTotalThreadLimit(
            RequestState request, Collection<EngineState> engines) {
        double totalLimit = 0;
        int reserved = 0;
        for (EngineState engine : engines) {
            totalLimit += OutlierDetector.isUsable(engine) ? engine.threadLimit : 0;
            reserved += engine.reservedThreads;
        }
        return reserved == 0 || reserved + request.trafficClass().threads() <= totalLimit;
    }

    /** Returns whether this manager's limits, or an exception to them, admit the request. */
    private boolean fits(
            RequestState request,
            EngineState engine,
            double grantMb,
            double capacityShare,
            boolean topPriority,
            boolean withinTotalLimit) {
        // One request of the top priority may exceed the thread limit, as short requests would
        // otherwise starve behind long ones.
        boolean onlyTopPriorityAttempt =
                topPriority && !engine.hasAttemptOfPriority(PriorityAssigner.TOP);
        boolean mayExceedLimits =
                engine.attemptsInFlight.isEmpty() && withinTotalLimit
                        || limiter.isShareBelowOneRequest(request.trafficClass())
                                && onlyTopPriorityAttempt
                                && settings.enginesHonourPriorities
                                && !latency.isTopPrioritySlow();
        // A fleet probe may exceed the limits, as the recovery of the engine must not wait for
        // capacity of the probe owner.
        return mayExceedLimits
                || OutlierDetector.isFleetProbe(engine)
                || limiter.hasMemory(engine, grantMb, capacityShare)
                        && (limiter.hasThreads(
                                        engine, request.trafficClass().threads(), capacityShare)
                                || onlyTopPriorityAttempt);
    }

    /**
     * Returns whether the engine is warm, shows no sign of saturation and has space for the
     * request, in which case this manager's limits need not be enforced.
     */
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
            double[] tableLoadOrder) {
        boolean shareBelowOneRequest = limiter.isShareBelowOneRequest(request.trafficClass());
        double freeMemorySteps =
                Math.floor(
                        limiter.freeMemoryShare(engine, capacityShare)
                                * FREE_MEMORY_STEPS_PER_SLICE);
        boolean sameZone = settings.prefersOwnZone && engine.zone == settings.zone;
        return (OutlierDetector.isFleetProbe(engine) ? FLEET_PROBE_SCORE : 0)
                + (fits ? CAPACITY_SCORE : 0)
                + Math.max(MIN_FREE_MEMORY_STEPS, freeMemorySteps) * FREE_MEMORY_STEP_SCORE
                + (sameZone ? SAME_ZONE_SCORE : 0)
                + tables.score(request, engine, tableLoadOrder, shareBelowOneRequest)
                - (shareBelowOneRequest
                        ? FULL_ENGINE_PENALTY * loadReports.estimatedLoad(now, engine)
                        : 0)
                - (engine == request.lastEngine ? SAME_ENGINE_PENALTY : 0);
    }
}
