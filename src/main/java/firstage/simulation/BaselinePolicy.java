package firstage.simulation;

import firstage.policy.api.AttemptOutcome;
import firstage.policy.api.AttemptProgress;
import firstage.policy.api.AttemptResult;
import firstage.policy.api.Deployment;
import firstage.policy.api.EndpointUpdate;
import firstage.policy.api.IncomingRequest;
import firstage.policy.api.LoadReport;
import firstage.policy.api.PolicyActions;
import firstage.policy.api.SchedulingPolicy;
import firstage.policy.api.TrafficClass;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * Textbook load-balancing policies, as baselines for the scheduler: each request goes at once to an
 * active engine, requests of one ordering key one at a time. None of them retries, sets grants or
 * watches the health of engines.
 */
final class BaselinePolicy implements SchedulingPolicy {
    /** The way in which an engine is chosen. */
    enum Kind {
        RANDOM,
        ROUND_ROBIN,
        LEAST_OUTSTANDING,
        TWO_CHOICES
    }

    private static final class OpenRequest {
        private final IncomingRequest request;
        private int engine = -1;

        private OpenRequest(IncomingRequest request) {
            this.request = request;
        }
    }

    private final Kind kind;
    private final PolicyActions actions;
    private final Deployment deployment;
    private final RandomGenerator random;
    private final TreeMap<Integer, Integer> attemptsByEngine = new TreeMap<>();
    private final List<Integer> activeEngines = new ArrayList<>();
    private final Map<Integer, OpenRequest> openRequests = new HashMap<>();
    private final Map<Integer, ArrayDeque<OpenRequest>> queuesByKey = new HashMap<>();
    private final Map<Integer, Long> quietUntilByKey = new HashMap<>();
    private int nextRoundRobin;

    BaselinePolicy(Kind kind, Deployment deployment, PolicyActions actions) {
        this.kind = kind;
        this.actions = actions;
        this.deployment = deployment;
        random = RandomGeneratorFactory.of("L64X128MixRandom").create(deployment.seed());
    }

    @Override
    public void onRequest(long now, IncomingRequest request) {
        OpenRequest openRequest = new OpenRequest(request);
        openRequests.put(request.requestId(), openRequest);
        TrafficClass trafficClass = deployment.trafficClasses().get(request.trafficClass());
        if (trafficClass.ordered() && request.orderingKey() >= 0) {
            ArrayDeque<OpenRequest> queue =
                    queuesByKey.computeIfAbsent(request.orderingKey(), k -> new ArrayDeque<>());
            queue.add(openRequest);
            if (queue.size() > 1 || quietUntilByKey.getOrDefault(request.orderingKey(), 0L) > now) {
                actions.scheduleWakeUp(
                        Math.max(1, quietUntilByKey.getOrDefault(request.orderingKey(), 0L) - now),
                        request.orderingKey());
                return;
            }
        }
        start(openRequest);
    }

    private void start(OpenRequest openRequest) {
        if (activeEngines.isEmpty()) {
            actions.reject(openRequest.request.requestId(), 0);
            close(openRequest);
            return;
        }
        openRequest.engine = chooseEngine();
        attemptsByEngine.merge(openRequest.engine, 1, Integer::sum);
        actions.startAttempt(openRequest.request.requestId(), openRequest.engine, 0);
    }

    private int chooseEngine() {
        return switch (kind) {
            case RANDOM -> activeEngines.get(random.nextInt(activeEngines.size()));
            case ROUND_ROBIN ->
                    activeEngines.get(Math.floorMod(nextRoundRobin++, activeEngines.size()));
            case LEAST_OUTSTANDING -> {
                int best = activeEngines.get(random.nextInt(activeEngines.size()));
                for (int candidate : activeEngines) {
                    best = attemptsInFlight(candidate) < attemptsInFlight(best) ? candidate : best;
                }
                yield best;
            }
            case TWO_CHOICES -> {
                int first = activeEngines.get(random.nextInt(activeEngines.size()));
                int second = activeEngines.get(random.nextInt(activeEngines.size()));
                yield attemptsInFlight(second) < attemptsInFlight(first) ? second : first;
            }
        };
    }

