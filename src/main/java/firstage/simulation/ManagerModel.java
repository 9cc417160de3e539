package firstage.simulation;

import firstage.cells.CellPlan;
import firstage.config.IdRegistry;
import firstage.failover.FleetCoordinator;
import firstage.policy.api.AttemptOutcome;
import firstage.policy.api.AttemptProgress;
import firstage.policy.api.AttemptResult;
import firstage.policy.api.Deployment;
import firstage.policy.api.EndpointUpdate;
import firstage.policy.api.EndpointUpdate.Lifecycle;
import firstage.policy.api.IncomingRequest;
import firstage.policy.api.LoadReport;
import firstage.policy.api.PolicyActions;
import firstage.policy.api.SchedulingPolicy;
import firstage.simulation.EngineModel.Job;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * One manager of the fleet: the decisions behind their door, and what carries them in virtual time.
 * It hands the decisions estimates and what is observed, never what a batch truly costs.
 */
final class ManagerModel implements PolicyActions {
    private static final long CONNECT = 2_500;

    /**
     * Between two probes of the membership that would carry the words, and between looks at what is
     * sick.
     */
    static final long PERIOD = 2_000;

    private static final long LOOK = 1_000;

    /** What becomes of a try, told to its client. */
    interface Answers {
        void returned(TrueRequest is);

        void pushedBack(TrueRequest is, long comeBack);

        void errored(TrueRequest is);

        /** A dispatch goes to an engine that is down, silent or hangs. */
        void toSick();
    }

    private static final class Open {
        private final RuleChecker.Try is;
        private int index = -1;
        private boolean over;
        private int dispatches;
        private int grant;
        private int priority = 1;
        private final List<Sent> out = new ArrayList<>();

        private Open(RuleChecker.Try is) {
            this.is = is;
        }
    }

    /** A dispatch that is out, from here to its outcome. */
    private final class Sent implements EngineModel.Listener {
        private final Open b;
        private final EngineModel engine;
        private final int number;
        private final long at = calendar.now();
        private final int mine = life;
        private final Job job;
        private boolean over;

        private Sent(Open b, EngineModel engine, int number) {
            this.b = b;
            this.engine = engine;
            this.number = number;
            job =
                    new Job(
                            b.is.is,
                            plan.groups().get(b.is.is.group),
                            this,
                            ManagerModel.this.number,
                            b.grant > 0 ? b.grant : b.is.is.memoryTold * 1.25,
                            b.priority);
        }

        @Override
        public void ended(Job ended, AttemptOutcome how) {
            calendar.in(way(), () -> over(how));
        }

        @Override
        public void noted(Job noted, AttemptProgress.Kind what, double amount) {
            calendar.in(
                    way(),
                    () -> {
                        if (!over && mine == life) {
                            manager.onAttemptProgress(
                                    calendar.now(),
                                    new AttemptProgress(
                                            b.index, number, engine.number(), what, amount));
                            stir();
                        }
                    });
        }

        @Override
        public boolean alive() {
            return mine == life;
        }

        private void over(AttemptOutcome how) {
            if (over || mine != life) {
                return;
            }
            over = true;
            b.out.remove(this);
            rules.ended(calendar.now(), b.is, how);
            if (how == AttemptOutcome.SUCCEEDED && !b.over) {
                b.over = true;
                rules.answered(calendar.now(), b.is, false);
                answers.returned(b.is.is);
            }
            manager.onAttemptResult(
                    calendar.now(),
                    new AttemptResult(
                            b.index,
                            number,
                            engine.number(),
                            how,
                            calendar.now() - at,
                            0,
                            0,
                            b.over,
                            null,
                            0));
            stir();
        }
    }

    private final int number;
    private final FleetPlan plan;
    private final PolicyUnderTest choice;
    private final EventQueue calendar;
    private final RandomStreams streams;
    private final RuleChecker rules;
    private final List<EngineModel> engines;
    private final Answers answers;
    private final RandomGenerator chance;

    /** Null where all managers use all engines. */
    private final CellPlan cells;

    private SchedulingPolicy manager;
    private IdRegistry<Open> batches = new IdRegistry<>();
    private IdRegistry<Integer> keys = new IdRegistry<>();
    private int life;
    private boolean up;
    private boolean turnDue;
    private FleetCoordinator together;
    private long reportsLater;
    private final Set<Open> open = new LinkedHashSet<>();

    /** The list as it last had it: by engine, standing and start. */
    private final Map<Integer, EndpointUpdate.Endpoint> list = new HashMap<>();

    ManagerModel(
            int number,
            FleetPlan plan,
            PolicyUnderTest choice,
            EventQueue calendar,
            RandomStreams streams,
            RuleChecker rules,
            List<EngineModel> engines,
            Answers answers) {
        this.number = number;
        this.plan = plan;
        this.choice = choice;
        this.calendar = calendar;
        this.streams = streams;
        this.rules = rules;
        this.engines = engines;
        this.answers = answers;
        chance = streams.of("manager", number);
        cells = plan.cells();
        for (EngineModel e : engines) {
            if (serves(e.number())) {
                list.put(e.number(), entry(e.number(), Lifecycle.ACTIVE, 0));
            }
        }
    }

