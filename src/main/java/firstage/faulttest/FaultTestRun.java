package firstage.faulttest;

import firstage.emulator.EmulatedCoordinator;
import firstage.emulator.EmulatedEngine;
import firstage.emulator.FaultInjectingProxy;
import firstage.emulator.LinkFaults;
import firstage.emulator.LoadGenerator;
import firstage.emulator.RealTimeLoop;
import firstage.policy.api.EndpointUpdate.Lifecycle;
import firstage.simulation.EngineModel;
import firstage.simulation.FleetPlan;
import firstage.simulation.FleetPlan.Fault;
import firstage.simulation.InvalidPlanException;
import firstage.simulation.RandomStreams;
import firstage.simulation.RuleChecker;
import firstage.simulation.RuleChecker.ClientTry;
import firstage.simulation.Scoreboard;
import firstage.simulation.TrueRequest;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import java.util.random.RandomGenerator;

/**
 * One run: processes, stand-ins and ways set up, the plan's faults played, what came of it told.
 */
public final class FaultTestRun
        implements AutoCloseable, LoadGenerator.Witness, EmulatedEngine.Witness {
    /**
     * The page's 50 ms, and what the stand-ins' own threads may be late; tenths of a millisecond.
     */
    private static final long SLACK = 1_500;

    /** A statement is seen so much later than it was sent, an answer than it was given. */
    private static final long SEEN_LATER = 1_000;

    /** What a way kept back comes so soon after it is mended; tenths of a millisecond. */
    private static final long HELD_BACK = 20_000;

    private static final int AT_ONCE = 8;
    private static final double VOID_99TH_MS = 25;
    private static final int DRAINED_DOWN = 10_000;
    private static final int SILENCE_LATER = 3;
    private static final long ENDS_WITHIN_MS = 8_000;
    private static final double QUIET = 0.9;
    private static final List<String> OWN =
            List.of(
                    "further a first",
                    "retries a batch",
                    "probes an engine and s",
                    "lost",
                    "late",
                    "quiet after s",
                    "processor s a manager",
                    "late 99th ms",
                    "late most ms");

    /**
     * What is to be played. {@code jar}: of the program; {@code peers}: managers are told of each
     * other.
     */
    public record Order(
            FleetPlan plan,
            long seed,
            Path folder,
            Path jar,
            String run,
            boolean peers,
            Consumer<String> progress) {}

    /** What came of it. */
    public record Result(
            Map<String, Double> figures, List<String> broken, List<String> missed, String isVoid) {
        /**
         * kept, broken, missed or void: a machine without time proves nothing, least of all that
         * all was kept.
         */
        public String verdict() {
            return isVoid != null
                    ? "void"
                    : !broken.isEmpty() ? "broken" : !missed.isEmpty() ? "missed" : "kept";
        }
    }

    private final Order order;
    private final FleetPlan plan;
    private final RandomStreams streams;
    private final ServerSocket lock;
    private final LoopbackAddresses at;
    private final RealTimeLoop stage;
    private final FaultInjectingProxy relay;
    private final RuleChecker rules;
    private final ManagerProcesses managers;
    private final RunRecorder recording;
    private final List<EmulatedEngine> engines = new ArrayList<>();
    private final List<EmulatedCoordinator> coordinators = new ArrayList<>();
    private final FaultInjectingProxy.Door[][] doors;
    private final LinkFaults[][] toEngine;
    private final LinkFaults[][] fromEngine;
    private final LinkFaults[][] toPeer;
    private final boolean[] meant;
    private final ExecutorService helpers =
            Executors.newCachedThreadPool(
                    r -> {
                        Thread thread = new Thread(r, "fault-test");
                        thread.setDaemon(true);
                        return thread;
                    });
    private LoadGenerator crowd;
    private Scoreboard score;
    private long began = Long.MAX_VALUE / 2;
    private final List<String> crashed = new ArrayList<>();

    /** What of a plan can't be played here; the message names line and cure. */
    public static void check(FleetPlan plan) {
        if (!plan.disturbances().isEmpty()) {
            throw new InvalidPlanException(
                    0,
                    "[[trouble]] is for the fleet model; write [[fault]] for what the yard plays");
        }
        List<String> known = new ArrayList<>(new Scoreboard(plan, 0).figures().keySet());
        plan.zones().forEach(z -> known.add("zone " + z));
        known.addAll(OWN);
        for (FleetPlan.Expectation x : plan.expectations()) {
            if (!known.contains(x.figure())) {
                throw new InvalidPlanException(
                        x.line(),
                        "expect: no figure '"
                                + x.figure()
                                + "'; known: "
                                + String.join(", ", known));
            }
        }
    }

    private FaultTestRun(Order order) throws IOException {
        this.order = order;
        plan = order.plan;
        streams = new RandomStreams(order.seed);
        int m = plan.managers().count();
        int e = plan.engines().count();
        lock = LoopbackAddresses.hold();
        at = new LoopbackAddresses(lock.getLocalPort());
        Files.createDirectories(order.folder);
        recording = new RunRecorder(order.folder);
        stage = new RealTimeLoop();
        relay = new FaultInjectingProxy(streams.of("relay", 0));
        rules = new RuleChecker(plan, SLACK, SEEN_LATER);
        managers =
                new ManagerProcesses(
                        order.folder,
                        ManagerProcesses.notes().resolve(at.port() + ".held"),
                        command(order),
                        m);
        doors = new FaultInjectingProxy.Door[m][e];
        toEngine = new LinkFaults[m][e];
        fromEngine = new LinkFaults[m][e];
        toPeer = new LinkFaults[m][m];
        meant = new boolean[m];
    }

    private static List<String> command(Order order) {
        return ManagerProcesses.command(order.run, order.jar);
    }

    /** Plays it to its end; all processes that it started have ended when it returns. */
    public static Result play(Order order) throws IOException {
        try (FaultTestRun run = new FaultTestRun(order)) {
            return run.play();
        }
    }

    private long since() {
        return stage.now() - began;
    }

    private <T> T on(java.util.concurrent.Callable<T> what) throws IOException {
        CompletableFuture<T> done = new CompletableFuture<>();
        stage.news(
                () -> {
                    try {
                        done.complete(what.call());
                    } catch (Exception fault) {
                        done.completeExceptionally(fault);
                    }
                });
        try {
            return done.get();
        } catch (ExecutionException fault) {
            throw new IOException(fault.getCause());
        } catch (InterruptedException fault) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", fault);
        }
    }

    private Result play() throws IOException {
        setUp();
        order.progress.accept("starting " + plan.managers().count() + " managers");
        startAll();
        long end =
                on(
                        () -> {
                            score = new Scoreboard(plan, stage.calendar().now());
                            crowd =
                                    new LoadGenerator(
                                            stage,
                                            plan,
                                            streams,
                                            rules,
                                            score,
                                            java.util.stream.IntStream.range(
                                                            0, plan.managers().count())
                                                    .mapToObj(at::manager)
                                                    .toList(),
                                            this);
                            began = stage.calendar().now();
                            recording.event(
                                    0,
                                    "begins",
                                    "plan",
                                    plan.name(),
                                    "seed",
                                    order.seed,
                                    "peers",
                                    order.peers);
                            crowd.start();
                            int number = 0;
                            for (Fault f : plan.faults()) {
                                RandomGenerator chance = streams.of("fault", number++);
                                stage.calendar().in(f.at(), () -> strike(f, chance));
                            }
                            long limit =
                                    plan.trafficClasses().stream()
                                            .mapToLong(FleetPlan.TrafficClassPlan::timeout)
                                            .max()
                                            .orElse(0);
                            return began + plan.length() + limit + SLACK;
                        });
        while (stage.now() < end && !(since() > plan.length() + 10_000 && on(() -> crowd.idle()))) {
            pause(500);
            watchProcesses();
            order.progress.accept(
                    String.format(
                            Locale.ROOT, "%.0f of %.0f s", since() / 1e4, plan.length() / 1e4));
        }
        return conclude();
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException fault) {
            Thread.currentThread().interrupt();
        }
    }

    // ---- Setting up.
    private void setUp() throws IOException {
        int count = plan.managers().count();
        for (int e = 0; e < plan.engines().count(); e++) {
            int number = e;
            engines.add(
                    on(
                            () ->
                                    new EmulatedEngine(
                                            stage,
                                            plan,
                                            number,
                                            at.engine(number),
                                            streams,
                                            rules,
                                            id -> crowd == null ? null : crowd.ticket(id),
                                            this)));
        }
        for (int m = 0; m < count; m++) {
            for (int e = 0; e < plan.engines().count(); e++) {
                toEngine[m][e] = relay.way();
                fromEngine[m][e] = relay.way();
                doors[m][e] =
                        relay.door(
                                at.engineFrom(m, e),
                                at.engine(e),
                                toEngine[m][e],
                                fromEngine[m][e]);
                doors[m][e].answers(FaultInjectingProxy.Answer.OPEN, false);
            }
            for (int p = 0; p < count; p++) {
                toPeer[m][p] = relay.way();
            }
        }
        for (int m = 0; order.peers && m < count; m++) {
            for (int p = m + 1; p < count; p++) {
                relay.mail(
                        at.mail(m),
                        at.mail(p),
                        at.peerFrom(m, p),
                        at.peerFrom(p, m),
                        toPeer[m][p],
                        toPeer[p][m]);
            }
        }
        relay.start();
        for (int m = 0; m < count; m++) {
            coordinators.add(new EmulatedCoordinator(at.coordinator(m)));
            ManagerConfigWriter.config(
                    ManagerProcesses.config(order.folder, m),
                    plan,
                    at,
                    m,
                    streams.seed("manager", m));
            if (order.peers) {
                ManagerConfigWriter.peers(ManagerProcesses.peers(order.folder, m), plan, at, m);
            }
        }
    }

    private void startAll() throws IOException {
        int count = plan.managers().count();
        for (int from = 0; from < count; from += AT_ONCE) {
            for (int m = from; m < Math.min(count, from + AT_ONCE); m++) {
                managers.start(m, order.peers);
            }
            for (int m = from; m < Math.min(count, from + AT_ONCE); m++) {
                managers.awaitReady(m, at.manager(m));
            }
        }
    }

    /** A process that ended without being told to. */
    private void watchProcesses() {
        for (int m = 0; m < meant.length; m++) {
            if (!managers.lives(m) && !meant[m]) {
                meant[m] = true;
                crashed.add(
                        "manager "
                                + m
                                + " ended by itself at "
                                + since() / 10
                                + " ms with "
                                + managers.exit(m));
                int gone = m;
                stage.news(() -> crowd.died(gone));
            }
        }
    }

    // ---- Faults.
    private void strike(Fault f, RandomGenerator chance) {
        List<Integer> struck = f.source() == null ? List.of() : f.source().among(plan, chance);
        recording.event(
                since(),
                "fault",
                "kind",
                f.kind().name().toLowerCase(Locale.ROOT),
                "who",
                f.source() == null ? "clients" : f.source() + " " + struck,
                "to",
                String.valueOf(f.target()),
                "length_ms",
                f.length() / 10);
        switch (f.kind()) {
            case KILL -> inTurn(f, struck, m -> kill(m, chance));
            case STOP -> inTurn(f, struck, m -> stop(m, chance));
            case PAUSE ->
                    inTurn(
                            f,
                            struck,
                            m -> {
                                signal(m, "STOP");
                                crowd.stopped(m, stage.calendar().now() + f.length());
                                stage.calendar().in(f.length(), () -> signal(m, "CONT"));
                            });
            case RELOAD -> inTurn(f, struck, m -> signal(m, "HUP"));
            case DIE -> struck.forEach(e -> down(e, EngineModel.State.DOWN, f.length(), 1, chance));
            case SILENCE ->
                    struck.forEach(
                            e ->
                                    down(
                                            e,
                                            EngineModel.State.SILENT,
                                            f.length(),
                                            SILENCE_LATER,
                                            chance));
            case HANG ->
                    struck.forEach(
                            e -> {
                                engines.get(e).becomes(EngineModel.State.HANGING);
                                stage.calendar()
                                        .in(
                                                f.length(),
                                                () -> engines.get(e).becomes(EngineModel.State.UP));
                            });
            case DRAIN ->
                    struck.forEach(
                            e -> {
                                engines.get(e).becomes(EngineModel.State.DRAINING);
                                doors(e, FaultInjectingProxy.Answer.REFUSES, false);
                                tell(e, Lifecycle.DRAINING, 0, 1, chance);
                                stage.calendar()
                                        .in(
                                                f.length(),
                                                () ->
                                                        down(
                                                                e,
                                                                EngineModel.State.DOWN,
                                                                DRAINED_DOWN,
                                                                1,
                                                                chance));
                            });
            case CUT -> onWays(f, chance, (way, heals) -> way.cut(!heals));
            case LOSS -> onWays(f, chance, (way, heals) -> way.loss(heals ? 0 : f.size()));
            case DELAY ->
                    onWays(
                            f,
                            chance,
                            (way, heals) -> way.delay(heals ? 0 : Math.round(f.size() * 10)));
            case TRAFFIC -> {
                crowd.boost(f.size());
                stage.calendar().in(f.length(), () -> crowd.boost(1));
            }
        }
    }

    /**
     * All at once; or, with {@code every}, one each so long, round and round until the plan's end.
     */
    private void inTurn(Fault f, List<Integer> struck, IntConsumer what) {
        if (f.interval() <= 0) {
            struck.forEach(what::accept);
            return;
        }
        turn(f, struck, what, 0);
    }

    private void turn(Fault f, List<Integer> struck, IntConsumer what, int n) {
        if (since() < plan.length()) {
            what.accept(struck.get(n % struck.size()));
            stage.calendar().in(f.interval(), () -> turn(f, struck, what, n + 1));
        }
    }

    private void signal(int m, String name) {
        try {
            managers.signal(m, name);
            recording.event(since(), "signal", "manager", m, "name", name);
        } catch (IOException fault) {
            crashed.add("no signal " + name + " for manager " + m + ": " + fault.getMessage());
        }
    }

    private void kill(int m, RandomGenerator chance) {
        if (managers.lives(m)) {
            meant[m] = true;
            managers.kill(m);
            crowd.died(m);
            recording.event(since(), "killed", "manager", m);
            again(m, chance);
        }
    }

    private void stop(int m, RandomGenerator chance) {
        if (managers.lives(m)) {
            meant[m] = true;
            signal(m, "TERM");
            stage.calendar().in(3_000, () -> crowd.changed(m, false));
            helpers.execute(
                    () -> {
                        boolean ended = managers.awaitEnd(m, 30_000);
                        stage.news(
                                () -> {
                                    if (!ended || managers.exit(m) != 0) {
                                        crashed.add(
                                                "manager "
                                                        + m
                                                        + " did not end well after SIGTERM: "
                                                        + (ended
                                                                ? "status " + managers.exit(m)
                                                                : "still there after 30 s"));
                                    }
                                    recording.event(since(), "ended", "manager", m);
                                    again(m, chance);
                                });
                    });
        }
    }

    /** Starts it again after the plan's time. */
    private void again(int m, RandomGenerator chance) {
        stage.calendar()
                .in(
                        plan.managers().restartTime().drawTime(chance),
                        () ->
                                helpers.execute(
                                        () -> {
                                            try {
                                                managers.start(m, order.peers);
                                                managers.awaitReady(m, at.manager(m));
                                                stage.news(
                                                        () -> {
                                                            meant[m] = false;
                                                            crowd.changed(m, true);
                                                            recording.event(
                                                                    since(),
                                                                    "serves",
                                                                    "manager",
                                                                    m,
                                                                    "life",
                                                                    managers.life(m));
                                                        });
                                            } catch (IOException fault) {
                                                stage.news(() -> crashed.add(fault.getMessage()));
                                            }
                                        }));
    }

    private void doors(int e, FaultInjectingProxy.Answer answer, boolean resets) {
        for (FaultInjectingProxy.Door[] each : doors) {
            each[e].answers(answer, resets);
        }
    }

    private void down(
            int e, EngineModel.State how, long length, int later, RandomGenerator chance) {
        engines.get(e).becomes(how);
        recording.event(since(), "engine", "engine", e, "is", how.name().toLowerCase(Locale.ROOT));
        boolean silent = how == EngineModel.State.SILENT;
        doors(
                e,
                silent ? FaultInjectingProxy.Answer.SILENT : FaultInjectingProxy.Answer.REFUSES,
                !silent);
        tell(e, Lifecycle.GONE, 0, later, chance);
        stage.calendar()
                .in(
                        length,
                        () -> {
                            engines.get(e).becomes(EngineModel.State.UP);
                            recording.event(since(), "engine", "engine", e, "is", "up");
                            doors(e, FaultInjectingProxy.Answer.OPEN, silent);
                            tell(e, Lifecycle.ACTIVE, stage.calendar().now(), 1, chance);
                        });
    }

    /** Each manager hears it when its own list comes round. */
    private void tell(int e, Lifecycle standing, long since, int later, RandomGenerator chance) {
        int state = standing == Lifecycle.ACTIVE ? 0 : standing == Lifecycle.DRAINING ? 1 : 2;
        for (int m = 0; m < coordinators.size(); m++) {
            int manager = m;
            stage.calendar()
                    .in(
                            later * plan.managers().discoveryDelay().drawTime(chance),
                            () -> {
                                boolean stale =
                                        standing == Lifecycle.GONE
                                                && engines.get(e).model().state()
                                                        == EngineModel.State.UP;
                                if (!stale) {
                                    rules.onEndpointUpdate(
                                            stage.now(), manager, e, standing == Lifecycle.ACTIVE);
                                    rules.onEngineStartTold(manager, e, since);
                                    coordinators
                                            .get(manager)
                                            .tell(
                                                    List.of(
                                                            new EmulatedCoordinator.Listed(
                                                                    e + 1,
                                                                    at.engineFrom(manager, e),
                                                                    state,
                                                                    plan.zoneOf(e),
                                                                    since == 0
                                                                            ? 0
                                                                            : stage.unixMs(
                                                                                    since))));
                                }
                            });
        }
    }

    private void onWays(Fault f, RandomGenerator chance, BiConsumer<LinkFaults, Boolean> does) {
        List<Integer> from = f.source().among(plan, chance);
        List<Integer> to = f.target().among(plan, chance);
        ways(f, from, to, way -> does.accept(way, false));
        stage.calendar()
                .in(
                        f.length(),
                        () -> {
                            ways(f, from, to, way -> does.accept(way, true));
                            recording.event(
                                    since(),
                                    "healed",
                                    "kind",
                                    f.kind().name().toLowerCase(Locale.ROOT));
                            if (f.interval() > 0 && since() + f.interval() < plan.length()) {
                                stage.calendar().in(f.interval(), () -> onWays(f, chance, does));
                            }
                        });
    }

    private void ways(Fault f, List<Integer> from, List<Integer> to, Consumer<LinkFaults> does) {
        boolean fromEngines = f.source().isEngines();
        boolean toEngines = f.target().isEngines();
        for (int a : from) {
            for (int b : to) {
                if (fromEngines && toEngines || !fromEngines && !toEngines && a == b) {
                    continue;
                }
                int m = fromEngines ? b : a;
                int e = fromEngines ? a : b;
                boolean peers = !fromEngines && !toEngines;
                does.accept(peers ? toPeer[a][b] : fromEngines ? fromEngine[m][e] : toEngine[m][e]);
                if (!f.oneWay()) {
                    does.accept(
                            peers ? toPeer[b][a] : fromEngines ? toEngine[m][e] : fromEngine[m][e]);
                }
                if (!peers) {
                    doors[m][e].changed();
                }
            }
        }
    }

    // ---- What is seen.
    @Override
    public void asked(TrueRequest is, int manager) {
        double utility = plan.trafficClasses().get(is.trafficClass).priorityWeight();
        recording.add(since(), "asked " + plan.zones().get(plan.zoneOf(manager)), utility);
        recording.add(since(), "asked", utility);
        recording.event(
                since(),
                "asked",
                "batch",
                is.id,
                "group",
                plan.trafficClasses().get(is.trafficClass).name(),
                "manager",
                manager,
                "key",
                is.orderingKey);
    }

    @Override
    public void tried(ClientTry t) {
        recording.add(since(), "tries", 1);
        recording.add(since(), "client retries", t.request.tries > 1 ? 1 : 0);
        recording.event(
                since(),
                "tried",
                "batch",
                t.request.id,
                "manager",
                t.manager,
                "try",
                t.request.tries);
    }

    @Override
    public void ended(ClientTry t, String how) {
        recording.add(since(), how, 1);
        recording.event(since(), how, "batch", t.request.id, "manager", t.manager);
        if (how.equals("returned") && !t.request.succeeded) {
            FleetPlan.TrafficClassPlan g = plan.trafficClasses().get(t.request.trafficClass);
            boolean inTime =
                    stage.now() - t.request.firstRequestedAt
                            <= g.latencyObjective()
                                    + g.latencyObjectivePerWork() * t.request.work / g.threads();
            // Booked to the second in which it was asked for: what that second's batches came to.
            long asked = t.request.firstRequestedAt - began;
            double earned = g.priorityWeight() * (inTime ? 1 : g.lateValueShare());
            recording.add(asked, "earned " + plan.zones().get(plan.zoneOf(t.manager)), earned);
            recording.add(asked, "earned", earned);
        }
    }

    @Override
    public void dispatched(ClientTry t, int engine, boolean further) {
        recording.add(since(), further ? "further dispatches" : "first dispatches", 1);
        recording.event(
                since(),
                "dispatched",
                "batch",
                t.request.id,
                "manager",
                t.manager,
                "engine",
                engine,
                "further",
                further ? 1 : 0);
    }

    @Override
    public boolean heldBack(int manager, int engine) {
        return toEngine[manager][engine].harmedWithin(HELD_BACK);
    }

    @Override
    public void probed(int engine) {
        recording.add(since(), "probes", 1);
    }

    // ---- The end.
    private Result conclude() throws IOException {
        double processor = 0;
        for (int m = 0; m < meant.length; m++) {
            processor += managers.processorSeconds(m);
            meant[m] = true;
            managers.signal(m, "CONT");
            managers.signal(m, "TERM");
        }
        long until = System.nanoTime() + ENDS_WITHIN_MS * 1_000_000;
        for (int m = 0; m < meant.length; m++) {
            long left = (until - System.nanoTime()) / 1_000_000;
            if (!managers.awaitEnd(m, Math.max(1, left))) {
                crashed.add(
                        "manager " + m + " had not ended " + ENDS_WITHIN_MS + " ms after SIGTERM");
            } else if (managers.exit(m) != 0) {
                crashed.add("manager " + m + " ended with " + managers.exit(m) + " after SIGTERM");
            }
        }
        double used = processor;
        return on(() -> judge(used));
    }

    private Result judge(double processor) throws IOException {
        Map<String, Double> figures = new LinkedHashMap<>(score.figures());
        for (String zone : plan.zones()) {
            figures.put(
                    "zone " + zone,
                    recording.sum("earned " + zone)
                            / Math.max(1e-9, recording.sum("asked " + zone)));
        }
        double first = Math.max(1, recording.sum("first dispatches"));
        double seconds = plan.length() / 1e4;
        figures.put("further a first", recording.sum("further dispatches") / first);
        figures.put(
                "retries a batch",
                recording.sum("client retries") / Math.max(1, recording.sum("tries")));
        figures.put(
                "probes an engine and s",
                recording.sum("probes") / plan.engines().count() / seconds);
        figures.put("lost", recording.sum("lost"));
        figures.put("late", recording.sum("late"));
        figures.put("quiet after s", quietAfter());
        figures.put("processor s a manager", processor / meant.length);
        figures.put("late 99th ms", stage.late().getValueAtPercentile(99) / 1e3);
        figures.put("late most ms", stage.late().getMaxValue() / 1e3);
        List<String> broken = new ArrayList<>(rules.violations());
        broken.addAll(crashed);
        List<String> missed = new ArrayList<>();
        for (FleetPlan.Expectation x : plan.expectations()) {
            Double is = figures.get(x.figure());
            if (is < x.min() || is > x.max()) {
                missed.add(
                        String.format(
                                Locale.ROOT,
                                "%s is %.4f, wanted %s",
                                x.figure(),
                                is,
                                is < x.min() ? "at least " + x.min() : "at most " + x.max()));
            }
        }
        double late = stage.late().getValueAtPercentile(99) / 1e3;
        String isVoid =
                relay.fault() != null
                        ? "the relay ended: " + relay.fault()
                        : late <= VOID_99TH_MS
                                ? null
                                : String.format(
                                        Locale.ROOT,
                                        "the stand-ins came %.0f ms late (99th); %.0f would do:"
                                                + " fewer managers, or a machine with more time",
                                        late,
                                        VOID_99TH_MS);
        recording.event(since(), "ends", "broken", broken.size(), "missed", missed.size());
        List<double[]> faults =
                plan.faults().stream()
                        .map(
                                f ->
                                        new double[] {
                                            f.at() / 1e4,
                                            f.interval() > 0
                                                    ? seconds
                                                    : (f.at() + Math.max(10_000, f.length())) / 1e4
                                        })
                        .toList();
        recording.tables(
                plan.name() + ", seed " + order.seed + (order.peers ? ", peers" : ""),
                faults,
                plan.zones());
        return new Result(figures, broken, missed, isVoid);
    }

    /**
     * Seconds from the last fault's end until three seconds in a row earn nine tenths; -1 if they
     * never do.
     */
    private double quietAfter() {
        long ends = 0;
        for (Fault f : plan.faults()) {
            ends = Math.max(ends, f.interval() > 0 ? plan.length() : f.at() + f.length());
        }
        int from = (int) (ends / 10_000);
        int last = (int) (plan.length() / 10_000);
        for (int s = from; s + 3 <= last; s++) {
            boolean quiet = true;
            for (int i = s; i < s + 3; i++) {
                quiet &= recording.second(i, "earned") >= QUIET * recording.second(i, "asked");
            }
            if (quiet) {
                return s - from;
            }
        }
        return from + 3 > last ? 0 : -1;
    }

    @Override
    public void close() throws IOException {
        managers.close();
        if (crowd != null) {
            crowd.close();
        }
        for (EmulatedCoordinator c : coordinators) {
            c.close();
        }
        relay.close();
        for (EmulatedEngine e : engines) {
            e.close();
        }
        helpers.shutdownNow();
        stage.close();
        recording.close();
        lock.close();
    }
}
