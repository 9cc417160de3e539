package firstage.scale;

import firstage.policy.WorkloadScheduler;
import firstage.policy.api.AttemptOutcome;
import firstage.policy.api.AttemptResult;
import firstage.policy.api.Deployment;
import firstage.policy.api.EndpointUpdate;
import firstage.policy.api.EndpointUpdate.Endpoint;
import firstage.policy.api.EndpointUpdate.Lifecycle;
import firstage.policy.api.IncomingRequest;
import firstage.policy.api.PolicyActions;
import firstage.policy.api.TrafficClass;
import firstage.policy.api.TrafficClass.Effect;
import firstage.policy.api.TrafficClass.Scope;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Measures the processor time that the scheduling policy takes for a request, by the number of
 * engines that a manager knows. The real scheduler runs on one thread and receives every event by a
 * direct call; the simulated engines end each request after its work. Times are ticks, but the cost
 * is measured by the clock of this machine.
 */
public final class DecisionCost implements PolicyActions {
    private static final long SECOND = 10_000;

    /** Time between requests. In two years, a manager is expected to receive 462 a second. */
    private static final long REQUEST_INTERVAL = SECOND / 462;

    /** Work of each request and duration of its attempt, in ticks. */
    private static final long WORK = 2_000;

    private static final int WARM_UP_REQUESTS = 6_000;
    private static final int MEASURED_REQUESTS = 6_000;
    private static final int CORES = 8;
    private static final double MEMORY_MB = 16_000;
    private final WorkloadScheduler scheduler;

    /** End time, request id and engine id of each running attempt, in the order of end times. */
    private final ArrayDeque<long[]> running = new ArrayDeque<>();

    private long now = 100 * SECOND;
    private int attemptsStarted;
    private int rejectedOrFailed;

    private DecisionCost(int engines, int managers) {
        TrafficClass lookup =
                new TrafficClass(
                        SECOND,
                        2,
                        5 * SECOND,
                        1,
                        0,
                        Effect.IDEMPOTENT,
                        Scope.ALL,
                        6 * SECOND,
                        false,
                        1,
                        false,
                        true,
                        Set.of(),
                        Set.of());
        scheduler =
                new WorkloadScheduler(
                        new Deployment(
                                7,
                                managers,
                                0,
                                0,
                                List.of(lookup),
                                List.of(new Deployment.MachineType(CORES, MEMORY_MB)),
                                List.of(),
                                new Deployment.Capabilities(
                                        false, false, true, true, true, 4, 2 * SECOND),
                                new Deployment.Rules(
                                        0.3, 10 * SECOND, 2, 2 * SECOND, 0, -1, 1, 10 * SECOND),
                                0.5,
                                SECOND / 2,
                                false,
                                false,
                                -1,
                                false,
                                false),
                        this);
        List<Endpoint> endpoints = new ArrayList<>();
        for (int engine = 0; engine < engines; engine++) {
            endpoints.add(new Endpoint(engine, engine + 1L, 0, 0, engine, Lifecycle.ACTIVE, 1, 0));
        }
        scheduler.onEndpointsUpdated(
                now, new EndpointUpdate(EndpointUpdate.Kind.INITIAL, endpoints));
        scheduler.runPendingActions(now);
    }

    /**
     * Advances the time to the next request, ends the attempts that are due and adds the request.
     */
    private void addRequest(int requestId) {
        now += REQUEST_INTERVAL;
        while (!running.isEmpty() && running.peek()[0] <= now) {
            long[] ended = running.poll();
            scheduler.onAttemptResult(
                    now,
                    new AttemptResult(
                            (int) ended[1],
                            0,
                            (int) ended[2],
                            AttemptOutcome.SUCCEEDED,
                            WORK,
                            0,
                            0,
                            true,
                            null,
                            0));
            scheduler.runPendingActions(now);
        }
        scheduler.onRequest(
                now,
                new IncomingRequest(
                        requestId,
                        0,
                        -1,
                        -1,
                        now + 5 * SECOND,
                        WORK,
                        100,
                        requestId % 20,
                        false,
                        false));
        scheduler.runPendingActions(now);
    }

    /**
     * Measures the cost for a number of engines. Returns the figures by name: microseconds,
     * attempts, and rejections or failures per request.
     */
    public static Map<String, Double> measure(int engines, int managers) {
        DecisionCost run = new DecisionCost(engines, managers);
        for (int requestId = 0; requestId < WARM_UP_REQUESTS; requestId++) {
            run.addRequest(requestId);
        }
        run.attemptsStarted = 0;
        run.rejectedOrFailed = 0;
        long startNs = System.nanoTime();
        for (int requestId = WARM_UP_REQUESTS;
                requestId < WARM_UP_REQUESTS + MEASURED_REQUESTS;
                requestId++) {
            run.addRequest(requestId);
        }
        Map<String, Double> figures = new LinkedHashMap<>();
        figures.put("engines", (double) engines);
        figures.put("managers", (double) managers);
        figures.put("us a batch", (System.nanoTime() - startNs) / 1e3 / MEASURED_REQUESTS);
        figures.put("dispatches a batch", (double) run.attemptsStarted / MEASURED_REQUESTS);
        figures.put("pushed back a batch", (double) run.rejectedOrFailed / MEASURED_REQUESTS);
        return figures;
    }

    @Override
    public void setGrantAndPriority(int requestId, int grantMb, int priority) {
        // The duration of an attempt does not depend on its grant.
    }

    @Override
    public void startAttempt(int requestId, int engineId, long timeout) {
        attemptsStarted++;
        running.add(new long[] {now + WORK, requestId, engineId});
    }

    @Override
    public void cancelAttempt(int requestId, int attemptNumber) {
        // The deployment forbids cancelling.
    }

    @Override
    public void reject(int requestId, long retryAfter) {
        rejectedOrFailed++;
    }

    @Override
    public void fail(int requestId) {
        rejectedOrFailed++;
    }

    @Override
    public void releaseRequest(int requestId) {
        // Request ids are not reused.
    }

    @Override
    public void releaseKey(int key) {
        // No request has an ordering key.
    }

    @Override
    public void releaseEngine(int engineId) {
        // No engine leaves.
    }

    @Override
    public void probeEngine(int engineId) {
        // The deployment forbids probes.
    }

    @Override
    public void scheduleWakeUp(long delay, long token) {
        // Requests follow each other so closely that no wake-up is needed.
    }

    @Override
    public void log(String line) {
        // The log is not read.
    }
}
