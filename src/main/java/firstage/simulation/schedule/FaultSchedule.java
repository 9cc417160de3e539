package firstage.simulation.schedule;

import firstage.policy.api.Deployment;
import firstage.policy.api.EndpointUpdate;
import firstage.policy.api.TrafficClass;
import firstage.policy.api.TrafficClass.Effect;
import firstage.policy.api.TrafficClass.Scope;
import firstage.simulation.EventQueue;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * A seeded fault schedule in virtual time: one manager at a time, one to three engines, 10 to 18
 * requests, most of them of two ordering keys, and faults of the manager, engines and connections.
 * The same seed gives the same schedule. Requests of one key keep the minimum distance that clients
 * guarantee: 60 ms, or 250 ms after a request on a new connection. Times are ticks.
 */
public final class FaultSchedule {
    private static final long SECOND = 10_000;
    private static final long START = 100 * SECOND;
    private static final long KEY_GAP = 600;
    private static final long KEY_GAP_NEW_CONNECTION = 2_500;
    private static final long MAX_DEADLINE = 5 * SECOND;
    private static final int KEY_COUNT = 2;
    private static final double[] FAULT_PROBABILITIES = {0, 0.02, 0.1, 0.3};

    /** Ways in which an engine is listed again while statements run there, or replaced. */
    private enum Relisting {
        LATER_START(false, Optional.empty(), true),
        GONE_THEN_LATER_START(false, Optional.of(EndpointUpdate.Lifecycle.GONE), true),
        DRAINING_THEN_LATER_START(false, Optional.of(EndpointUpdate.Lifecycle.DRAINING), true),
        REPLACED_UNTOLD(true, Optional.empty(), false),
        REPLACED(true, Optional.empty(), true),
        REPLACED_AFTER_GONE(true, Optional.of(EndpointUpdate.Lifecycle.GONE), true);

        private final boolean replacesMachine;
        private final Optional<EndpointUpdate.Lifecycle> firstState;
        private final boolean listsAgain;

        Relisting(
                boolean replacesMachine,
                Optional<EndpointUpdate.Lifecycle> firstState,
                boolean listsAgain) {
            this.replacesMachine = replacesMachine;
            this.firstState = firstState;
            this.listsAgain = listsAgain;
        }
    }

    private FaultSchedule() {}

    /**
     * Runs the schedule of a seed.
     *
     * @return descriptions of the violations; empty if all rules were kept and the manager released
     *     all its state by the end
     */
    public static List<String> run(long seed, InjectedDefect defect) {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        EventQueue events = new EventQueue(START);
        int engineCount = 1 + random.nextInt(3);
        Deployment deployment = deployment(random);
        ScheduleRuleChecker ruleChecker =
                new ScheduleRuleChecker(deployment.capabilities().hedging());
        List<SimulatedEngine> engines = new ArrayList<>();
        for (int index = 0; index < engineCount; index++) {
            engines.add(new SimulatedEngine(events, ruleChecker, random));
        }
        double faultProbability = FAULT_PROBABILITIES[random.nextInt(FAULT_PROBABILITIES.length)];
        boolean stallsBetweenReads = random.nextBoolean();
        Supplier<SimulatedManager> startManager =
                () -> {
                    SimulatedManager started =
                            new SimulatedManager(
                                    events,
                                    random,
                                    ruleChecker,
                                    defect,
                                    deployment,
                                    engines,
                                    faultProbability,
                                    stallsBetweenReads);
                    started.setInitialEndpoints(engineCount);
                    return started;
                };
        SimulatedManager[] manager = {startManager.get()};
        scheduleTraffic(random, events, ruleChecker, manager);
        scheduleFaults(random, events, manager, engines);
        scheduleRelistings(seed, events, manager, engines);
        scheduleManagerEvents(random, events, ruleChecker, manager, startManager);
        events.runUntil(START + 20 * SECOND);
        ruleChecker.checkAllAnswered(events.now());
        manager[0].checkAllReleased();
        return ruleChecker.violations();
    }