    @Override
    public void onAttemptResult(long now, AttemptResult result) {
        OpenRequest openRequest = openRequests.get(result.requestId());
        if (openRequest == null) {
            return;
        }
        attemptsByEngine.merge(result.engineId(), -1, Integer::sum);
        openRequest.engine = -1;
        if (!result.requestClosed()) {
            if (result.outcome().mayHaveRun) {
                actions.fail(openRequest.request.requestId());
            } else {
                actions.reject(openRequest.request.requestId(), 0);
            }
        }
        boolean keyQuiet =
                result.outcome() != AttemptOutcome.SUCCEEDED && result.outcome().mayHaveRun;
        if (keyQuiet && openRequest.request.orderingKey() >= 0) {
            this.quietUntilByKey.put(
                    openRequest.request.orderingKey(),
                    now + Math.max(deployment.rules().keyQuietPeriod(), result.mayStillRunFor()));
        }
        close(openRequest);
        startNextOfKey(now, openRequest.request.orderingKey());
    }

    /**
     * Starts the next request of a key; within the key's quiet period, schedules a wake-up for its
     * end instead.
     */
    private void startNextOfKey(long now, int key) {
        ArrayDeque<OpenRequest> queue = queuesByKey.get(key);
        if (queue == null || queue.isEmpty() || queue.peek().engine >= 0) {
            return;
        }
        long quietTime = quietUntilByKey.getOrDefault(key, 0L) - now;
        if (quietTime > 0) {
            actions.scheduleWakeUp(quietTime, key);
        } else {
            start(queue.peek());
        }
    }

    private void close(OpenRequest openRequest) {
        if (openRequest.engine < 0
                && openRequests.remove(openRequest.request.requestId()) != null) {
            ArrayDeque<OpenRequest> queue = queuesByKey.get(openRequest.request.orderingKey());
            if (queue != null) {
                queue.remove(openRequest);
                if (queue.isEmpty()) {
                    queuesByKey.remove(openRequest.request.orderingKey());
                }
            }
            actions.releaseRequest(openRequest.request.requestId());
        }
    }

    @Override
    public void onClientGone(long now, int requestId) {
        OpenRequest openRequest = openRequests.get(requestId);
        if (openRequest != null && openRequest.engine < 0) {
            close(openRequest);
            startNextOfKey(now, openRequest.request.orderingKey());
        }
    }

    @Override
    public void onEndpointsUpdated(long now, EndpointUpdate update) {
        if (update.kind() == EndpointUpdate.Kind.SNAPSHOT
                || update.kind() == EndpointUpdate.Kind.INITIAL) {
            activeEngines.clear();
        }
        for (EndpointUpdate.Endpoint endpoint : update.endpoints()) {
            activeEngines.remove((Integer) endpoint.engineId());
            if (endpoint.lifecycle() == EndpointUpdate.Lifecycle.ACTIVE) {
                activeEngines.add(endpoint.engineId());
            }
        }
    }

    @Override
    public void onAttemptProgress(long now, AttemptProgress progress) {
        // Baselines ignore progress.
    }

    @Override
    public void onProbeResult(long now, int engine, AttemptOutcome outcome, LoadReport report) {
        // Baselines send no probes.
    }

    @Override
    public void onShutdown(long now, long endsAt) {
        // Requests in flight are answered when their attempts end.
    }

    @Override
    public void onWakeUp(long now, long token) {
        startNextOfKey(now, (int) token);
    }

    @Override
    public int attemptsInFlight(int engine) {
        return attemptsByEngine.getOrDefault(engine, 0);
    }

    @Override
    public void runPendingActions(long now) {
        // Baselines act at once.
    }
}
