package firstage.faulttest;

import firstage.emulator.EmulatedCoordinator;
import firstage.emulator.EmulatedEngine;
import firstage.emulator.FaultInjectingProxy;
import firstage.emulator.LoadGenerator;
import firstage.emulator.RealTimeLoop;
import firstage.simulation.FleetPlan;
import firstage.simulation.InvalidPlanException;
import firstage.simulation.RandomStreams;
import firstage.simulation.RuleChecker;
import firstage.simulation.RuleChecker.ClientTry;
import firstage.simulation.Scoreboard;
import firstage.util.Ticks;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.stream.IntStream;

/**
 * One run of a fault test: sets up emulators, proxy and manager processes, generates the plan's
 * traffic, injects its faults and returns the result.
 */
public final class FaultTestRun implements AutoCloseable {
    /**
     * Time by which an answer may be seen after its deadline: the 50 ms that the protocol allows,
     * and the lateness of the emulators' threads.
     */
    private static final long ANSWER_SLACK = Ticks.ofMillis(150);

    /** Longest time from the sending of a statement or an answer until an emulator sees it. */
    private static final long OBSERVATION_DELAY = Ticks.ofMillis(100);

    /** Time after the end of the traffic from which the run may end, once no client is active. */
    private static final long EARLIEST_END = Ticks.ofSeconds(1);

    private static final int START_BATCH_SIZE = 8;
    private static final int CHECK_INTERVAL_MS = 500;

    private final FaultTestSpec spec;
    private final FaultTestExtension extension;
    private final FleetPlan plan;
    private final RandomStreams randomStreams;
    private final ServerSocket portLock;
    private final LoopbackAddresses addresses;
    private final RunRecorder recorder;
    private final RealTimeLoop loop;
    private final RunClock clock;
    private final FaultInjectingProxy proxy;
    private final RuleChecker rules;
    private final ManagerProcesses processes;
    private final NetworkLinks links;
    private final RunObserver observer;
    private final List<EmulatedEngine> engines = new ArrayList<>();
    private final List<EmulatedCoordinator> coordinators = new ArrayList<>();
    private final ExecutorService blockingTasks =
            Executors.newCachedThreadPool(
                    task -> {
                        Thread thread = new Thread(task, "fault-test");
                        thread.setDaemon(true);
                        return thread;
                    });
    private ManagerController managers;
    private LoadGenerator generator;
    private Scoreboard scoreboard;

    private FaultTestRun(FaultTestSpec spec, FaultTestExtension extension) throws IOException {
        this.spec = spec;
        this.extension = extension;
        plan = spec.plan();
        randomStreams = new RandomStreams(spec.seed());
        portLock = LoopbackAddresses.reservePort();
        addresses = new LoopbackAddresses(portLock.getLocalPort());
        Files.createDirectories(spec.folder());
        recorder = new RunRecorder(spec.folder());
        loop = new RealTimeLoop();
        clock = new RunClock(loop);
        proxy = new FaultInjectingProxy(randomStreams.stream("relay", 0));
        rules = new RuleChecker(plan, ANSWER_SLACK, OBSERVATION_DELAY);
        processes =
                new ManagerProcesses(
                        spec.folder(),
                        ManagerProcesses.processListFolder().resolve(addresses.port() + ".held"),
                        ManagerProcesses.command(spec.serveCommand(), spec.jar()),
                        plan.managers().count(),
                        extension::environment);
        links = new NetworkLinks(proxy, plan, addresses);
        observer = new RunObserver(plan, loop, clock, recorder, links);
    }

    /**
     * Checks that a plan can be run as a fault test.
     *
     * @throws InvalidPlanException if not; the message names the line and how to correct the plan
     */
    public static void check(FleetPlan plan) {
        if (!plan.disturbances().isEmpty()) {
            throw new InvalidPlanException(
                    0,
                    "[[trouble]] applies to the fleet model only; write [[fault]] for the faults"
                            + " of a fault test");
        }
        ResultEvaluator.checkExpectations(plan);
    }

    /** Runs a plan to its end; all processes that it started have ended on return. */
    public static FaultTestResult play(FaultTestSpec spec) throws IOException {
        return play(spec, FaultTestExtension.NONE);
    }

    /** Runs a plan to its end, with the extension's clients and faults added to the plan's. */
    public static FaultTestResult play(FaultTestSpec spec, FaultTestExtension extension)
            throws IOException {
        try (FaultTestRun run = new FaultTestRun(spec, extension)) {
            return run.play();
        }
    }

    private FaultTestResult play() throws IOException {
        setUpEmulators();
        spec.progress().accept("starting " + plan.managers().count() + " managers");
        startManagers();
        long end = loop.call(this::begin);
        while (loop.now() < end && !isFinishedEarly()) {
            pause(CHECK_INTERVAL_MS);
            managers.checkProcesses();
            spec.progress()
                    .accept(
                            String.format(
                                    Locale.ROOT,
                                    "%.0f of %.0f s",
                                    clock.elapsed() / 1e4,
                                    plan.length() / 1e4));
        }
        extension.awaitClients();
        double processorSeconds = managers.shutDownAll();
        return loop.call(() -> conclude(processorSeconds));
    }