    private boolean serves(int engine) {
        return cells == null || cells.serves(plan.cellOf(number), mark(engine), zone(engine));
    }

    private String zone(int engine) {
        return plan.zones().get(plan.zoneOf(engine));
    }

    boolean up() {
        return up;
    }

    /** Starts with nothing but its last list. */
    void start() {
        life++;
        up = true;
        batches = new IdRegistry<>();
        keys = new IdRegistry<>();
        Deployment deployment =
                DeploymentFactory.of(
                        plan,
                        number,
                        streams.seed("manager-life", number * 1_000L + life),
                        choice.capacityFactor());
        manager = choice.start(deployment, this);
        if (cells != null) {
            manager.onQuotaChanged(calendar.now(), cells.share(plan.cellOf(number)));
        }
        if (choice.peers() != null) {
            together =
                    new FleetCoordinator(
                            name(),
                            plan.zoneOf(number),
                            plan.zones().size(),
                            deployment.shortestLatencyObjective(),
                            deployment.rules().warmUpDuration(),
                            PERIOD,
                            (engine, away, restIsOver) -> {
                                manager.onProbeOwnership(
                                        calendar.now(), (int) engine, away, restIsOver);
                                stir();
                            },
                            (now, band, part) -> {
                                manager.onSheddingThreshold(now, band, part);
                                stir();
                            },
                            choice.peers());
            look(life);
        }
        list.values().forEach(e -> rules.toldStart(number, e.engineId(), e.startedAt()));
        manager.onEndpointsUpdated(
                calendar.now(),
                new EndpointUpdate(EndpointUpdate.Kind.INITIAL, List.copyOf(list.values())));
        stir();
    }

    String name() {
        return "m" + number;
    }

    private void look(int mine) {
        if (mine == life && up) {
            for (int e : list.keySet()) {
                together.updateEngine(
                        calendar.now(),
                        plan.zoneOf(e),
                        e,
                        manager.isUnavailable(e),
                        manager.lastAttemptAt(e),
                        manager.lastResponseAt(e));
            }
            together.evaluate(calendar.now(), manager.demand(calendar.now()));
            calendar.in(LOOK, () -> look(mine));
        }
    }

    /** Words of one are with the other after their way; nothing where either is down by then. */
    void tells(ManagerModel other) {
        if (together != null && up) {
            byte[] digest = together.encodeDigest(calendar.now());
            calendar.in(
                    way(),
                    () -> {
                        if (other.up && other.together != null) {
                            other.together.onDigest(calendar.now(), name(), digest);
                        }
                    });
        }
    }

    /** Who is up. */
    void viewed(List<String> names) {
        if (together != null) {
            together.onViewChanged(names);
        }
    }

    /** Killed: its clients must ask again, what it had out goes on at the engines. */
    void kill() {
        List<RuleChecker.Try> held = new ArrayList<>();
        for (Open b : open) {
            if (!b.over) {
                held.add(b.is);
            }
        }
        rules.killed(number, held);
        List<Open> lost = new ArrayList<>(open);
        open.clear();
        up = false;
        life++;
        lost.stream().filter(b -> !b.over).forEach(b -> answers.errored(b.is.is));
    }

    void reportsLater(long later) {
        reportsLater = later;
    }

    private long way() {
        return Math.max(1, plan.net().way().drawTime(chance));
    }

    private void stir() {
        if (!turnDue) {
            turnDue = true;
            int mine = life;
            calendar.in(
                    0,
                    () -> {
                        turnDue = false;
                        if (mine == life && up) {
                            manager.runPendingActions(calendar.now());
                        }
                    });
        }
    }

    /** A client's try is here. */
    void take(TrueRequest is, long notAfter) {
        Open b = new Open(new RuleChecker.Try(is, number, notAfter));
        b.index = batches.indexFor(b);
        open.add(b);
        rules.took(b.is);
        int mine = life;
        calendar.in(notAfter - calendar.now(), () -> timeUp(b, mine));
        calendar.in(notAfter - calendar.now() + 250, () -> rules.due(calendar.now(), b.is));
        manager.onRequest(
                calendar.now(),
                new IncomingRequest(
                        b.index,
                        is.group,
                        plan.customers().size() > 1 ? is.customer : 0,
                        is.key < 0 ? -1 : keys.indexFor(is.key),
                        notAfter,
                        is.estimate,
                        is.memoryTold,
                        is.tables,
                        false,
                        false));
        stir();
    }

