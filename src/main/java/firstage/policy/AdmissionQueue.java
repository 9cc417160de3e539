package firstage.policy;

import firstage.policy.api.EndpointUpdate.Lifecycle;
import firstage.policy.state.EngineState;
import firstage.policy.state.RequestState;
import firstage.util.Ticks;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;

/**
 * Bounded FIFO queue of the requests for which no engine has capacity. A request waits only as long
 * as an attempt could still end in time for its answer to have some value.
 */
final class AdmissionQueue {
    /**
     * Maximum number of queued requests per core of this manager's share; about as many as can be
     * processed within a latency objective.
     */
    private static final double REQUESTS_PER_CORE = 4;

    /** Share of the queue that requests over their tenant's quota may fill. */
    private static final double OVER_QUOTA_SHARE = 0.2;

    /** Time before its deadline at which a queued request is answered at the latest. */
    private static final long ANSWER_MARGIN = Ticks.ofMillis(80);

    private final TreeMap<Long, RequestState> queued = new TreeMap<>();
    private final LatencyTracker latency;
    private long shutdownAt = Long.MAX_VALUE;
    private boolean congested;

    AdmissionQueue(LatencyTracker latency) {
        this.latency = latency;
    }

    void add(RequestState request) {
        queued.put(request.arrivalOrder, request);
    }

    void remove(RequestState request) {
        queued.remove(request.arrivalOrder);
    }

    /** Returns a copy of the queue in order of arrival, so that callers may remove requests. */
    List<RequestState> snapshot() {
        return queued.isEmpty() ? List.of() : new ArrayList<>(queued.values());
    }

    /** Returns the maximum number of requests in the queue. */
    int maxLength(Collection<EngineState> engines, double quotaShare) {
        int cores = 0;
        for (EngineState engine : engines) {
            cores += engine.lifecycle == Lifecycle.ACTIVE ? engine.cores : 0;
        }
        return (int) Math.max(REQUESTS_PER_CORE, cores * quotaShare * REQUESTS_PER_CORE);
    }

    /**
     * Returns whether the queue is too long to keep this request; a request that was started before
     * always stays. Callers check requests in order of arrival, so that a queue that is too long
     * drops its oldest requests, which have the least time left.
     *
     * @param shedding whether the fleet sheds load, which takes the place of the tenants' quotas
     */
    boolean isFullFor(RequestState request, int maxLength, boolean shedding) {
        boolean quotaApplies = request.overQuota && !shedding;
        return request.attemptsStarted == 0
                && queued.size() > maxLength * (quotaApplies ? OVER_QUOTA_SHARE : 1);
    }

    /** Returns whether a request that may start found no engine in the latest queue pass. */
    boolean isCongested() {
        return congested;
    }

    /** Prepares for a pass over the queue. */
    void beginPass() {
        congested = false;
    }

    /** Records that a request that may start found no engine in this pass. */
    void markCongested() {
        congested = true;
    }

    void onShutdown(long endsAt) {
        shutdownAt = endsAt;
    }

    boolean isPastShutdown(long now) {
        return now >= shutdownAt;
    }

    /**
     * Returns the time, in ticks, at which a request times out in the queue: the last time at which
     * an attempt could start and still end in time.
     *
     * <p>An attempt ends in time if it meets the deadline, or the latency objective if a late
     * answer has no value. While the queue is congested, requests without an estimate have to meet
     * the objective as well, since otherwise all of them would be late. Requests with an estimate
     * do not, as estimates scatter too widely to predict that the objective is missed.
     */
    long timeoutAt(RequestState request) {
        boolean estimated = request.incoming.estimatedWork() > 0;
        double duration =
                request.expectedDuration() * (estimated ? 1 : Math.max(1, latency.medianRatio()));
        boolean byObjective =
                request.trafficClass().lateValueShare() == 0 || congested && !estimated;
        long end = byObjective ? request.objectiveAt : request.incoming.deadline();
        return Math.min(lastStartAt(request), end - (long) duration);
    }

    /**
     * Returns the last time at which the request may be started, in ticks: early enough to be
     * answered before its deadline and to end before the shutdown.
     */
    long lastStartAt(RequestState request) {
        return Math.min(
                request.incoming.deadline() - ANSWER_MARGIN,
                shutdownAt - request.expectedDuration());
    }
}
