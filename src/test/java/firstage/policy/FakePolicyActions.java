package firstage.policy;

import firstage.policy.api.AttemptOutcome;
import firstage.policy.api.AttemptProgress;
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
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A tiny host: it remembers what a brain did, and tells the story's events. Times are tenths of ms.
 */
final class FakePolicyActions implements PolicyActions {
    static final long SECOND = 10_000;
    static final int LOOKUP = 0;
    static final int REPORT = 1;
    static final int LOAD = 2;
    final List<String> acts = new ArrayList<>();
    final Map<Integer, Integer> dispatches = new HashMap<>();
    final Map<Integer, Integer> lastEngine = new HashMap<>();
    WorkloadScheduler brain;
    long now = 100 * SECOND;
    // What a story may change before it starts.
    int managers = 1;
    int rank;
    double coldPart;
    long seed = 7;
    double probePrice = -1;
    boolean estimate = true;
    boolean callOff;
    boolean secondCopies;
    double memoryMb = 16_000;
    Effect loadEffect = Effect.NON_IDEMPOTENT;
    Scope scope = Scope.ALL;
    Set<Integer> lookupZones = Set.of();
    double furtherRatio = -1;
    long notePace = SECOND / 2;
    List<Double> rates = List.of();
    boolean probesTell = true;
    boolean pages;

    FakePolicyActions start(int engines) {
        List<TrafficClass> groups =
                List.of(
                        group(SECOND, 5 * SECOND, 1, 0, Effect.IDEMPOTENT, false, 1, lookupZones),
                        group(
                                3 * SECOND,
                                20 * SECOND,
                                3,
                                0.3,
                                Effect.IDEMPOTENT,
                                false,
                                2,
                                Set.of()),
                        group(3 * SECOND, 25 * SECOND, 8, 0.5, loadEffect, true, 2, Set.of()));
        brain =
                new WorkloadScheduler(
                        new Deployment(
                                seed,
                                managers,
                                rank,
                                0,
                                groups,
                                List.of(new Deployment.MachineType(8, memoryMb)),
                                rates.stream().map(r -> r / SECOND).toList(),
                                new Deployment.Capabilities(
                                        callOff, secondCopies, true, true, true, 4, 2 * SECOND),
                                new Deployment.Rules(
                                        0.3,
                                        10 * SECOND,
                                        2,
                                        2 * SECOND,
                                        SECOND / 2,
                                        furtherRatio,
                                        1,
                                        10 * SECOND),
                                0.5,
                                notePace,
                                false,
                                false,
                                probePrice,
                                probesTell,
                                pages),
                        this);
        List<Endpoint> entries = new ArrayList<>();
        for (int e = 0; e < engines; e++) {
            entries.add(entry(e, Lifecycle.ACTIVE, 0));
        }
        brain.onEndpointsUpdated(now, new EndpointUpdate(EndpointUpdate.Kind.INITIAL, entries));
        brain.runPendingActions(now);
        return this;
    }

    private TrafficClass group(
            long goal,
            long limit,
            double utility,
            double late,
            Effect effect,
            boolean load,
            int threads,
            Set<Integer> zones) {
        return new TrafficClass(
                goal,
                2,
                limit,
                utility,
                late,
                effect,
                scope,
                6 * SECOND,
                load,
                threads,
                load,
                !load,
                zones,
                Set.of());
    }

    /** Engines 0 and 1 stand in zone and cell 0, 2 and 3 in 1, and so on. */
    Endpoint entry(int engine, Lifecycle standing, long since) {
        return new Endpoint(
                engine, engine + 1, engine / 2, 0, engine / 2, standing, 1, since, coldPart);
    }

    FakePolicyActions change(int engine, Lifecycle standing, long since) {
        brain.onEndpointsUpdated(
                now,
                new EndpointUpdate(
                        EndpointUpdate.Kind.DELTA, List.of(entry(engine, standing, since))));
        brain.runPendingActions(now);
        return this;
    }

    FakePolicyActions take(int batch, int group) {
        return take(batch, group, -1, 0, -1);
    }

    FakePolicyActions take(int batch, int group, int key, int memory, int customer) {
        long limit = group == LOOKUP ? 5 * SECOND : 20 * SECOND;
        brain.onRequest(
                now,
                new IncomingRequest(
                        batch,
                        group,
                        customer,
                        key,
                        now + limit,
                        !estimate ? 0 : group == LOOKUP ? 2_000 : 20_000,
                        memory,
                        batch,
                        false,
                        false));
        brain.runPendingActions(now);
        return this;
    }

