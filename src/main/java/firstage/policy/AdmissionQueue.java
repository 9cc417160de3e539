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
 * The queue of requests that no engine has capacity for: in order of arrival, of bounded length,
 * and each request for no longer than it can still earn something.
 */
final class AdmissionQueue {
    /** Requests on this manager's share of all cores: what a latency objective clears. */
    private static final double REQUESTS_PER_CORE = 4;

    /** Of the queue for tenants beyond their quota. */
    private static final double OVER_QUOTA_SHARE = 0.2;

    /** Before its deadline a queued request is answered. */
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

    /** The requests in order of arrival; a copy, as they are removed while it is read. */
    List<RequestState> snapshot() {
        return queued.isEmpty() ? List.of() : new ArrayList<>(queued.values());
    }

    /** How many requests the queue may hold. */
    int maxLength(Collection<EngineState> engines, double quotaShare) {
        int cores = 0;
        for (EngineState engine : engines) {
            cores += engine.lifecycle == Lifecycle.ACTIVE ? engine.cores : 0;
        }
        return (int) Math.max(REQUESTS_PER_CORE, cores * quotaShare * REQUESTS_PER_CORE);
    }

    /**
     * Whether a request that was never started has no place in the queue. Asked in order of
     * arrival: a queue that is too long gives up its oldest requests, which have least time left.
     */
    boolean isFullFor(RequestState request, int maxLength, boolean shedding) {
        boolean limited = request.overQuota && !shedding;
        return request.attemptsStarted == 0
                && queued.size() > maxLength * (limited ? OVER_QUOTA_SHARE : 1);
    }

    /** Whether some request could start but for capacity, as of the last pass over the queue. */
    boolean isCongested() {
        return congested;
    }

    /** A pass over the queue begins. */
    void beginPass() {
        congested = false;
    }

    /** In this pass a request found no engine with capacity. */
    void markCongested() {
        congested = true;
    }

    void onShutdown(long endsAt) {
        shutdownAt = endsAt;
    }

    boolean isPastPlannedEnd(long now) {
        return now >= shutdownAt;
    }

    /**
     * The queue timeout: the last moment at which an attempt could still earn something. Without an
     * estimate a long queue gives requests up by their latency objective: else all would be late.
     * An estimate scatters too much to say that the objective is missed.
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

    /** The last moment to start it: before its deadline, and to be over before shutdown. */
    long lastStartAt(RequestState request) {
        return Math.min(
                request.incoming.deadline() - ANSWER_MARGIN,
                shutdownAt - request.expectedDuration());
    }
}
