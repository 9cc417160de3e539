package firstage.simulation;

import firstage.policy.api.EndpointUpdate.Lifecycle;
import firstage.policy.api.TrafficClass.Effect;
import firstage.simulation.FleetPlan.Disturbance;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * A simulated run of a fleet. The same plan, policy and seed give the same result; two policies
 * with the same seed get the same traffic, engines and faults.
 */
public final class FleetSimulation implements ManagerModel.ClientListener {
    /** Time at which a run starts, in ticks; above 0, which means "long ago" in the models. */
    private static final long START = 1_000_000;

    /** Time from the last possible deadline to the end of a run, for late answers: 1 s. */
    private static final long COOL_DOWN = 10_000;

    /** Time for which an engine drains before it is replaced: 3 s. */
    private static final long DRAIN_DURATION = 30_000;

    /** Time from the end of a drained engine to the start of its replacement: 2 s. */
    private static final long DOWN_DURATION = 20_000;

    /** Factor by which the endpoint list reports a silent engine later than a dead one. */
    private static final int SILENCE_DETECTION_FACTOR = 3;

    private final FleetPlan plan;
    private final EventQueue events = new EventQueue(START);
    private final RandomStreams randomStreams;
    private final RuleChecker rules;
    private final Scoreboard scoreboard;
    private final TrafficSource traffic;
    private final ClientBehavior clients;
    private final List<EngineModel> engines = new ArrayList<>();
    private final List<ManagerModel> managers = new ArrayList<>();

    /** Managers of each cell; a single list of all managers where the plan has no cells. */
    private final List<List<ManagerModel>> managersByCell;

    /** Number of announcements of the endpoint list about each engine. */
    private final int[] endpointVersions;

    /** Active disturbances that make requests more expensive. */
    private final List<Disturbance> expensiveWork = new ArrayList<>();

    private double trafficFactor = 1;
    private long sentToFaultyEngines;
    private double faultyEngineSeconds;

    private FleetSimulation(FleetPlan plan, PolicyUnderTest policyUnderTest, long seed) {
        this.plan = plan;
        randomStreams = new RandomStreams(seed);
        rules = new RuleChecker(plan);
        scoreboard = new Scoreboard(plan, START);
        traffic = new TrafficSource(plan, randomStreams);
        clients = new ClientBehavior(plan, randomStreams.stream("clients", 0));
        for (int engine = 0; engine < plan.engines().count(); engine++) {
            engines.add(new EngineModel(engine, plan, events, randomStreams, rules));
        }
        endpointVersions = new int[engines.size()];
        int count = plan.managers().count();
        for (int m = 0; m < count; m++) {
            managers.add(
                    new ManagerModel(
                            m, plan, policyUnderTest, events, randomStreams, rules, engines, this));
        }
        managersByCell =
                List.copyOf(
                        IntStream.range(0, count)
                                .boxed()
                                .collect(
                                        Collectors.groupingBy(
                                                m ->
                                                        plan.managers().cellSize() == 0
                                                                ? 0
                                                                : plan.cellOf(m),
                                                TreeMap::new,
                                                Collectors.mapping(
                                                        managers::get, Collectors.toList())))
                                .values());
    }

    /** Simulates the plan once with this policy and seed. */
    public static SimulationResult run(FleetPlan plan, PolicyUnderTest policyUnderTest, long seed) {
        return new FleetSimulation(plan, policyUnderTest, seed).run(policyUnderTest, seed);
    }

    private SimulationResult run(PolicyUnderTest policyUnderTest, long seed) {
        managers.forEach(ManagerModel::start);
        if (policyUnderTest.coordinationDefects() != null) {
            gossip(randomStreams.stream("gossip", 0));
        }
        int streamIndex = 0;
        for (Disturbance disturbance : plan.disturbances()) {
            RandomGenerator random = randomStreams.stream("trouble", streamIndex++);
            events.schedule(disturbance.at(), () -> inject(disturbance, random));
        }
        for (FleetPlan.Fault fault : plan.faults()) {
            if (!fault.isSimulatable()) {
                throw new InvalidPlanException(
                        fault.line(),
                        "fault: the simulation does not support "
                                + fault.kind().name().toLowerCase(Locale.ROOT)
                                + "; run this plan on processes with fault-test run");
            }
            RandomGenerator random = randomStreams.stream("fault", streamIndex++);
            events.schedule(fault.at(), () -> inject(fault, random));
        }
        events.schedule(traffic.nextArrival(START, START, 1) - START, this::onArrival);
        long longestTimeout =
                plan.trafficClasses().stream()
                        .mapToLong(FleetPlan.TrafficClassPlan::timeout)
                        .max()
                        .orElse(0);
        long executedEvents = events.runUntil(START + plan.length() + longestTimeout + COOL_DOWN);
        Map<String, Double> figures = scoreboard.figures();
        figures.put(
                "to a sick engine a s",
                faultyEngineSeconds > 0 ? sentToFaultyEngines / faultyEngineSeconds : 0);
        return new SimulationResult(
                policyUnderTest.name(),
                seed,
                figures,
                rules.violations(),
                scoreboard.requestCount(),
                executedEvents);
    }