    /**
     * Schedules at most one event of the manager: a kill and restart, a shutdown, or a snapshot of
     * the endpoint list.
     */
    private static void scheduleManagerEvents(
            RandomGenerator random,
            EventQueue events,
            ScheduleRuleChecker ruleChecker,
            SimulatedManager[] manager,
            Supplier<SimulatedManager> startManager) {
        long offset = random.nextLong(4 * SECOND);
        switch (random.nextInt(5)) {
            case 0 ->
                    events.schedule(
                            offset,
                            () -> {
                                manager[0].kill();
                                ruleChecker.onManagerKilled();
                                manager[0] = startManager.get();
                                manager[0].thread().pause(random.nextLong(SECOND));
                            });
            case 1 -> events.schedule(offset, () -> manager[0].shutDown(events.now() + 3 * SECOND));
            case 2 -> events.schedule(offset, () -> manager[0].onEndpointSnapshot());
            default -> {}
        }
    }

    private static Deployment deployment(RandomGenerator random) {
        boolean hedging = random.nextBoolean();
        // Requests without an ordering key are of class 0; all requests of one key are of class 1
        // or all of class 2. Only class 1 is non-idempotent.
        List<TrafficClass> trafficClasses =
                List.of(
                        trafficClass(Effect.IDEMPOTENT, false, 1),
                        trafficClass(Effect.NON_IDEMPOTENT, true, 2),
                        trafficClass(Effect.IDEMPOTENT, true, 1));
        return new Deployment(
                random.nextLong(),
                1,
                0,
                0,
                trafficClasses,
                List.of(new Deployment.MachineType(8, 16_000)),
                List.of(),
                new Deployment.Capabilities(
                        random.nextBoolean(), hedging, true, true, true, 4, 2 * SECOND),
                new Deployment.Rules(
                        0, 0, 0, 2 * SECOND, random.nextBoolean() ? 0 : SECOND / 2, -1, 0, SECOND),
                0.5,
                SECOND / 2,
                false,
                false,
                -1,
                true,
                false);
    }

    private static TrafficClass trafficClass(Effect effect, boolean keyed, int threads) {
        return new TrafficClass(
                2 * SECOND,
                2,
                MAX_DEADLINE,
                keyed ? 8 : 1,
                0.5,
                effect,
                Scope.ALL,
                6 * SECOND,
                keyed,
                threads,
                false,
                false,
                Set.of(),
                Set.of());
    }

    private static void scheduleTraffic(
            RandomGenerator random,
            EventQueue events,
            ScheduleRuleChecker ruleChecker,
            SimulatedManager[] manager) {
        int requestId = 0;
        for (int orderingKey = 0; orderingKey < KEY_COUNT; orderingKey++) {
            long offset = random.nextLong(SECOND);
            int requestCount = 3 + random.nextInt(5);
            int trafficClass = 1 + random.nextInt(2);
            for (int i = 0; i < requestCount; i++) {
                boolean newConnection = random.nextInt(3) == 0;
                scheduleRequest(
                        random,
                        events,
                        ruleChecker,
                        manager,
                        requestId++,
                        trafficClass,
                        orderingKey,
                        offset,
                        newConnection);
                long gap = newConnection ? KEY_GAP_NEW_CONNECTION : KEY_GAP;
                offset += random.nextBoolean() ? gap : gap + random.nextLong(SECOND / 2);
            }
        }
        for (int i = 0; i < 4; i++) {
            scheduleRequest(
                    random,
                    events,
                    ruleChecker,
                    manager,
                    requestId++,
                    0,
                    -1,
                    random.nextLong(4 * SECOND),
                    random.nextBoolean());
        }
    }

