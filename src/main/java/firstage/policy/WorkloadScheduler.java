package firstage.policy;

import firstage.policy.api.*;
import firstage.policy.api.EndpointUpdate.Lifecycle;
import firstage.policy.api.TrafficClass.Effect;
import firstage.policy.api.TrafficClass.Scope;
import firstage.policy.state.*;
import java.util.*;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * All decisions of one workload manager. Callers tell it news through {@link SchedulingPolicy} and
 * end each moment with {@link #turn}; it acts through {@link PolicyActions}. Interface and types
 * stand in firstage.policy.api; times are whole tenths of a millisecond. On the ordinary path
 * (docs/design.md) each batch reserves its grant on our slice of one engine's memory and its
 * threads under an adaptive bound, or waits in a bounded FIFO queue until there is room.
 */
public final class WorkloadScheduler implements SchedulingPolicy {
    // ---- Constants: unit, and why this size. Times are in tenths of a millisecond.
    private static final double POOL_SHARE =
            0.75; // of an engine's memory: a lone process in RFC 0058 3.2
    private static final double THREADS_PER_CORE =
            2; // all bounds together (design): past it less gets done
    private static final double FIRST_MARGIN = 0.25; // over a memory figure (design): a quarter
    private static final double MARGIN_UP = 0.14; // for a short grant, against ...
    private static final double MARGIN_DOWN =
            0.02; // ... for an ample one: one in eight comes out short
    private static final double EARLY =
            6; // answers: the first of few must teach more than one of many
    private static final double LEAST_MARGIN =
            -0.25; // much below the figure, spilling feeds on itself
    private static final double MOST_MARGIN = 3; // estimates may lie low by four times
    private static final double SLOW =
            1.6; // times the best latency: pressed, still short of the knee
    private static final double CALM = 1.25; // times the best latency: slice and bound may grow
    private static final double SHRINK =
            0.8; // a step's factor: three halve, one bad second closes nothing
    private static final double LEAST_PER_CORE =
            1.3; // threads, all bounds together: just short of the knee
    private static final long SHRINK_GAP =
            7_000; // between steps: the last one must show in answers first
    private static final double GROW =
            0.5; // of a clean answer's threads and grant: doubles in seconds
    private static final long PRESSED =
            40_000; // pressure outlives its last sign: no flood when a jam eases
    private static final double HELD_PER_CORE =
            4; // batches, on our part of the cores: what a goal clears
    private static final double NOTES_MISSED =
            2.6; // paces without a word: two may be late, three are not
    private static final long SILENT_WITHOUT_NOTES =
            40_000; // long against usual work, short against limits
    private static final int ERRORS_IN_A_ROW = 3; // close an engine: one batch may err, not three
    private static final int ERRORS_OF_ONE =
            2; // engines that a batch may err at: a third would say the same
    private static final long FIRST_REST =
            10_000; // before the first trial of an engine; doubled up to ...
    private static final long MOST_REST = 80_000; // ... this: a trial costs one batch
    private static final double COLD_SAFETY =
            0.9; // of the cold budget: others and chance need the rest
    private static final double COLD_LOTS =
            0.4; // of the budget a window: two may meet, and lots scatter
    private static final double COLD_SHORT =
            0.05; // of the budget: of such batches one too many does no harm
    private static final double GOLDEN =
            0.618034; // strews the managers' numbers evenly over the lots
    private static final double WARMING =
            0.8; // of a straight line: how an engine warms is not told
    private static final double FULL =
            0.85; // busy share of the cores at capacity, as the cold rule reckons
    private static final double RUNAWAY =
            5; // times a fresh run still ahead: estimates scatter by half of it
    private static final long BEAT =
            100; // between looks at our own timers: a hundredth of a note's patience
    private static final long RELEASE = 500; // between looks at the held without news
    private static final long LAST_CALL = 800; // before its limit a held batch is answered
    private static final double ROOM_STEPS =
            4; // of a slice that count as alike: there nearness decides
    private static final double OVER_SHARE_ROOM =
            0.2; // of the queue for customers beyond their share
    private static final int FIRST_RANK = 3; // the priority of what pays best for its work
    private static final double READERS_FROM =
            0.67; // of the engines in a table's order: a third reads it
    private static final int LOOKS =
            3; // engines asked before a batch goes: two choices, and one to spare
    private static final double LOOK_SHARE = 0.01; // of a batch's utility that one probe may cost
    private static final long LOOK_WAIT = 200; // for the answers: many times a way there and back
    private static final long LOOK_AGAIN =
            5_000; // where all were full: reports are tenths of a second old
    private static final double CROWDING =
            500; // of a full engine, in steps of rank: above any own room
    private static final long FRESH =
            50_000; // what an engine told fades over this: about a long batch
    private static final double OWN_PLACE =
            30; // in steps of rank: above any free room, below fitting
    private static final long TURN_REST = 500; // until a pushback out of turn is with its client
    private static final long COME_BACK =
            5_000; // a client should stay away: half a queue clears in it
    private static final long FADE =
            10_000; // between halvings of slowness: old samples are gone in seconds
    private static final long CUSTOMER_SPAN =
            50_000; // of its share may be used at once: bursts are no abuse
    private static final double ENOUGH =
            12; // samples before an engine's own median counts, not the fleet's
    private static final int GROUP_SAMPLES = 64; // after which a group's measurements are halved
    private static final double FIRST_BEST =
            2.5; // latency over estimate: a first jam must not pass as calm
    private static final double BEST_OF_TRUTH =
            1.2; // the same over the told true work: a core to a thread
    private static final double BEST_DRIFT =
            1.002; // a FADE: an old best fades in minutes, after any jam
    private static final long KEPT =
            600_000; // an engine that left: it may come back, and mostly does not
    private static final int PIECES =
            20; // of a rule's window: what is in doubt is counted on the safe side

    // ---- Tables.
    private enum News {
        ANSWER,
        SIGN,
        REFUSED,
        UNREACHED,
        BROKE,
        QUIET,
        RESTED,
        RESTARTED
    }

    private enum Act {
        NONE,
        REST,
        CLEAR
    }

    private record Row(EngineHealth state, News news, EngineHealth next, Act act) {}

    /** State (null: any), input, next state, effect. What leaves the state as it is is no news. */
    private static final Row[] HEALTH = {
        new Row(null, News.ANSWER, EngineHealth.AVAILABLE, Act.CLEAR),
        new Row(null, News.RESTARTED, EngineHealth.AVAILABLE, Act.CLEAR),
        new Row(null, News.REFUSED, EngineHealth.REFUSING, Act.REST),
        new Row(null, News.UNREACHED, EngineHealth.UNAVAILABLE, Act.REST),
        new Row(null, News.BROKE, EngineHealth.UNAVAILABLE, Act.REST),
        new Row(null, News.QUIET, EngineHealth.UNRESPONSIVE, Act.REST),
        new Row(EngineHealth.UNRESPONSIVE, News.SIGN, EngineHealth.HALF_OPEN, Act.NONE),
        new Row(null, News.RESTED, EngineHealth.HALF_OPEN, Act.NONE),
    };

    /**
     * What an outcome tells of the engine; a time-out, a call-off and what was not sent tell
     * nothing.
     */
    private static final Map<AttemptOutcome, News> TELLS =
            Map.of(
                    AttemptOutcome.SUCCEEDED,
                    News.ANSWER,
                    AttemptOutcome.FAILED,
                    News.SIGN,
                    AttemptOutcome.CONNECT_FAILED,
                    News.UNREACHED,
                    AttemptOutcome.CONNECTION_LOST,
                    News.BROKE,
                    AttemptOutcome.REFUSED,
                    News.REFUSED);

    private enum Again {
        ANYWHERE,
        IN_SCOPE,
        NO
    }

    private record Leave(Effect effect, boolean mayHaveRun, Again again, boolean pushBack) {}

    /**
     * Rule 2: where a batch may go again, and whether it may be pushed back (referenced: scope ALL
     * only).
     */
    private static final Leave[] LEAVES = {
        new Leave(Effect.IDEMPOTENT, false, Again.ANYWHERE, true),
        new Leave(Effect.IDEMPOTENT, true, Again.ANYWHERE, true),
        new Leave(Effect.IDEMPOTENT_WITH_KEY, false, Again.ANYWHERE, true),
        new Leave(Effect.IDEMPOTENT_WITH_KEY, true, Again.IN_SCOPE, false),
        new Leave(Effect.NON_IDEMPOTENT, false, Again.ANYWHERE, true),
        new Leave(Effect.NON_IDEMPOTENT, true, Again.NO, false),
    };

    // ---- State.
    private final PolicyActions host;
    private final RandomGenerator chance;
    private final Deployment.Capabilities allowed;
    private final Deployment.Rules rules;
    private final List<Deployment.MachineType> machines;
    private final List<TrafficClassStats> groups = new ArrayList<>();
    private final double base;
    private double share;
    private final int rank;
    private final int managers;
    private final int zone;
    private final boolean nearby;
    private final double largestGrant;
    private final double probePrice;
    private double part;
    private final DecayingMean worth = new DecayingMean(GROUP_SAMPLES);
    private final long notePace;
    private final List<TokenBucket> quotas;
    private final Map<Integer, EngineState> engines = new LinkedHashMap<>();
    private final Map<Integer, RequestState> batches = new HashMap<>();
    private final TreeMap<Long, RequestState> held = new TreeMap<>();
    private final Map<Integer, KeyQueue> turns = new HashMap<>();
    private final SlidingWindowCounter taken;
    private final SlidingWindowCounter further;
    private final DecayingMean usual = new DecayingMean(GROUP_SAMPLES);
    private final LogHistogram top = new LogHistogram();
    private final LogHistogram fleet = new LogHistogram();
    private long arrivals;
    private long startedAt = -1;
    private long nextBeat;
    private long nextRelease;
    private long nextFade;
    private boolean crowded;

    /** The last batch looked at met an engine that was open to it. */
    private boolean roomless;

    private boolean subscribe;
    private boolean stirred;
    private long closesAt = Long.MAX_VALUE;
    private final DemandHistogram demand = new DemandHistogram();
    private int cut;
    private double cutPart = 1;

    public WorkloadScheduler(Deployment deployment, PolicyActions host) {
        this.host = host;
        chance = RandomGeneratorFactory.of("L64X128MixRandom").create(deployment.seed());
        allowed = deployment.capabilities();
        rules = deployment.rules();
        machines = deployment.machineTypes();
        taken = new SlidingWindowCounter(rules.retryWindow(), PIECES);
        further = new SlidingWindowCounter(rules.retryWindow(), PIECES);
        base = 1.0 / deployment.managers();
        share = base;
        rank = deployment.rank();
        managers = deployment.managers();
        zone = deployment.zone();
        nearby = deployment.crossZoneCosts();
        largestGrant = deployment.maxGrantShare();
        // A probe whose answer tells no load would be paid for and waited on, and would never let a
        // batch go.
        probePrice = deployment.probesReportLoad() ? deployment.probePrice() : -1;
        int cores = machines.stream().mapToInt(Deployment.MachineType::cores).max().orElse(1);
        part = cores * THREADS_PER_CORE * share;
        notePace = deployment.progressInterval();
        subscribe = deployment.subscribesToEndpoints();
        quotas =
                deployment.tenantRates().stream()
                        .map(r -> new TokenBucket(r * share, CUSTOMER_SPAN))
                        .toList();
        for (TrafficClass is : deployment.trafficClasses()) {
            groups.add(new TrafficClassStats(is, FIRST_MARGIN, FIRST_BEST, GROUP_SAMPLES));
        }
    }

    // ---- News.
    @Override
    public void onRequest(long now, IncomingRequest arrival) {
        RequestState b =
                new RequestState(arrival, groups.get(arrival.trafficClass()), arrivals++, now);
        if (b.key >= 0 && arrival.orderUnknown()) {
            KeyQueue turn = turns.computeIfAbsent(b.key, k -> new KeyQueue());
            turn.restUntil = Math.max(turn.restUntil, now + TURN_REST);
        } else if (b.key >= 0) {
            turns.computeIfAbsent(b.key, k -> new KeyQueue()).line.add(b);
        } else if (arrival.orderingKey() >= 0 && !turns.containsKey(arrival.orderingKey())) {
            host.releaseKey(arrival.orderingKey());
        }
        TrafficClass is = b.group.is;
        b.goalAt =
                now
                        + is.latencyObjective()
                        + (long) (is.latencyObjectivePerWork() * b.expectedWork() / is.threads());
        b.overShare =
                arrival.tenant() >= 0
                        && arrival.tenant() < quotas.size()
                        && !quotas.get(arrival.tenant()).take();
        worth.add(is.priorityWeight());
        if (arrival.estimatedWork() > 0) {
            b.group.told.add(arrival.estimatedWork());
        }
        batches.put(arrival.request(), b);
        stirred = true;
        taken.add(now, 1);
        b.band = DemandHistogram.band(is.priorityWeight(), b.expectedWork(), b.overShare);
        demand.arrivedWork(b.band, b.expectedWork());
        if (b.key >= 0 && arrival.orderUnknown()
                || b.band == cut && chance.nextDouble() >= cutPart) {
            // Run in the wrong turn it would break its key's order unseen; not run, it harms
            // nobody.
            giveUp(b);
        } else {
            held.put(b.order, b);
        }
    }

    @Override
    public void onAttemptResult(long now, AttemptResult ending) {
        RequestState b = batches.get(ending.request());
        Attempt f = b == null ? null : b.flight(ending.attempt());
        if (f == null) {
            return;
        }
        EngineState e = f.engine;
        AttemptOutcome how = ending.outcome();
        b.out.remove(f);
        e.land(f);
        stirred = true;
        if (how.mayHaveRun) {
            b.ran(f);
        }
        if (TELLS.containsKey(how)) {
            e.heard = now;
            health(now, e, TELLS.get(how));
        }
        blame(now, b, e, how);
        if (how == AttemptOutcome.REFUSED) {
            press(now, e);
        } else if (how == AttemptOutcome.TIMED_OUT && usable(e)) {
            // Where nothing comes back no answer tells of a jam; a silent engine is no sign of one.
            slowed(now, e, (now - f.sent) * b.group.is.threads() / b.expectedWork());
        } else if (how == AttemptOutcome.SUCCEEDED) {
            e.spoke(now, f);
            learn(now, f, ending);
        }
        report(now, e, ending.loadReport());
        KeyQueue turn = turns.get(b.key);
        if (turn != null) {
            // What may run on rests: an error may stand for a dispatch that was called off.
            long rest =
                    how.mayHaveRun && how != AttemptOutcome.SUCCEEDED ? rules.keyQuietPeriod() : 0;
            rest = Math.max(ending.mayStillRunFor(), rest);
            turn.restUntil = Math.max(turn.restUntil, now + rest);
        }
        if (ending.requestClosed() || b.closed) {
            close(b);
        } else if (b.out.isEmpty() && mayGoAgain(now, b) && now < lastMoment(b)) {
            held.put(b.order, b);
        } else if (b.out.isEmpty()) {
            giveUp(b);
        }
    }

    @Override
    public void onAttemptProgress(long now, AttemptProgress note) {
        RequestState b = batches.get(note.request());
        Attempt f = b == null ? null : b.flight(note.attempt());
        if (f == null) {
            return;
        }
        EngineState e = f.engine;
        e.spoke(now, f);
        health(now, e, News.SIGN);
        f.standsStill = note.kind() == AttemptProgress.Kind.WAITING_FOR_TABLE_LOAD;
        f.inLine = note.kind() == AttemptProgress.Kind.WAITING_FOR_MEMORY;
        switch (note.kind()) {
            case FRACTION_DONE -> {
                f.share = Math.max(note.amount(), f.share);
                if (f.share > 0.05 && b.is.estimatedWork() > 0 && !f.waited) {
                    double whole = (now - f.sent) / f.share * b.group.is.threads();
                    slowed(now, e, whole / b.is.estimatedWork() / b.group.best());
                }
                rescue(now, f);
            }
            case SPILLING -> f.shortGrant = true;
            case WAITING_FOR_MEMORY -> {
                // Memory that others wait for was granted too freely: margins give way before
                // batches do.
                b.group.margin =
                        Math.max(LEAST_MARGIN, b.group.margin - (f.waited ? 0 : MARGIN_DOWN * 2));
                f.waited = true;
                press(now, e);
                shrink(now, e, false);
            }
            case WAITING_FOR_TABLE_LOAD -> {
                f.waited = true;
                e.loaded.put(b.is.tableGroup(), now + 2 * notePace);
            }
        }
    }

    @Override
    public void onClientGone(long now, int batch) {
        Optional.ofNullable(batches.get(batch)).ifPresent(this::close);
    }

    @Override
    public void onClientPresence(long now, int batch, boolean away) {
        Optional.ofNullable(batches.get(batch)).ifPresent(b -> b.away = away);
        stirred = true;
    }

    @Override
    public void onQuotaChanged(long now, double next) {
        double ratio = next / share;
        part *= ratio;
        share = next;
        for (EngineState e : engines.values()) {
            e.slice = Math.min(e.memory, e.slice * ratio);
            e.bound = Math.min(e.cores * THREADS_PER_CORE, e.bound * ratio);
        }
        stirred = true;
    }

    @Override
    public DemandHistogram demand(long now) {
        List<EngineState> used =
                engines.values().stream().filter(WorkloadScheduler::usable).toList();
        demand.runningThreads(
                used.stream().mapToInt(e -> e.threads).sum(),
                used.stream().mapToDouble(e -> e.cores * THREADS_PER_CORE * cold(now, e)).sum());
        return demand;
    }

    @Override
    public void onSheddingThreshold(long now, int band, double part) {
        cut = band;
        cutPart = part;
        stirred = true;
    }

    @Override
    public void onShutdown(long now, long endsAt) {
        closesAt = endsAt;
    }

    @Override
    public void onEndpointsUpdated(long now, EndpointUpdate list) {
        startedAt = startedAt < 0 ? now : startedAt;
        subscribe |= list.kind() == EndpointUpdate.Kind.FAILED;
        if (list.kind() == EndpointUpdate.Kind.SNAPSHOT
                || list.kind() == EndpointUpdate.Kind.INITIAL) {
            engines.values().forEach(e -> e.standing = Lifecycle.GONE);
        }
        stirred = true;
        for (EndpointUpdate.Endpoint entry : list.endpoints()) {
            EngineState e = engine(entry.engine());
            if (e.listed(entry)) {
                health(now, e, News.RESTARTED);
            }
            if (e.cores == 0 || e.kind != entry.machineType()) {
                measure(e, entry.machineType());
            }
        }
    }

    /**
     * Slice and bound at their start: this manager's part of the engine. Untold sizes count as one
     * core.
     */
    private void measure(EngineState e, int kind) {
        Deployment.MachineType m = kind >= 0 && kind < machines.size() ? machines.get(kind) : null;
        e.kind = kind;
        e.cores = m == null || m.cores() <= 0 ? 1 : m.cores();
        e.memory = m == null || m.memoryMb() <= 0 ? Double.MAX_VALUE / 4 : m.memoryMb();
        e.slice = e.memory * POOL_SHARE * share;
        e.bound = e.cores * THREADS_PER_CORE * share;
    }

    @Override
    public void onProbeResult(long now, int index, AttemptOutcome outcome, LoadReport report) {
        if (outcome == AttemptOutcome.CONNECT_FAILED) {
            health(now, engine(index), News.UNREACHED);
        }
        report(now, engine(index), report);
        stirred = true;
    }

    @Override
    public void onWakeUp(long now, long token) {
        nextBeat = 0;
    }

    private void report(long now, EngineState e, LoadReport report) {
        if (report == null) {
            return;
        }
        e.toldAt = now;
        e.noLine = report.queuedForMemory() < 1;
        usual.add(e.crowd);
        double busy = report.activeThreads() / e.cores / THREADS_PER_CORE;
        double[] told = {report.queuedForMemory(), report.memoryShare(), busy};
        e.crowd = Arrays.stream(told).filter(f -> f > 0).max().orElse(0); // not a number: not told
        if (e.crowd >= 1) {
            press(now, e);
        }
    }

    private void press(long now, EngineState e) {
        e.pressedUntil = now + PRESSED;
    }

    // ---- Release.
    @Override
    public void runPendingActions(long now) {
        if (subscribe) {
            host.subscribeToEndpoints();
            subscribe = false;
        }
        if (nextBeat == 0) {
            watch(now);
        }
        // Each held batch looks at each engine: only where something came in, and now and then.
        if (stirred || now >= nextRelease) {
            release(now);
        }
        if (nextBeat == 0 && (!batches.isEmpty() || !turns.isEmpty())) {
            nextBeat = now + BEAT;
            host.scheduleWakeUp(BEAT, 0);
        }
        stirred = false;
    }

    /**
     * Within one release room only shrinks: a first dispatch like one that found no engine, with no
     * less memory, finds none either. Asking again cost every held batch a look at every engine at
     * each event, and a long queue on a large fleet ran out of processor time.
     */
    private void release(long now) {
        nextRelease = now + RELEASE;
        crowded = false;
        int room = room();
        double waits = 0;
        Map<Long, Double> failed = new HashMap<>();
        for (RequestState b :
                held.isEmpty() ? List.<RequestState>of() : new ArrayList<>(held.values())) {
            // What the fleet has no room for is told so at once: held, it would only be late later.
            boolean below = b.dispatches == 0 && b.band < cut;
            boolean mayGo = !below && !b.away && now < lastMoment(b) && myTurn(now, b);
            boolean byTables = b.group.is.blockedByTableLoads() || b.group.is.tableLoad();
            long like =
                    !mayGo || b.dispatches > 0 || b.key >= 0 || looks(b)
                            ? -1
                            : ((byTables ? b.is.tableGroup() + 1L : 0) * groups.size()
                                                    + b.is.trafficClass())
                                            * 4
                                    + priority(b);
            boolean vain =
                    like >= 0 && failed.getOrDefault(like, Double.MAX_VALUE) <= b.memoryFigure();
            roomless = vain;
            EngineState e = mayGo && !vain ? choose(now, b) : null;
            crowded |= mayGo && e == null;
            waits += mayGo && e == null && roomless && b.dispatches == 0 ? b.expectedWork() : 0;
            if (e == null && like >= 0) {
                failed.merge(like, b.memoryFigure(), Math::min);
            }
            if (e != null) {
                send(now, b, e);
            } else if (below
                    || now >= giveUpAt(b)
                    || b.dispatches == 0
                            && held.size()
                                    > room * (b.overShare && cut == 0 ? OVER_SHARE_ROOM : 1)) {
                held.remove(b.order);
                if (b.out.isEmpty()) {
                    demand.shedWork(below ? 0 : b.expectedWork());
                    giveUp(b);
                }
            }
        }
        demand.waitingWork(waits);
    }

    private int room() {
        int all =
                engines.values().stream()
                        .mapToInt(e -> e.standing == Lifecycle.ACTIVE ? e.cores : 0)
                        .sum();
        return (int) Math.max(HELD_PER_CORE, all * share * HELD_PER_CORE);
    }

    /**
     * The queue's time-out: the last moment at which a dispatch could still earn something. Where
     * no estimate blurs the goal, what is paid late is given up by its goal while the queue is
     * long: else all of it would be sent late. A single estimate scatters too much to say that a
     * goal is past.
     */
    private long giveUpAt(RequestState b) {
        boolean told = b.is.estimatedWork() > 0;
        double run = b.expectedRun() * (told ? 1 : Math.max(1, fleet.quantile(0.5)));
        boolean byGoal = b.group.is.lateValueShare() == 0 || crowded && !told;
        return Math.min(lastMoment(b), (byGoal ? b.goalAt : b.is.deadline()) - (long) run);
    }

    /**
     * The last moment at which it may be sent: before its limit, and to be over before the program
     * ends.
     */
    private long lastMoment(RequestState b) {
        return Math.min(b.is.deadline() - LAST_CALL, closesAt - b.expectedRun());
    }

    private void send(long now, RequestState b, EngineState e) {
        held.remove(b.order);
        demand.startedWork(b.dispatches == 0 ? b.expectedWork() : 0);
        Attempt f = new Attempt(b, e, b.dispatches++, now, grant(b, e), priority(b));
        further.add(now, f.number > 0 ? 1 : 0);
        if (allowed.grants() || allowed.priorities()) {
            host.setGrantAndPriority(
                    b.is.request(), allowed.grants() ? (int) Math.ceil(f.grant) : 0, f.priority);
        }
        host.startAttempt(b.is.request(), e.index, 0);
        b.out.add(f);
        b.last = e;
        e.take(f);
        e.sentAt = now;
        e.cold.add(now, cold(now, e) < 1 ? b.group.weight() : 0);
    }

    private int priority(RequestState b) {
        double top =
                groups.stream()
                        .mapToDouble(g -> g.is.priorityWeight() / g.usualWork())
                        .max()
                        .orElse(1);
        double rate = b.group.is.priorityWeight() / Math.max(1, b.expectedWork()) / top;
        return rate >= 0.6
                ? FIRST_RANK
                : rate >= 0.1 || b.group.is.tableLoad() ? 2 : rate >= 0.03 ? 1 : 0;
    }

    /**
     * The told estimate or the mean true memory, with the margin; else half a core's memory a
     * thread.
     */
    private double grant(RequestState b, EngineState e) {
        TrafficClassStats g = b.group;
        double figure = b.memoryFigure();
        double want =
                figure > 0 ? figure * (1 + g.margin) : e.memory / e.cores / 2 * g.is.threads();
        return Math.max(1, Math.min(want, largestGrant * e.memory));
    }

    // ---- Choice of engine.
    /**
     * The fitting engine with the most free room; where none fits, one without pressure; else none.
     */
    private EngineState choose(long now, RequestState b) {
        if (b.dispatches > 0 && !mayGoAgain(now, b)) {
            return null;
        }
        double bounds = 0;
        int out = 0;
        for (EngineState e : engines.values()) {
            bounds += usable(e) ? e.bound : 0;
            out += e.threads;
        }
        boolean first = priority(b) == FIRST_RANK;
        boolean small = part < b.group.is.threads();
        double[] loadOrder = loadOrder(b);
        boolean looks = looks(b);
        if (looks && now >= b.lookedAt + LOOK_AGAIN) {
            look(now, b);
        }
        if (looks && now < b.lookedAt + LOOK_WAIT && !b.toldAll()) {
            return null;
        }
        EngineState best = null;
        double most = Double.NEGATIVE_INFINITY;
        for (EngineState e : looks ? b.looked : engines.values()) {
            if (!open(now, b, e)) {
                continue;
            }
            roomless = true;
            double warm = cold(now, e);
            double grant = grant(b, e);
            int threads = b.group.is.threads();
            // Many managers with one lone batch each would fill an engine: all bounds together
            // still hold.
            // One of the first rank may run past the bound: many short ones would starve behind
            // long ones.
            boolean only = first && !e.runs(FIRST_RANK);
            boolean lone =
                    e.flights.isEmpty() && (out == 0 || out + threads <= bounds)
                            || small && only && allowed.priorities() && top.quantile(0.5) < SLOW;
            // One batch of the fleet's is spent on it now: all would wait until this manager has
            // room.
            boolean trial = e.triesForAll && e.health == EngineHealth.HALF_OPEN;
            boolean fits =
                    lone
                            || trial
                            || e.reserved + grant <= e.slice * warm
                                    && (e.threads + threads <= e.bound * warm || only);
            boolean easy =
                    warm >= 1
                            && !pressed(now, e)
                            && e.reserved + grant <= e.memory
                            && e.threads + threads <= e.cores * THREADS_PER_CORE;
            boolean told = looks && e.toldAt >= b.lookedAt && e.crowd < 1;
            if (looks && !told || !fits && !easy && !(told && e.noLine && e.flights.isEmpty())) {
                continue;
            }
            double free = (e.slice * warm - e.reserved) / (e.memory * POOL_SHARE * share);
            double merit =
                    (trial ? CROWDING : 0)
                            + (fits ? 100 : 0)
                            + Math.max(-20, Math.floor(free * ROOM_STEPS)) * 2
                            + (nearby && e.zone == zone ? 1 : 0)
                            + nearness(b, e, loadOrder)
                            - (small ? CROWDING * crowd(now, e) : 0)
                            - (e == b.last ? 50 : 0);
            if (merit > most) {
                most = merit;
                best = e;
            }
        }
        return best;
    }

    /**
     * How crowded an engine is held to be: as it told, and the older that is, the more as all tell.
     */
    private double crowd(long now, EngineState e) {
        double all = usual.or(0);
        return all + (e.crowd - all) * Math.max(0, 1 - (double) (now - e.toldAt) / FRESH);
    }

    /** Whether this batch looks at some engines before it goes. */
    private boolean looks(RequestState b) {
        return probePrice >= 0
                && b.group.is.priorityWeight() * LOOK_SHARE >= probePrice * worth.or(1)
                && part < b.group.is.threads()
                && fleet.quantile(0.5) >= CALM;
    }

    private void look(long now, RequestState b) {
        b.lookedAt = now;
        List<EngineState> from =
                new ArrayList<>(engines.values().stream().filter(e -> open(now, b, e)).toList());
        b.looked =
                chance.ints(Math.min(LOOKS, from.size()), 0, Integer.MAX_VALUE)
                        .mapToObj(i -> from.remove(i % from.size()))
                        .toList();
        b.looked.forEach(e -> host.probeEngine(e.index));
    }

    /**
     * Readers of the same tables go to the same engines, which keep them warm. Loads of the same
     * tables stand still for each other, and readers behind them: managers divide the engines, the
     * coldest for the tables first, by their numbers. Where our part of an engine is under this
     * batch, chance keeps managers apart.
     */
    private double nearness(RequestState b, EngineState e, double[] loadOrder) {
        double affinity = e.affinity(b.is.tableGroup());
        if (loadOrder != null) {
            int others = Math.min(managers, (int) Math.ceil(loadOrder.length * READERS_FROM));
            return (Arrays.binarySearch(loadOrder, affinity) - rank) % others == 0 ? OWN_PLACE : 0;
        }
        return part >= b.group.is.threads() ? affinity : chance.nextDouble();
    }

    /** The active engines' affinities to a load's tables, coldest first; null for other batches. */
    private double[] loadOrder(RequestState b) {
        return !b.group.is.tableLoad() || b.is.tableGroup() < 0
                ? null
                : engines.values().stream()
                        .filter(e -> e.standing == Lifecycle.ACTIVE)
                        .mapToDouble(e -> e.affinity(b.is.tableGroup()))
                        .sorted()
                        .toArray();
    }

    @Override
    public int attemptsInFlight(int engine) {
        return engines.containsKey(engine) ? engine(engine).flights.size() : 0;
    }

    @Override
    public boolean isUnavailable(int engine) {
        return engines.containsKey(engine)
                && engine(engine).standing == Lifecycle.ACTIVE
                && Set.of(
                                EngineHealth.UNAVAILABLE,
                                EngineHealth.UNRESPONSIVE,
                                EngineHealth.HALF_OPEN)
                        .contains(engine(engine).health);
    }

    @Override
    public long lastAttemptAt(int engine) {
        return engines.containsKey(engine) ? engine(engine).sentAt : 0;
    }

    @Override
    public long lastResponseAt(int engine) {
        return engines.containsKey(engine) ? engine(engine).heard : 0;
    }

    /**
     * A batch that tries a sick engine is lost with it: of a fleet one manager tries, the others
     * follow.
     */
    @Override
    public void onProbeOwnership(long now, int engine, boolean others, boolean restIsOver) {
        engine(engine).othersTry = others;
        engine(engine).triesForAll = restIsOver;
        engine(engine).restUntil = restIsOver ? now : engine(engine).restUntil;
        stirred = true;
    }

    private static boolean usable(EngineState e) {
        return e.standing == Lifecycle.ACTIVE
                && !e.othersTry
                && (e.health == EngineHealth.AVAILABLE || e.health == EngineHealth.HALF_OPEN);
    }

    /** Whether rules and health let this batch go to this engine at all. */
    private boolean open(long now, RequestState b, EngineState e) {
        TrafficClass is = b.group.is;
        if (!usable(e)
                || !allows(is.zones(), e.zone)
                || !allows(is.machineTypes(), e.kind)
                || b.out.stream().anyMatch(f -> f.engine == e)) {
            return false;
        }
        // A trial costs one repeatable batch at most; a once-only one would be lost with it.
        // Who tries for all has lost some there before, which are out still: only its trial must be
        // one.
        boolean tried =
                e.triesForAll
                        ? e.flights.stream().anyMatch(f -> f.sent >= e.restUntil)
                        : !e.flights.isEmpty();
        if (e.health == EngineHealth.HALF_OPEN && (tried || is.effect() != Effect.IDEMPOTENT)) {
            return false;
        }
        if ((b.mayHaveRun || !b.out.isEmpty()) && is.effect() == Effect.IDEMPOTENT_WITH_KEY) {
            EngineState first = b.mayHaveRun ? b.firstEngine : b.out.get(0).engine;
            if (is.idempotencyScope() == Scope.ZONE && first.zone != e.zone
                    || is.idempotencyScope() == Scope.CELL && first.cell != e.cell) {
                return false;
            }
        }
        if ((is.blockedByTableLoads() || is.tableLoad())
                && b.is.tableGroup() >= 0
                && e.holdsLoad(now, b.is.tableGroup())) {
            return false;
        }
        return cold(now, e) >= 1 || coldRoom(now, b, e);
    }

    private static boolean allows(Set<Integer> places, int place) {
        return places.isEmpty() || places.contains(place);
    }

    /**
     * The share of its capacity an engine is sure to have: from the rule's start figure to 1 when
     * warm.
     */
    private double cold(long now, EngineState e) {
        // News of a start comes late: engines that were down, seen by many at once, would be pushed
        // over.
        long age = now - e.start();
        if (e.start() <= 0 || age >= rules.warmUpDuration() || rules.initialCapacityShare() <= 0) {
            return 1;
        }
        double straight = Math.max(0, (double) age / rules.warmUpDuration());
        return rules.initialCapacityShare()
                + (1 - rules.initialCapacityShare()) * straight * WARMING;
    }

    /** Rule 4: this manager's part of what a cold engine stands in any fall window. */
    private boolean coldRoom(long now, RequestState b, EngineState e) {
        if (rules.overloadMultiple() <= 0) {
            return true;
        }
        // What our life before sent it is forgotten, and counts still: it may have spent our whole
        // part.
        if (e.start() < startedAt && now < startedAt + rules.overloadWindow()) {
            return false;
        }
        double work = b.group.weight();
        // No peer's word makes room on a cold engine: the rule rests on our own part alone.
        double own = Math.min(share, e.coldPart > 0 ? e.coldPart : base);
        double sent = e.cold.touching(now);
        double stands =
                rules.overloadMultiple() * cold(now, e) * e.cores * FULL * rules.overloadWindow();
        // Where each part is under any batch, short ones draw lots, which all managers know alike.
        double lot =
                (rank * GOLDEN + e.affinity((int) ((now - e.start()) / rules.overloadWindow())))
                        % 1;
        return sent + work <= stands * own * COLD_SAFETY
                || sent == 0
                        && work <= stands * COLD_SHORT
                        && lot < stands * own * COLD_LOTS / work;
    }

    // ---- Learning and health.
    /**
     * An engine that errs at once is always free and would draw every batch: a few in a row close
     * it. A batch that may go elsewhere is tried there first: one that errs there, too, tells
     * nothing of engines.
     */
    private void blame(long now, RequestState b, EngineState e, AttemptOutcome how) {
        EngineState blamed = null;
        if (how == AttemptOutcome.SUCCEEDED) {
            e.errors = 0;
            blamed = b.erredAt == e ? null : b.erredAt;
        } else if (how == AttemptOutcome.FAILED) {
            b.errors += b.erredAt == e ? 0 : 1;
            b.erredAt = b.erredAt == null ? e : b.erredAt;
            blamed = b.group.is.effect() == Effect.IDEMPOTENT ? null : e;
        }
        if (blamed != null && ++blamed.errors >= ERRORS_IN_A_ROW) {
            health(now, blamed, News.BROKE);
        }
    }

    private void learn(long now, Attempt f, AttemptResult ending) {
        RequestState b = f.batch;
        TrafficClassStats g = b.group;
        EngineState e = f.engine;
        int threads = g.is.threads();
        // Neither told nor estimated: a usual batch should need no more than half its goal.
        double truth =
                ending.actualWork() > 0
                        ? ending.actualWork()
                        : b.is.estimatedWork() > 0
                                ? b.is.estimatedWork()
                                : g.is.latencyObjective() * threads / 2.0;
        double ratio = ending.duration() * threads / truth;
        if (!f.waited) {
            g.ran(ratio, GROUP_SAMPLES);
        }
        g.work.add(
                ending.actualWork() > 0
                        ? ending.actualWork()
                        : ending.duration() * (double) threads);
        double figure = b.memoryFigure();
        if (figure > 0) {
            boolean tooShort =
                    ending.actualMemoryMb() > 0 ? ending.actualMemoryMb() > f.grant : f.shortGrant;
            double step = tooShort ? MARGIN_UP : pressed(now, e) ? -MARGIN_DOWN : -MARGIN_DOWN / 4;
            g.margin += step * Math.max(1, EARLY / ++g.taught);
            g.margin = Math.max(LEAST_MARGIN, Math.min(MOST_MARGIN, g.margin));
        }
        if (ending.actualMemoryMb() > 0) {
            g.memory.add(ending.actualMemoryMb());
            g.best = Math.min(g.best, BEST_OF_TRUTH);
            if (f.shortGrant && ending.actualMemoryMb() <= f.grant) {
                // It needed no more than was named, yet spilled: the engine had no more to give.
                press(now, e);
                shrink(now, e, false);
            }
        }
        double slowness = ratio / g.best();
        if (!f.waited) {
            slowed(now, e, slowness);
        }
        if (f.priority == FIRST_RANK) {
            top.add(slowness);
        }
        if (slowness < CALM && slowness(e) < CALM) {
            // Both grow only while in use: an idle hour must not open the engine for a burst.
            if (e.threads + threads >= e.bound / 2) {
                e.bound = Math.min(e.cores * THREADS_PER_CORE, e.bound + threads * GROW);
            }
            if (e.reserved + f.grant >= e.slice / 2) {
                e.slice = Math.min(e.memory, e.slice + f.grant * GROW);
            }
        }
    }

    /** A cold engine is slow by nature: that is no pressure, and least of all on the others. */
    private void slowed(long now, EngineState e, double slowness) {
        e.slow.add(slowness * cold(now, e));
        fleet.add(slowness * cold(now, e));
    }

    private void shrink(long now, EngineState e, boolean slow) {
        boolean due = now - e.shrunk >= SHRINK_GAP;
        e.shrunk = due ? now : e.shrunk;
        if (due && !slow) {
            e.slice = Math.max(e.memory * POOL_SHARE * share / 2, e.slice * SHRINK);
        } else if (due) {
            double used = part < 1 ? Math.min(e.bound, e.threads) : e.bound;
            e.bound = Math.max(e.cores * LEAST_PER_CORE * share, used * SHRINK);
        }
    }

    private boolean pressed(long now, EngineState e) {
        return now < e.pressedUntil || slowness(e) > SLOW;
    }

    /**
     * The median latency over the best; of all engines where this one has answered too little of
     * late.
     */
    private double slowness(EngineState e) {
        return (e.slow.total() >= ENOUGH ? e.slow : fleet).quantile(0.5);
    }

    private void health(long now, EngineState e, News news) {
        for (Row row : HEALTH) {
            if ((row.state == null || row.state == e.health)
                    && row.news == news
                    && row.next != e.health) {
                e.health = row.next;
                e.downAt = row.next == EngineHealth.UNAVAILABLE ? now : e.downAt;
                e.othersTry &= row.next != EngineHealth.AVAILABLE;
                e.triesForAll &= row.next != EngineHealth.AVAILABLE;
                boolean rests = row.act == Act.REST;
                e.restUntil = rests ? now + e.rest : e.restUntil;
                e.rest =
                        rests
                                ? Math.min(MOST_REST, e.rest * 2)
                                : row.act == Act.CLEAR ? FIRST_REST : e.rest;
                return;
            }
        }
    }

    /**
     * Looks after what no event tells: silent engines, rests that are over, dispatches that get
     * nowhere.
     */
    private void watch(long now) {
        boolean fade = now >= nextFade;
        if (fade) {
            fleet.halve();
            top.halve();
            groups.forEach(g -> g.best *= BEST_DRIFT);
            quotas.forEach(q -> q.fill(FADE));
            nextFade = now + FADE;
        }
        if (now >= closesAt) {
            // What ends with the program gets no answer here, while another manager can still run
            // it.
            List.copyOf(batches.values()).stream()
                    .filter(b -> !b.closed && leave(b).pushBack)
                    .forEach(this::giveUp);
        }
        for (EngineState e : engines.values()) {
            if (fade) {
                if (slowness(e) > SLOW) {
                    press(now, e);
                    shrink(now, e, true);
                } else if (crowded && pressed(now, e)) {
                    // While batches wait, growth ends it: opened at once, the queue floods the
                    // engine.
                    press(now, e);
                }
                e.slow.halve();
            }
            if (e.health != EngineHealth.AVAILABLE && now >= e.restUntil && !e.othersTry) {
                health(now, e, News.RESTED);
            }
            for (int i = 0; i < e.flights.size(); i++) {
                Attempt f = e.flights.get(i);
                if (!f.inLine && !f.batch.closed && now - Math.max(f.sent, e.heard) > patience(f)) {
                    health(now, e, News.QUIET);
                }
                rescue(now, f);
            }
        }
        // With each release engines leave for good: what is known of them would pile up.
        List<Integer> left =
                engines.keySet().stream().filter(id -> engine(id).leftFor(now) > KEPT).toList();
        left.forEach(engines::remove);
        left.forEach(host::releaseEngine);
        List<Integer> over =
                turns.keySet().stream().filter(key -> turns.get(key).isOver(now)).toList();
        over.forEach(turns::remove);
        over.forEach(host::releaseKey);
    }

    /**
     * How long an engine may be mute with this dispatch out: a few note paces, else well over its
     * run.
     */
    private long patience(Attempt f) {
        return notePace > 0
                ? (long) (notePace * NOTES_MISSED)
                : SILENT_WITHOUT_NOTES + 2 * f.batch.expectedRun();
    }

    /**
     * A dispatch that gets nowhere is called off, or a copy is sent beside it, where both are
     * allowed.
     */
    private void rescue(long now, Attempt f) {
        RequestState b = f.batch;
        // Lost, too, is a dispatch without notes on an engine that speaks of others: dropped
        // somewhere.
        boolean lost =
                f.engine.health == EngineHealth.UNRESPONSIVE
                        || f.engine.health == EngineHealth.UNAVAILABLE
                        || notePace > 0 && !f.inLine && now - f.heard > patience(f);
        if (b.closed
                || f.givenUp
                || !(lost || f.standsStill || runaway(now, f))
                || b.dispatches >= allowed.maxAttempts()
                || leave(b).again == Again.NO) {
            return;
        }
        if (allowed.cancel() && (b.group.is.effect() == Effect.IDEMPOTENT || lost)) {
            f.givenUp = true;
            host.cancelAttempt(b.is.request(), f.number);
        } else if (lost && allowed.hedging() && now < giveUpAt(b)) {
            f.givenUp = true;
            held.put(b.order, b);
        }
    }

    /**
     * Far behind its estimate by its own notes, while a fresh dispatch could still make the goal.
     */
    private boolean runaway(long now, Attempt f) {
        RequestState b = f.batch;
        double fresh = b.expectedRun();
        return allowed.cancel()
                && b.is.estimatedWork() > 0
                && f.share > 0
                && !f.waited
                && (now - f.sent) / f.share * (1 - f.share) > RUNAWAY * fresh
                && now + fresh < b.goalAt;
    }

    // ---- Rules.
    private Leave leave(RequestState b) {
        boolean ran = b.mayHaveRun || !b.out.isEmpty();
        return Arrays.stream(LEAVES)
                .filter(l -> l.effect == b.group.is.effect() && l.mayHaveRun == ran)
                .findFirst()
                .orElseThrow();
    }

    private boolean mayGoAgain(long now, RequestState b) {
        Again again = leave(b).again;
        return again != Again.NO
                && b.dispatches < allowed.maxAttempts()
                && b.errors < ERRORS_OF_ONE
                && (b.out.isEmpty() || allowed.hedging())
                && (again != Again.IN_SCOPE
                        || now < b.firstSent(now) + b.group.is.idempotencyWindow())
                && (b.dispatches == 0 || withinBudget(now));
    }

    /** Rule 7. */
    private boolean withinBudget(long now) {
        return rules.retryRatio() < 0
                || further.touching(now) + 1
                        <= rules.retryAllowance() + rules.retryRatio() * taken.within(now);
    }

    /** Rule 5: the first in its key's line goes, after the rest an earlier one left behind. */
    private boolean myTurn(long now, RequestState b) {
        KeyQueue turn = turns.get(b.key);
        return turn == null || turn.line.peek() == b && (b.dispatches > 0 || now >= turn.restUntil);
    }

    /** Answers at once; a pushback only where trying again is harmless. */
    private void giveUp(RequestState b) {
        TrafficClass is = b.group.is;
        boolean dropped =
                is.effect() == Effect.IDEMPOTENT_WITH_KEY && is.idempotencyScope() == Scope.ALL;
        if (b.errors < ERRORS_OF_ONE && (leave(b).pushBack || dropped)) {
            long comeBack = allowed.retryAfter() ? Math.min(COME_BACK, allowed.maxRetryAfter()) : 0;
            host.reject(b.is.request(), comeBack);
        } else {
            host.fail(b.is.request());
        }
        close(b);
    }

    private void close(RequestState b) {
        b.closed = true;
        held.remove(b.order);
        if (b.out.isEmpty() && batches.remove(b.is.request()) != null) {
            KeyQueue turn = turns.get(b.key);
            if (turn != null) {
                turn.line.remove(b);
            }
            host.releaseRequest(b.is.request());
        }
    }

    private EngineState engine(int id) {
        return engines.computeIfAbsent(
                id,
                i ->
                        new EngineState(
                                i,
                                FIRST_REST,
                                new SlidingWindowCounter(rules.overloadWindow(), PIECES)));
    }
}