    private boolean isFinishedEarly() throws IOException {
        return clock.elapsed() > plan.length() + EARLIEST_END && loop.call(generator::isIdle);
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void setUpEmulators() throws IOException {
        for (int e = 0; e < plan.engines().count(); e++) {
            int engine = e;
            engines.add(loop.call(() -> newEngine(engine)));
        }
        links.open(spec.withPeers());
        proxy.start();
        for (int m = 0; m < plan.managers().count(); m++) {
            coordinators.add(new EmulatedCoordinator(addresses.coordinator(m)));
            ManagerConfigWriter.writeConfig(
                    ManagerProcesses.configFile(spec.folder(), m),
                    plan,
                    addresses,
                    m,
                    randomStreams.seed("manager", m));
            if (spec.withPeers()) {
                ManagerConfigWriter.writePeers(
                        ManagerProcesses.peersFile(spec.folder(), m), plan, addresses, m);
            }
        }
    }

    private EmulatedEngine newEngine(int engine) throws IOException {
        return new EmulatedEngine(
                loop,
                plan,
                engine,
                addresses.engine(engine),
                randomStreams,
                rules,
                this::tryById,
                observer);
    }

    private ClientTry tryById(String id) {
        ClientTry own = generator == null ? null : generator.tryById(id);
        return own == null ? extension.tryById(id) : own;
    }

    private void startManagers() throws IOException {
        int count = plan.managers().count();
        for (int from = 0; from < count; from += START_BATCH_SIZE) {
            int to = Math.min(count, from + START_BATCH_SIZE);
            for (int m = from; m < to; m++) {
                processes.start(m, spec.withPeers());
            }
            for (int m = from; m < to; m++) {
                processes.awaitReady(m, addresses.manager(m));
            }
        }
    }

    /** Starts traffic, schedules the faults and returns the latest time of the run's end. */
    private long begin() {
        scoreboard = new Scoreboard(plan, loop.events().now());
        generator =
                new LoadGenerator(
                        loop,
                        plan,
                        randomStreams,
                        rules,
                        scoreboard,
                        IntStream.range(0, plan.managers().count())
                                .mapToObj(addresses::manager)
                                .toList(),
                        observer);
        managers =
                new ManagerController(
                        spec,
                        addresses,
                        loop,
                        clock,
                        recorder,
                        processes,
                        generator,
                        extension,
                        blockingTasks);
        clock.start(loop.events().now());
        recorder.writeEvent(
                0, "begins", "plan", plan.name(), "seed", spec.seed(), "peers", spec.withPeers());
        generator.start();
        EngineFaults engineFaults = newEngineFaults();
        new FaultInjector(plan, loop, clock, recorder, managers, engineFaults, links, generator)
                .scheduleAll(randomStreams);
        extension.begin(new ExtendedTest(engineFaults));
        long longestTimeout =
                plan.trafficClasses().stream()
                        .mapToLong(FleetPlan.TrafficClassPlan::timeout)
                        .max()
                        .orElse(0);
        return clock.startedAt() + plan.length() + longestTimeout + ANSWER_SLACK;
    }

    /** This run as its extension sees it. */
    private final class ExtendedTest implements FaultTestExtension.RunningTest {
        private final EngineFaults engineFaults;

        private ExtendedTest(EngineFaults engineFaults) {
            this.engineFaults = engineFaults;
        }

        @Override
        public FleetPlan plan() {
            return plan;
        }

        @Override
        public long seed() {
            return spec.seed();
        }

        @Override
        public Path folder() {
            return spec.folder();
        }

        @Override
        public RealTimeLoop loop() {
            return loop;
        }

        @Override
        public RuleChecker rules() {
            return rules;
        }

        @Override
        public long elapsed() {
            return clock.elapsed();
        }

        @Override
        public InetSocketAddress managerAddress(int manager) {
            return addresses.manager(manager);
        }

        @Override
        public void signal(int manager, String name) {
            managers.signal(manager, name);
        }

        @Override
        public void pause(int manager, long ticks) {
            managers.pause(manager, ticks);
        }

        @Override
        public void resetConnections(int engine) {
            links.resetConnections(engine);
        }

        @Override
        public void silenceCoordinator(int manager, long ticks) {
            engineFaults.silenceCoordinator(manager, ticks);
        }

        @Override
        public void record(String event, Object... fields) {
            recorder.writeEvent(clock.elapsed(), event, fields);
        }
    }

    private EngineFaults newEngineFaults() {
        return new EngineFaults(
                plan, addresses, loop, clock, recorder, rules, engines, coordinators, links);
    }

    private FaultTestResult conclude(double processorSeconds) throws IOException {
        List<String> violations = new ArrayList<>(rules.violations());
        violations.addAll(managers.unexpectedEnds());
        violations.addAll(extension.violations());
        FaultTestResult result =
                new ResultEvaluator(plan, recorder, scoreboard, loop, proxy)
                        .evaluate(processorSeconds, violations);
        recorder.writeEvent(
                clock.elapsed(),
                "ends",
                "broken",
                violations.size(),
                "missed",
                result.missedExpectations().size());
        recorder.writeTables(
                plan.name() + ", seed " + spec.seed() + (spec.withPeers() ? ", peers" : ""),
                plan.faults().stream().map(this::interval).toList(),
                plan.zones());
        return result;
    }

    /** Returns the interval during which the charts show a fault, at least a second. */
    private RunRecorder.FaultInterval interval(FleetPlan.Fault fault) {
        long end =
                fault.interval() > 0
                        ? plan.length()
                        : fault.at() + Math.max(Ticks.ofSeconds(1), fault.length());
        return new RunRecorder.FaultInterval(fault.at() / 1e4, end / 1e4);
    }

    @Override
    public void close() throws IOException {
        processes.close();
        if (generator != null) {
            generator.close();
        }
        for (EmulatedCoordinator coordinator : coordinators) {
            coordinator.close();
        }
        proxy.close();
        for (EmulatedEngine engine : engines) {
            engine.close();
        }
        blockingTasks.shutdownNow();
        loop.close();
        recorder.close();
        portLock.close();
    }
}
