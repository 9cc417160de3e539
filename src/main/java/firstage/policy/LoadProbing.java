package firstage.policy;

import firstage.policy.api.Deployment;
import firstage.policy.api.PolicyActions;
import firstage.policy.api.TrafficClass;
import firstage.policy.state.DecayingMean;
import firstage.policy.state.EngineState;
import firstage.policy.state.RequestState;
import firstage.util.Ticks;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Probes some random engines for their load before a request of high priority weight is sent to one
 * of them. This is done if latencies are high and this manager's share of an engine is too small to
 * infer the engine's load from its own requests.
 */
final class LoadProbing {
    /** Number of engines probed for a request: two to choose from, and a spare. */
    private static final int PROBED_ENGINES = 3;

    /** Share of a request's priority weight that one probe may cost. */
    private static final double MAX_COST_SHARE = 0.01;

    /** Longest time for which a request waits for the answers to its probes. */
    private static final long ANSWER_TIMEOUT = Ticks.ofMillis(20);

    /** Minimum time until engines are probed again for a request, if none had capacity. */
    private static final long PROBE_INTERVAL = Ticks.ofMillis(500);

    /** Number of requests over which the mean priority weight is taken. */
    private static final int MEAN_SAMPLES = 64;

    /** Price of a probe if engines may not be probed. */
    private static final double NO_PROBES = -1;

    private final RandomGenerator random;
    private final PolicyActions actions;
    private final EngineEligibility eligibility;
    private final ConcurrencyLimiter limiter;
    private final LatencyTracker latency;

    /** Cost of a probe, as a multiple of the mean priority weight; negative for no probes. */
    private final double probePrice;

    private final DecayingMean meanPriorityWeight = new DecayingMean(MEAN_SAMPLES);

    LoadProbing(
            Deployment deployment,
            RandomGenerator random,
            PolicyActions actions,
            EngineEligibility eligibility,
            ConcurrencyLimiter limiter,
            LatencyTracker latency) {
        // Without a load report in the answer, the cost of a probe and the wait would be wasted.
        probePrice = deployment.probesReportLoad() ? deployment.probePrice() : NO_PROBES;
        this.random = random;
        this.actions = actions;
        this.eligibility = eligibility;
        this.limiter = limiter;
        this.latency = latency;
    }

    void onRequest(TrafficClass trafficClass) {
        meanPriorityWeight.add(trafficClass.priorityWeight());
    }

    /** Returns whether this request may only go to an engine that was probed for it. */
    boolean needsProbes(RequestState request) {
        return probePrice >= 0
                && request.trafficClass().priorityWeight() * MAX_COST_SHARE
                        >= probePrice * meanPriorityWeight.orElse(1)
                && limiter.isShareBelowOneRequest(request.trafficClass())
                && !latency.isFleetLatencyLow();
    }

    /** Probes engines for this request, unless they were probed recently. */
    void probeIfDue(long now, RequestState request, Collection<EngineState> engines) {
        if (now < request.probedAt + PROBE_INTERVAL) {
            return;
        }
        request.probedAt = now;
        List<EngineState> candidates =
                new ArrayList<>(
                        engines.stream()
                                .filter(engine -> eligibility.isEligible(now, request, engine))
                                .toList());
        request.probedEngines =
                random.ints(Math.min(PROBED_ENGINES, candidates.size()), 0, Integer.MAX_VALUE)
                        .mapToObj(number -> candidates.remove(number % candidates.size()))
                        .toList();
        request.probedEngines.forEach(engine -> actions.probeEngine(engine.id));
    }

    /** Returns whether the request has to wait for answers to its probes. */
    boolean isWaiting(long now, RequestState request) {
        return now < request.probedAt + ANSWER_TIMEOUT && !request.allProbesAnswered();
    }

    /** Returns whether the engine reported since the probe for this request that it is not full. */
    boolean reportedCapacity(RequestState request, EngineState engine) {
        return engine.loadReportedAt >= request.probedAt && engine.reportedLoad < 1;
    }
}
