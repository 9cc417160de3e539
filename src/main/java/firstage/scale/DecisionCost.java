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
 * What the decisions cost a request in processor time by how many engines a manager knows: the real
 * ones, all news by calls, engines that return each request after its work. Measured by this
 * machine's clock, one thread.
 */
public final class DecisionCost implements PolicyActions {
    private static final long SECOND = 10_000;

    /** By the size of two years on: 462 requests a second at one manager. */
    private static final long BETWEEN = SECOND / 462;

    private static final long WORK = 2_000;
    private static final int WARM = 6_000;
    private static final int MEASURED = 6_000;
    private static final int CORES = 8;
    private static final double MEMORY_MB = 16_000;
    private final WorkloadScheduler brain;
    private final ArrayDeque<long[]> running = new ArrayDeque<>();
    private long now = 100 * SECOND;
    private int dispatched;
    private int pushedBack;

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
        brain =
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
        List<Endpoint> entries = new ArrayList<>();
        for (int e = 0; e < engines; e++) {
            entries.add(new Endpoint(e, e + 1L, 0, 0, e, Lifecycle.ACTIVE, 1, 0));
        }
        brain.onEndpointsUpdated(now, new EndpointUpdate(EndpointUpdate.Kind.INITIAL, entries));
        brain.runPendingActions(now);
    }

    private void batch(int number) {
        now += BETWEEN;
        while (!running.isEmpty() && running.peek()[0] <= now) {
            long[] over = running.poll();
            brain.onAttemptResult(
                    now,
                    new AttemptResult(
                            (int) over[1],
                            0,
                            (int) over[2],
                            AttemptOutcome.SUCCEEDED,
                            WORK,
                            0,
                            0,
                            true,
                            null,
                            0));
            brain.runPendingActions(now);
        }
        brain.onRequest(
                now,
                new IncomingRequest(
                        number, 0, -1, -1, now + 5 * SECOND, WORK, 100, number % 20, false, false));
        brain.runPendingActions(now);
    }

    /** Microseconds a request, and the shares sent and rejected; by name. */
    public static Map<String, Double> play(int engines, int managers) {
        DecisionCost c = new DecisionCost(engines, managers);
        for (int b = 0; b < WARM; b++) {
            c.batch(b);
        }
        c.dispatched = 0;
        c.pushedBack = 0;
        long from = System.nanoTime();
        for (int b = WARM; b < WARM + MEASURED; b++) {
            c.batch(b);
        }
        Map<String, Double> row = new LinkedHashMap<>();
        row.put("engines", (double) engines);
        row.put("managers", (double) managers);
        row.put("us a batch", (System.nanoTime() - from) / 1e3 / MEASURED);
        row.put("dispatches a batch", (double) c.dispatched / MEASURED);
        row.put("pushed back a batch", (double) c.pushedBack / MEASURED);
        return row;
    }

    @Override
    public void setGrantAndPriority(int batch, int grantMb, int priority) {
        // Its engine runs it with whatever it is granted.
    }

    @Override
    public void startAttempt(int batch, int engine, long within) {
        dispatched++;
        running.add(new long[] {now + WORK, batch, engine});
    }

    @Override
    public void cancelAttempt(int batch, int dispatch) {
        // It may not.
    }

    @Override
    public void reject(int batch, long comeBack) {
        pushedBack++;
    }

    @Override
    public void fail(int batch) {
        pushedBack++;
    }

    @Override
    public void releaseRequest(int batch) {
        // Numbers are not used again.
    }

    @Override
    public void releaseKey(int key) {
        // There are none.
    }

    @Override
    public void releaseEngine(int engine) {
        // None leaves.
    }

    @Override
    public void probeEngine(int engine) {
        // It may not.
    }

    @Override
    public void scheduleWakeUp(long delay, long token) {
        // Each request is news enough.
    }

    @Override
    public void log(String line) {
        // Nobody reads it.
    }
}