    private static void scheduleRequest(
            RandomGenerator random,
            EventQueue events,
            ScheduleRuleChecker ruleChecker,
            SimulatedManager[] manager,
            int requestId,
            int trafficClass,
            int orderingKey,
            long offset,
            boolean newConnection) {
        long deadline = START + offset + SECOND / 2 + random.nextLong(MAX_DEADLINE);
        long runTime = 50 + random.nextLong(random.nextInt(4) == 0 ? SECOND * 3 : SECOND / 4);
        SimulatedManager.SimulatedRequest request =
                new SimulatedManager.SimulatedRequest(
                        requestId, trafficClass, orderingKey, deadline, runTime);
        events.schedule(
                offset,
                () -> {
                    ruleChecker.onArrived(
                            events.now(), requestId, orderingKey, trafficClass == 1, deadline);
                    manager[0].onRequestReceived(request, newConnection);
                });
        if (random.nextInt(10) == 0) {
            events.schedule(
                    offset + random.nextLong(SECOND), () -> manager[0].onClientQuit(request));
        }
    }

    /**
     * Schedules, in a third of the schedules, entries of the endpoint list that name engines again,
     * and machines that are cut off and replaced. Drawn from a stream of their own, so that the
     * other schedules stay as they are.
     */
    private static void scheduleRelistings(
            long seed,
            EventQueue events,
            SimulatedManager[] manager,
            List<SimulatedEngine> engines) {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(~seed);
        if (random.nextInt(3) > 0) {
            return;
        }
        for (int index = 0; index < engines.size(); index++) {
            int engineIndex = index;
            Relisting[] ways = Relisting.values();
            Relisting way = ways[random.nextInt(ways.length)];
            long offset = random.nextLong(4 * SECOND);
            if (way.replacesMachine) {
                events.schedule(offset, engines.get(index)::replaceProcess);
            }
            long toldAt = offset + random.nextLong(SECOND);
            way.firstState.ifPresent(
                    state ->
                            events.schedule(
                                    toldAt,
                                    () -> manager[0].onEndpointChanged(engineIndex, state)));
            if (way.listsAgain) {
                events.schedule(
                        toldAt + (way.firstState.isPresent() ? random.nextLong(2 * SECOND) : 0),
                        () -> manager[0].onEndpointListedAgain(engineIndex));
            }
        }
    }

    private static void scheduleFaults(
            RandomGenerator random,
            EventQueue events,
            SimulatedManager[] manager,
            List<SimulatedEngine> engines) {
        int pauseCount = random.nextInt(4);
        for (int i = 0; i < pauseCount; i++) {
            events.schedule(
                    random.nextLong(4 * SECOND),
                    () -> manager[0].thread().pause(500 + random.nextLong(SECOND)));
        }
        for (int index = 0; index < engines.size(); index++) {
            int engineIndex = index;
            SimulatedEngine engine = engines.get(index);
            long offset = random.nextLong(4 * SECOND);
            switch (random.nextInt(6)) {
                case 0 -> {
                    events.schedule(
                            offset,
                            () -> engine.setAvailability(SimulatedEngine.Availability.DOWN));
                    events.schedule(
                            offset + random.nextLong(2 * SECOND),
                            () -> engine.setAvailability(SimulatedEngine.Availability.UP));
                }
                case 1 -> {
                    events.schedule(
                            offset,
                            () ->
                                    engine.setAvailability(
                                            SimulatedEngine.Availability.UNRESPONSIVE));
                    events.schedule(
                            offset + random.nextLong(4 * SECOND),
                            () -> engine.setAvailability(SimulatedEngine.Availability.UP));
                }
                case 2 -> {
                    events.schedule(
                            offset,
                            () -> engine.setAvailability(SimulatedEngine.Availability.DRAINING));
                    events.schedule(
                            offset + random.nextLong(SECOND),
                            () ->
                                    manager[0].onEndpointChanged(
                                            engineIndex, EndpointUpdate.Lifecycle.DRAINING));
                }
                default -> {}
            }
        }
    }
}
