package firstage.faulttest;

import firstage.emulator.EmulatedEngine;
import firstage.emulator.LoadGenerator;
import firstage.emulator.RealTimeLoop;
import firstage.simulation.FleetPlan;
import firstage.simulation.GeneratedRequest;
import firstage.simulation.RuleChecker.ClientTry;
import firstage.util.Ticks;

/**
 * Records what clients and engines observe, as events and as sums by second. Runs on the loop's
 * thread.
 */
final class RunObserver implements LoadGenerator.Observer, EmulatedEngine.Observer {
    /** Longest time after a link's repair until data that the fault held back has arrived. */
    private static final long DELAYED_BY_LINK = Ticks.ofSeconds(2);

    private final FleetPlan plan;
    private final RealTimeLoop loop;
    private final RunClock clock;
    private final RunRecorder recorder;
    private final NetworkLinks links;

    RunObserver(
            FleetPlan plan,
            RealTimeLoop loop,
            RunClock clock,
            RunRecorder recorder,
            NetworkLinks links) {
        this.plan = plan;
        this.loop = loop;
        this.clock = clock;
        this.recorder = recorder;
        this.links = links;
    }

    @Override
    public void onRequest(GeneratedRequest request, int manager) {
        double priorityWeight = plan.trafficClasses().get(request.trafficClass).priorityWeight();
        recorder.add(clock.elapsed(), "asked " + zoneName(manager), priorityWeight);
        recorder.add(clock.elapsed(), "asked", priorityWeight);
        recorder.writeEvent(
                clock.elapsed(),
                "asked",
                "batch",
                request.id,
                "group",
                plan.trafficClasses().get(request.trafficClass).name(),
                "manager",
                manager,
                "key",
                request.orderingKey);
    }

    @Override
    public void onTry(ClientTry clientTry) {
        recorder.add(clock.elapsed(), "tries", 1);
        recorder.add(clock.elapsed(), "client retries", clientTry.request.tries > 1 ? 1 : 0);
        recorder.writeEvent(
                clock.elapsed(),
                "tried",
                "batch",
                clientTry.request.id,
                "manager",
                clientTry.manager,
                "try",
                clientTry.request.tries);
    }

    @Override
    public void onTryEnded(ClientTry clientTry, LoadGenerator.TryOutcome outcome) {
        recorder.add(clock.elapsed(), outcome.recordedName(), 1);
        recorder.writeEvent(
                clock.elapsed(),
                outcome.recordedName(),
                "batch",
                clientTry.request.id,
                "manager",
                clientTry.manager);
        if (outcome == LoadGenerator.TryOutcome.SUCCEEDED && !clientTry.request.succeeded) {
            addEarned(clientTry);
        }
    }

    /** Adds the earned share of a request's weight to the second in which the request arrived. */
    private void addEarned(ClientTry clientTry) {
        FleetPlan.TrafficClassPlan trafficClass =
                plan.trafficClasses().get(clientTry.request.trafficClass);
        boolean inTime =
                loop.now() - clientTry.request.firstRequestedAt
                        <= trafficClass.latencyObjective()
                                + trafficClass.latencyObjectivePerWork()
                                        * clientTry.request.work
                                        / trafficClass.threads();
        long requestedAt = clientTry.request.firstRequestedAt - clock.startedAt();
        double earned =
                trafficClass.priorityWeight() * (inTime ? 1 : trafficClass.lateValueShare());
        recorder.add(requestedAt, "earned " + zoneName(clientTry.manager), earned);
        recorder.add(requestedAt, "earned", earned);
    }

    private String zoneName(int manager) {
        return plan.zones().get(plan.zoneOf(manager));
    }

    @Override
    public void onAttempt(ClientTry clientTry, int engine, boolean retry) {
        recorder.add(clock.elapsed(), retry ? "further dispatches" : "first dispatches", 1);
        recorder.writeEvent(
                clock.elapsed(),
                "dispatched",
                "batch",
                clientTry.request.id,
                "manager",
                clientTry.manager,
                "engine",
                engine,
                "further",
                retry ? 1 : 0);
    }

    @Override
    public boolean mayBeDelayed(int manager, int engine) {
        return links.toEngineFaultyWithin(manager, engine, DELAYED_BY_LINK);
    }

    @Override
    public long recentLateness() {
        return loop.recentLateness() + links.recentLateness();
    }

    @Override
    public void onProbe(int engine) {
        recorder.add(clock.elapsed(), "probes", 1);
    }
}