    /**
     * Updates each manager's view of its cell, exchanges digests between it and a random other
     * manager of the cell, as the probes of the membership protocol and their answers do, and
     * schedules the next round.
     */
    private void gossip(RandomGenerator random) {
        for (List<ManagerModel> cell : managersByCell) {
            List<String> upNames =
                    cell.stream().filter(ManagerModel::up).map(ManagerModel::name).toList();
            for (int m = 0; m < cell.size() && cell.size() > 1; m++) {
                ManagerModel other =
                        cell.get((m + 1 + random.nextInt(cell.size() - 1)) % cell.size());
                cell.get(m).onViewChanged(upNames);
                cell.get(m).sendDigest(other);
                other.sendDigest(cell.get(m));
            }
        }
        if (events.now() < START + plan.length()) {
            events.schedule(ManagerModel.GOSSIP_PERIOD, () -> gossip(random));
        }
    }

    @Override
    public void onSentToFaultyEngine() {
        sentToFaultyEngines++;
    }

    // Clients.

    private void onArrival() {
        long now = events.now();
        if (now >= START + plan.length()) {
            return;
        }
        GeneratedRequest request = traffic.draw(now, expensiveWork);
        scoreboard.onRequested(request);
        sendToManager(request);
        events.schedule(traffic.nextArrival(now, START, trafficFactor) - now, this::onArrival);
    }

    private void sendToManager(GeneratedRequest request) {
        long now = events.now();
        request.tries++;
        ManagerModel manager = managers.get(clients.managerFor(request));
        long tryTimeout =
                Math.round(
                        (request.deadline - request.firstRequestedAt)
                                * plan.clients().tryTimeoutShare());
        if (!manager.up()) {
            retryLater(request, 0, true);
        } else {
            manager.onRequest(request, Math.min(request.deadline, now + Math.max(1, tryTimeout)));
        }
    }

    private void retryLater(GeneratedRequest request, long retryAfter, boolean safeToRetry) {
        boolean retryAllowed =
                safeToRetry
                        || plan.trafficClasses().get(request.trafficClass).effect()
                                != Effect.NON_IDEMPOTENT;
        long delay = clients.retryDelay(request, events.now(), retryAfter, retryAllowed);
        if (delay >= 0) {
            events.schedule(delay, () -> sendToManager(request));
        }
    }

    @Override
    public void onSucceeded(GeneratedRequest request) {
        if (!request.succeeded) {
            request.succeeded = true;
            scoreboard.onSucceeded(events.now(), request);
        }
    }

    @Override
    public void onRejected(GeneratedRequest request, long retryAfter) {
        scoreboard.onRejected();
        retryLater(request, retryAfter, true);
    }

    @Override
    public void onFailed(GeneratedRequest request) {
        scoreboard.onFailed();
        retryLater(request, 0, false);
    }

    // Faults.