    /** Whether it came before or after another of its key can't be told. */
    FakePolicyActions takeOutOfTurn(int batch, int key) {
        brain.onRequest(
                now,
                new IncomingRequest(
                        batch, LOAD, -1, key, now + 20 * SECOND, 20_000, 0, batch, false, true));
        brain.runPendingActions(now);
        return this;
    }

    FakePolicyActions takeReading(int batch, int group, int tables) {
        brain.onRequest(
                now,
                new IncomingRequest(
                        batch, group, -1, -1, now + 20 * SECOND, 2_000, 0, tables, false, false));
        brain.runPendingActions(now);
        return this;
    }

    FakePolicyActions end(int batch, AttemptOutcome outcome) {
        return end(batch, outcome, 2_000);
    }

    /** The batch returns after so long. */
    FakePolicyActions slowly(int batch, long took) {
        return end(batch, AttemptOutcome.SUCCEEDED, took);
    }

    /** The batch's dispatch ends, and its engine may hold it for so long. */
    FakePolicyActions endHeld(int batch, AttemptOutcome outcome, long mayHold) {
        brain.onAttemptResult(
                now,
                new AttemptResult(
                        batch,
                        dispatches.get(batch) - 1,
                        lastEngine.get(batch),
                        outcome,
                        2_000,
                        0,
                        0,
                        false,
                        null,
                        mayHold));
        brain.runPendingActions(now);
        return this;
    }

    private FakePolicyActions end(int batch, AttemptOutcome outcome, long took) {
        int number = dispatches.get(batch) - 1;
        brain.onAttemptResult(
                now,
                new AttemptResult(
                        batch,
                        number,
                        lastEngine.get(batch),
                        outcome,
                        took,
                        0,
                        0,
                        outcome == AttemptOutcome.SUCCEEDED,
                        null,
                        0));
        brain.runPendingActions(now);
        return this;
    }

    FakePolicyActions note(int batch, AttemptProgress.Kind kind, double amount) {
        brain.onAttemptProgress(
                now,
                new AttemptProgress(
                        batch, dispatches.get(batch) - 1, lastEngine.get(batch), kind, amount));
        brain.runPendingActions(now);
        return this;
    }

    /** Lets time pass in beats of 10 ms. */
    FakePolicyActions pass(long time) {
        for (long until = now + time; now < until; ) {
            now += 100;
            brain.onWakeUp(now, 0);
            brain.runPendingActions(now);
        }
        return this;
    }

    int sent(int batch) {
        return dispatches.getOrDefault(batch, 0);
    }

    int on(int batch) {
        return lastEngine.getOrDefault(batch, -1);
    }

    boolean answered(int batch) {
        return acts.contains("pushBack " + batch) || acts.contains("error " + batch);
    }

    @Override
    public void setGrantAndPriority(int batch, int grantMb, int priority) {
        acts.add("provide " + batch + " " + grantMb);
    }

    @Override
    public void startAttempt(int batch, int engine, long within) {
        dispatches.merge(batch, 1, Integer::sum);
        lastEngine.put(batch, engine);
        acts.add("dispatch " + batch);
        acts.add("dispatch to " + engine);
    }

    @Override
    public void cancelAttempt(int batch, int dispatch) {
        acts.add("callOff " + batch);
    }

    @Override
    public void reject(int batch, long comeBack) {
        acts.add("pushBack " + batch);
    }

    @Override
    public void fail(int batch) {
        acts.add("error " + batch);
    }

    @Override
    public void releaseRequest(int batch) {
        acts.add("forget " + batch);
    }

    @Override
    public void releaseKey(int key) {
        acts.add("forgetKey " + key);
    }

    @Override
    public void releaseEngine(int engine) {
        acts.add("forgetEngine " + engine);
    }

    @Override
    public void probeEngine(int engine) {
        acts.add("probe " + engine);
    }

    @Override
    public void subscribeToEndpoints() {
        acts.add("subscribe");
    }

    @Override
    public void scheduleWakeUp(long delay, long token) {
        acts.add("wake");
    }

    @Override
    public void log(String line) {
        acts.add("log " + line);
    }
}