    private void timeUp(Open b, int mine) {
        if (mine != life) {
            return;
        }
        for (Sent s : List.copyOf(b.out)) {
            if (plan.managers().callOff()) {
                s.engine.callOff(s.job);
            }
            s.over(AttemptOutcome.TIMED_OUT);
        }
        calendar.in(
                100,
                () -> {
                    if (mine == life && !b.over) {
                        fail(b.index);
                        manager.onClientGone(calendar.now(), b.index);
                        stir();
                    }
                });
    }

    /** What the list service says of an engine, as it comes here. */
    void listed(int engine, Lifecycle standing, long since) {
        if (!serves(engine)) {
            return;
        }
        EndpointUpdate.Endpoint entry = entry(engine, standing, since);
        list.put(engine, entry);
        if (up) {
            rules.listed(calendar.now(), number, engine, standing == Lifecycle.ACTIVE);
            rules.toldStart(number, engine, since);
            manager.onEndpointsUpdated(
                    calendar.now(), new EndpointUpdate(EndpointUpdate.Kind.DELTA, List.of(entry)));
            stir();
        }
    }

    private EndpointUpdate.Endpoint entry(int engine, Lifecycle standing, long since) {
        double coldPart =
                cells == null || choice.warmUpBySettings()
                        ? 0
                        : cells.warmUpShare(null, plan.cellOf(number), mark(engine), zone(engine));
        return new EndpointUpdate.Endpoint(
                engine, mark(engine), 0, 0, 0, standing, 1, since, coldPart);
    }

    /** The same at every manager, and tells nothing of the engine's number. */
    private static long mark(int engine) {
        return (engine + 1) * 2_654_435_761L & 0xFFFFFFFFL;
    }

    // ---- What is decided.
    @Override
    public void setGrantAndPriority(int batch, int grantMb, int priority) {
        Open b = batches.idOf(batch);
        b.grant = grantMb;
        b.priority = priority;
        for (Sent s : b.out) {
            calendar.in(way(), () -> s.engine.priority(s.job, priority));
        }
    }

    @Override
    public void startAttempt(int batch, int engine, long within) {
        Open b = batches.idOf(batch);
        EngineModel e = engines.get(engine);
        rules.dispatched(calendar.now(), b.is, engine);
        if (e.standing() != EngineModel.Standing.UP
                && e.standing() != EngineModel.Standing.DRAINING) {
            answers.toSick();
        }
        Sent s = new Sent(b, e, b.dispatches++);
        b.out.add(s);
        boolean fresh = e.standing() == EngineModel.Standing.SILENT && chance.nextBoolean();
        if (fresh) {
            // A new connection to a machine that is gone never comes up; what goes out on an old
            // one is lost.
            calendar.in(CONNECT, () -> s.over(AttemptOutcome.CONNECT_FAILED));
        } else {
            calendar.in(way(), () -> e.send(s.job));
        }
    }

    @Override
    public void cancelAttempt(int batch, int dispatch) {
        for (Sent s : List.copyOf(batches.idOf(batch).out)) {
            if (s.number == dispatch) {
                calendar.in(way(), () -> s.engine.callOff(s.job));
                calendar.in(1, () -> s.over(AttemptOutcome.CANCELLED));
            }
        }
    }

    @Override
    public void reject(int batch, long comeBack) {
        Open b = batches.idOf(batch);
        if (!b.over) {
            b.over = true;
            rules.answered(calendar.now(), b.is, true);
            answers.pushedBack(b.is.is, comeBack);
        }
    }

    @Override
    public void fail(int batch) {
        Open b = batches.idOf(batch);
        if (!b.over) {
            b.over = true;
            rules.answered(calendar.now(), b.is, false);
            answers.errored(b.is.is);
        }
    }

    @Override
    public void releaseRequest(int batch) {
        open.remove(batches.idOf(batch));
        batches.release(batch);
    }

    @Override
    public void releaseKey(int key) {
        keys.release(key);
    }

    @Override
    public void releaseEngine(int engine) {
        // Engines keep their numbers for the whole run.
    }

    @Override
    public void probeEngine(int engine) {
        EngineModel e = engines.get(engine);
        int mine = life;
        boolean answers =
                e.standing() == EngineModel.Standing.UP
                        || e.standing() == EngineModel.Standing.DRAINING;
        LoadReport report =
                new LoadReport(Double.NaN, e.waiting(), Double.NaN, Double.NaN, Double.NaN);
        calendar.in(
                answers ? 2 * way() + reportsLater : CONNECT,
                () -> {
                    if (mine == life) {
                        manager.onProbeResult(
                                calendar.now(),
                                engine,
                                answers ? AttemptOutcome.SUCCEEDED : AttemptOutcome.TIMED_OUT,
                                answers ? report : null);
                        stir();
                    }
                });
    }

    @Override
    public void scheduleWakeUp(long delay, long token) {
        int mine = life;
        calendar.in(
                Math.max(1, delay),
                () -> {
                    if (mine == life && up) {
                        manager.onWakeUp(calendar.now(), token);
                        stir();
                    }
                });
    }

    @Override
    public void log(String line) {
        // A model's managers have nobody on call.
    }
}