    private List<Integer> drawAffected(int count, double share, RandomGenerator random) {
        List<Integer> indices = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            indices.add(i);
        }
        Collections.shuffle(indices, new Random(random.nextLong()));
        return indices.subList(0, (int) Math.min(count, Math.max(1, Math.round(count * share))));
    }

    private void inject(Disturbance disturbance, RandomGenerator random) {
        switch (disturbance.kind()) {
            case CRASH ->
                    drawAffected(engines.size(), disturbance.affectedShare(), random)
                            .forEach(
                                    engine ->
                                            takeDown(
                                                    engine,
                                                    EngineModel.State.DOWN,
                                                    disturbance.length() / 2
                                                            + random.nextLong(
                                                                    disturbance.length() / 2 + 1),
                                                    1,
                                                    random));
            case SILENCE ->
                    drawAffected(engines.size(), disturbance.affectedShare(), random)
                            .forEach(
                                    engine ->
                                            takeDown(
                                                    engine,
                                                    EngineModel.State.SILENT,
                                                    disturbance.length() / 2
                                                            + random.nextLong(
                                                                    disturbance.length() / 2 + 1),
                                                    SILENCE_DETECTION_FACTOR,
                                                    random));
            case HANG ->
                    drawAffected(engines.size(), disturbance.affectedShare(), random)
                            .forEach(
                                    engine -> {
                                        engines.get(engine).setState(EngineModel.State.HANGING);
                                        events.schedule(
                                                disturbance.length(),
                                                () ->
                                                        engines.get(engine)
                                                                .setState(EngineModel.State.UP));
                                    });
            case RELEASE -> rollingReplace(disturbance, random);
            case RESTART ->
                    drawAffected(managers.size(), disturbance.affectedShare(), random)
                            .forEach(
                                    m ->
                                            events.schedule(
                                                    disturbance.length() > 0
                                                            ? random.nextLong(disturbance.length())
                                                            : 0,
                                                    () -> {
                                                        managers.get(m).kill();
                                                        events.schedule(
                                                                plan.managers()
                                                                        .restartTime()
                                                                        .drawTime(random),
                                                                () -> managers.get(m).start());
                                                    }));
            case BURST -> {
                trafficFactor = disturbance.size();
                events.schedule(disturbance.length(), () -> trafficFactor = 1);
            }
            case EXPENSIVE, EXPENSIVE_UNSEEN -> {
                expensiveWork.add(disturbance);
                events.schedule(disturbance.length(), () -> expensiveWork.remove(disturbance));
            }
            case SLOW -> {
                engines.forEach(engine -> engine.setSlowdown(disturbance.size()));
                events.schedule(
                        disturbance.length(),
                        () -> engines.forEach(engine -> engine.setSlowdown(1)));
            }
            case LATE_REPORTS -> {
                managers.forEach(
                        manager ->
                                manager.setLoadReportDelay(
                                        Math.round(disturbance.size() * 10_000)));
                events.schedule(
                        disturbance.length(),
                        () -> managers.forEach(manager -> manager.setLoadReportDelay(0)));
            }
            case COLD ->
                    drawAffected(engines.size(), disturbance.affectedShare(), random)
                            .forEach(
                                    engine -> {
                                        engines.get(engine).makeCold();
                                        announce(engine, Lifecycle.ACTIVE, events.now(), 1, random);
                                    });
        }
    }

    private void inject(FleetPlan.Fault fault, RandomGenerator random) {
        List<Integer> targets =
                fault.source() == null ? List.of() : fault.source().select(plan, random);
        switch (fault.kind()) {
            case DIE ->
                    targets.forEach(
                            engine ->
                                    takeDown(
                                            engine,
                                            EngineModel.State.DOWN,
                                            fault.length(),
                                            1,
                                            random));
            case SILENCE ->
                    targets.forEach(
                            engine ->
                                    takeDown(
                                            engine,
                                            EngineModel.State.SILENT,
                                            fault.length(),
                                            SILENCE_DETECTION_FACTOR,
                                            random));
            case HANG ->
                    targets.forEach(
                            engine -> {
                                faultyEngineSeconds += fault.length() / 1e4;
                                engines.get(engine).setState(EngineModel.State.HANGING);
                                events.schedule(
                                        fault.length(),
                                        () -> engines.get(engine).setState(EngineModel.State.UP));
                            });
            case KILL ->
                    targets.forEach(
                            m -> {
                                managers.get(m).kill();
                                events.schedule(
                                        plan.managers().restartTime().drawTime(random),
                                        () -> managers.get(m).start());
                            });
            default -> {
                trafficFactor = fault.size();
                events.schedule(fault.length(), () -> trafficFactor = 1);
            }
        }
    }

    /**
     * Puts an engine into this state for {@code length}, then starts it again. Announces both
     * changes, the first one with {@code delayFactor} times the usual discovery delay.
     */
    private void takeDown(
            int engine,
            EngineModel.State state,
            long length,
            int delayFactor,
            RandomGenerator random) {
        faultyEngineSeconds += length / 1e4;
        engines.get(engine).setState(state);
        announce(engine, Lifecycle.GONE, 0, delayFactor, random);
        events.schedule(
                length,
                () -> {
                    engines.get(engine).setState(EngineModel.State.UP);
                    announce(engine, Lifecycle.ACTIVE, events.now(), 1, random);
                });
    }

    /**
     * Announces an engine's lifecycle to each manager after a discovery delay drawn for the manager
     * and multiplied by {@code delayFactor}. With a factor above 1 an announcement is dropped where
     * a newer one was made in the meantime.
     */
    private void announce(
            int engine,
            Lifecycle lifecycle,
            long startedAt,
            int delayFactor,
            RandomGenerator random) {
        int version = ++endpointVersions[engine];
        for (ManagerModel manager : managers) {
            events.schedule(
                    delayFactor * plan.managers().discoveryDelay().drawTime(random),
                    () -> {
                        if (endpointVersions[engine] == version || delayFactor == 1) {
                            manager.onEndpointUpdate(engine, lifecycle, startedAt);
                        }
                    });
        }
    }

    /** Drains and replaces the affected engines in groups, spread over the disturbance. */
    private void rollingReplace(Disturbance disturbance, RandomGenerator random) {
        List<Integer> affected = drawAffected(engines.size(), disturbance.affectedShare(), random);
        int groupSize = (int) Math.max(1, Math.round(engines.size() * disturbance.extra()));
        int groupCount = (affected.size() + groupSize - 1) / groupSize;
        for (int i = 0; i < affected.size(); i++) {
            int engine = affected.get(i);
            events.schedule(
                    i / groupSize * (disturbance.length() / Math.max(1, groupCount)),
                    () -> {
                        engines.get(engine).setState(EngineModel.State.DRAINING);
                        announce(engine, Lifecycle.DRAINING, 0, 1, random);
                        events.schedule(
                                DRAIN_DURATION,
                                () ->
                                        takeDown(
                                                engine,
                                                EngineModel.State.DOWN,
                                                DOWN_DURATION,
                                                1,
                                                random));
                    });
        }
    }
}
