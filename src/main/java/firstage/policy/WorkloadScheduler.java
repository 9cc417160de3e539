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
        for (TrafficClass trafficClass : deployment.trafficClasses()) {
            groups.add(
                    new TrafficClassStats(trafficClass, FIRST_MARGIN, FIRST_BEST, GROUP_SAMPLES));
        }
    }

    // ---- News.
    @Override
    public void onRequest(long now, IncomingRequest arrival) {
        RequestState request =
                new RequestState(arrival, groups.get(arrival.trafficClass()), arrivals++, now);
        if (request.orderingKey >= 0 && arrival.orderUnknown()) {
            KeyQueue turn = turns.computeIfAbsent(request.orderingKey, k -> new KeyQueue());
            turn.quietUntil = Math.max(turn.quietUntil, now + TURN_REST);
        } else if (request.orderingKey >= 0) {
            turns.computeIfAbsent(request.orderingKey, k -> new KeyQueue()).waiting.add(request);
        } else if (arrival.orderingKey() >= 0 && !turns.containsKey(arrival.orderingKey())) {
            host.releaseKey(arrival.orderingKey());
        }
        TrafficClass trafficClass = request.classStats.trafficClass;
        request.objectiveAt =
                now
                        + trafficClass.latencyObjective()
                        + (long)
                                (trafficClass.latencyObjectivePerWork()
                                        * request.expectedWork()
                                        / trafficClass.threads());
        request.overQuota =
                arrival.tenant() >= 0
                        && arrival.tenant() < quotas.size()
                        && !quotas.get(arrival.tenant()).tryAcquire();
        worth.add(trafficClass.priorityWeight());
        if (arrival.estimatedWork() > 0) {
            request.classStats.estimatedWork.add(arrival.estimatedWork());
        }
        batches.put(arrival.request(), request);
        stirred = true;
        taken.add(now, 1);
        request.priorityBand =
                DemandHistogram.band(
                        trafficClass.priorityWeight(), request.expectedWork(), request.overQuota);
        demand.arrivedWork(request.priorityBand, request.expectedWork());
        if (request.orderingKey >= 0 && arrival.orderUnknown()
                || request.priorityBand == cut && chance.nextDouble() >= cutPart) {
            // Run in the wrong turn it would break its key's order unseen; not run, it harms
            // nobody.
            giveUp(request);
        } else {
            held.put(request.arrivalOrder, request);
        }
    }

    @Override
    public void onAttemptResult(long now, AttemptResult ending) {
        RequestState request = batches.get(ending.request());
        Attempt attempt = request == null ? null : request.attemptInFlight(ending.attempt());
        if (attempt == null) {
            return;
        }
        EngineState engine = attempt.engine;
        AttemptOutcome how = ending.outcome();
        request.attemptsInFlight.remove(attempt);
        engine.release(attempt);
        stirred = true;
        if (how.mayHaveRun) {
            request.recordPossibleExecution(attempt);
        }
        if (TELLS.containsKey(how)) {
            engine.lastResponseAt = now;
            health(now, engine, TELLS.get(how));
        }
        blame(now, request, engine, how);
        if (how == AttemptOutcome.REFUSED) {
            press(now, engine);
        } else if (how == AttemptOutcome.TIMED_OUT && usable(engine)) {
            // Where nothing comes back no answer tells of a jam; a silent engine is no sign of one.
            slowed(
                    now,
                    engine,
                    (now - attempt.sentAt)
                            * request.classStats.trafficClass.threads()
                            / request.expectedWork());
        } else if (how == AttemptOutcome.SUCCEEDED) {
            engine.recordProgress(now, attempt);
            learn(now, attempt, ending);
        }
        report(now, engine, ending.loadReport());
        KeyQueue turn = turns.get(request.orderingKey);
        if (turn != null) {
            // What may run on rests: an error may stand for a dispatch that was called off.
            long rest =
                    how.mayHaveRun && how != AttemptOutcome.SUCCEEDED ? rules.keyQuietPeriod() : 0;
            rest = Math.max(ending.mayStillRunFor(), rest);
            turn.quietUntil = Math.max(turn.quietUntil, now + rest);
        }
        if (ending.requestClosed() || request.closed) {
            close(request);
        } else if (request.attemptsInFlight.isEmpty()
                && mayGoAgain(now, request)
                && now < lastMoment(request)) {
            held.put(request.arrivalOrder, request);
        } else if (request.attemptsInFlight.isEmpty()) {
            giveUp(request);
        }
    }

    @Override
    public void onAttemptProgress(long now, AttemptProgress note) {
        RequestState request = batches.get(note.request());
        Attempt attempt = request == null ? null : request.attemptInFlight(note.attempt());
        if (attempt == null) {
            return;
        }
        EngineState engine = attempt.engine;
        engine.recordProgress(now, attempt);
        health(now, engine, News.SIGN);
        attempt.blockedByTableLoad = note.kind() == AttemptProgress.Kind.WAITING_FOR_TABLE_LOAD;
        attempt.queuedForMemory = note.kind() == AttemptProgress.Kind.WAITING_FOR_MEMORY;
        switch (note.kind()) {
            case FRACTION_DONE -> {
                attempt.fractionDone = Math.max(note.amount(), attempt.fractionDone);
                if (attempt.fractionDone > 0.05
                        && request.incoming.estimatedWork() > 0
                        && !attempt.wasBlocked) {
                    double whole =
                            (now - attempt.sentAt)
                                    / attempt.fractionDone
                                    * request.classStats.trafficClass.threads();
                    slowed(
                            now,
                            engine,
                            whole / request.incoming.estimatedWork() / request.classStats.best());
                }
                rescue(now, attempt);
            }
            case SPILLING -> attempt.spilled = true;
            case WAITING_FOR_MEMORY -> {
                // Memory that others wait for was granted too freely: margins give way before
                // batches do.
                request.classStats.grantMargin =
                        Math.max(
                                LEAST_MARGIN,
                                request.classStats.grantMargin
                                        - (attempt.wasBlocked ? 0 : MARGIN_DOWN * 2));
                attempt.wasBlocked = true;
                press(now, engine);
                shrink(now, engine, false);
            }
            case WAITING_FOR_TABLE_LOAD -> {
                attempt.wasBlocked = true;
                engine.tableLoadsUntil.put(request.incoming.tableGroup(), now + 2 * notePace);
            }
        }
    }

    @Override
    public void onClientGone(long now, int batch) {
        Optional.ofNullable(batches.get(batch)).ifPresent(this::close);
    }

    @Override
    public void onClientPresence(long now, int batch, boolean away) {
        Optional.ofNullable(batches.get(batch)).ifPresent(request -> request.clientAway = away);
        stirred = true;
    }

    @Override
    public void onQuotaChanged(long now, double next) {
        double ratio = next / share;
        part *= ratio;
        share = next;
        for (EngineState engine : engines.values()) {
            engine.memorySliceMb = Math.min(engine.memoryMb, engine.memorySliceMb * ratio);
            engine.threadLimit =
                    Math.min(engine.cores * THREADS_PER_CORE, engine.threadLimit * ratio);
        }
        stirred = true;
    }

    @Override
    public DemandHistogram demand(long now) {
        List<EngineState> used =
                engines.values().stream().filter(WorkloadScheduler::usable).toList();
        demand.runningThreads(
                used.stream().mapToInt(engine -> engine.reservedThreads).sum(),
                used.stream()
                        .mapToDouble(engine -> engine.cores * THREADS_PER_CORE * cold(now, engine))
                        .sum());
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
            engines.values().forEach(engine -> engine.lifecycle = Lifecycle.GONE);
        }
        stirred = true;
        for (EndpointUpdate.Endpoint entry : list.endpoints()) {
            EngineState engine = engine(entry.engine());
            if (engine.applyEndpoint(entry)) {
                health(now, engine, News.RESTARTED);
            }
            if (engine.cores == 0 || engine.machineType != entry.machineType()) {
                measure(engine, entry.machineType());
            }
        }
    }

    /**
     * Slice and bound at their start: this manager's part of the engine. Untold sizes count as one
     * core.
     */
    private void measure(EngineState engine, int kind) {
        Deployment.MachineType m = kind >= 0 && kind < machines.size() ? machines.get(kind) : null;
        engine.machineType = kind;
        engine.cores = m == null || m.cores() <= 0 ? 1 : m.cores();
        engine.memoryMb = m == null || m.memoryMb() <= 0 ? Double.MAX_VALUE / 4 : m.memoryMb();
        engine.memorySliceMb = engine.memoryMb * POOL_SHARE * share;
        engine.threadLimit = engine.cores * THREADS_PER_CORE * share;
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

    private void report(long now, EngineState engine, LoadReport report) {
        if (report == null) {
            return;
        }
        engine.loadReportedAt = now;
        engine.memoryQueueEmpty = report.queuedForMemory() < 1;
        usual.add(engine.reportedLoad);
        double busy = report.activeThreads() / engine.cores / THREADS_PER_CORE;
        double[] told = {report.queuedForMemory(), report.memoryShare(), busy};
        engine.reportedLoad =
                Arrays.stream(told).filter(f -> f > 0).max().orElse(0); // not a number: not told
        if (engine.reportedLoad >= 1) {
            press(now, engine);
        }
    }

    private void press(long now, EngineState engine) {
        engine.saturatedUntil = now + PRESSED;
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
        for (RequestState request :
                held.isEmpty() ? List.<RequestState>of() : new ArrayList<>(held.values())) {
            // What the fleet has no room for is told so at once: held, it would only be late later.
            boolean below = request.attemptsStarted == 0 && request.priorityBand < cut;
            boolean mayGo =
                    !below
                            && !request.clientAway
                            && now < lastMoment(request)
                            && myTurn(now, request);
            boolean byTables =
                    request.classStats.trafficClass.blockedByTableLoads()
                            || request.classStats.trafficClass.tableLoad();
            long like =
                    !mayGo
                                    || request.attemptsStarted > 0
                                    || request.orderingKey >= 0
                                    || looks(request)
                            ? -1
                            : ((byTables ? request.incoming.tableGroup() + 1L : 0) * groups.size()
                                                    + request.incoming.trafficClass())
                                            * 4
                                    + priority(request);
            boolean vain =
                    like >= 0
                            && failed.getOrDefault(like, Double.MAX_VALUE)
                                    <= request.expectedMemoryMb();
            roomless = vain;
            EngineState engine = mayGo && !vain ? choose(now, request) : null;
            crowded |= mayGo && engine == null;
            waits +=
                    mayGo && engine == null && roomless && request.attemptsStarted == 0
                            ? request.expectedWork()
                            : 0;
            if (engine == null && like >= 0) {
                failed.merge(like, request.expectedMemoryMb(), Math::min);
            }
            if (engine != null) {
                send(now, request, engine);
            } else if (below
                    || now >= giveUpAt(request)
                    || request.attemptsStarted == 0
                            && held.size()
                                    > room
                                            * (request.overQuota && cut == 0
                                                    ? OVER_SHARE_ROOM
                                                    : 1)) {
                held.remove(request.arrivalOrder);
                if (request.attemptsInFlight.isEmpty()) {
                    demand.shedWork(below ? 0 : request.expectedWork());
                    giveUp(request);
                }
            }
        }
        demand.waitingWork(waits);
    }

    private int room() {
        int all =
                engines.values().stream()
                        .mapToInt(engine -> engine.lifecycle == Lifecycle.ACTIVE ? engine.cores : 0)
                        .sum();
        return (int) Math.max(HELD_PER_CORE, all * share * HELD_PER_CORE);
    }

    /**
     * The queue's time-out: the last moment at which a dispatch could still earn something. Where
     * no estimate blurs the goal, what is paid late is given up by its goal while the queue is
     * long: else all of it would be sent late. A single estimate scatters too much to say that a
     * goal is past.
     */
    private long giveUpAt(RequestState request) {
        boolean told = request.incoming.estimatedWork() > 0;
        double run = request.expectedDuration() * (told ? 1 : Math.max(1, fleet.quantile(0.5)));
        boolean byGoal = request.classStats.trafficClass.lateValueShare() == 0 || crowded && !told;
        return Math.min(
                lastMoment(request),
                (byGoal ? request.objectiveAt : request.incoming.deadline()) - (long) run);
    }

    /**
     * The last moment at which it may be sent: before its limit, and to be over before the program
     * ends.
     */
    private long lastMoment(RequestState request) {
        return Math.min(
                request.incoming.deadline() - LAST_CALL, closesAt - request.expectedDuration());
    }

    private void send(long now, RequestState request, EngineState engine) {
        held.remove(request.arrivalOrder);
        demand.startedWork(request.attemptsStarted == 0 ? request.expectedWork() : 0);
        Attempt attempt =
                new Attempt(
                        request,
                        engine,
                        request.attemptsStarted++,
                        now,
                        grant(request, engine),
                        priority(request));
        further.add(now, attempt.number > 0 ? 1 : 0);
        if (allowed.grants() || allowed.priorities()) {
            host.setGrantAndPriority(
                    request.incoming.request(),
                    allowed.grants() ? (int) Math.ceil(attempt.grantMb) : 0,
                    attempt.priority);
        }
        host.startAttempt(request.incoming.request(), engine.id, 0);
        request.attemptsInFlight.add(attempt);
        request.lastEngine = engine;
        engine.reserve(attempt);
        engine.lastAttemptAt = now;
        engine.warmUpWork.add(now, cold(now, engine) < 1 ? request.classStats.warmUpWork() : 0);
    }

    private int priority(RequestState request) {
        double top =
                groups.stream()
                        .mapToDouble(
                                classStats ->
                                        classStats.trafficClass.priorityWeight()
                                                / classStats.typicalWork())
                        .max()
                        .orElse(1);
        double rate =
                request.classStats.trafficClass.priorityWeight()
                        / Math.max(1, request.expectedWork())
                        / top;
        return rate >= 0.6
                ? FIRST_RANK
                : rate >= 0.1 || request.classStats.trafficClass.tableLoad()
                        ? 2
                        : rate >= 0.03 ? 1 : 0;
    }

    /**
     * The told estimate or the mean true memory, with the margin; else half a core's memory a
     * thread.
     */
    private double grant(RequestState request, EngineState engine) {
        TrafficClassStats classStats = request.classStats;
        double figure = request.expectedMemoryMb();
        double want =
                figure > 0
                        ? figure * (1 + classStats.grantMargin)
                        : engine.memoryMb / engine.cores / 2 * classStats.trafficClass.threads();
        return Math.max(1, Math.min(want, largestGrant * engine.memoryMb));
    }

    // ---- Choice of engine.
    /**
     * The fitting engine with the most free room; where none fits, one without pressure; else none.
     */
    private EngineState choose(long now, RequestState request) {
        if (request.attemptsStarted > 0 && !mayGoAgain(now, request)) {
            return null;
        }
        double bounds = 0;
        int out = 0;
        for (EngineState engine : engines.values()) {
            bounds += usable(engine) ? engine.threadLimit : 0;
            out += engine.reservedThreads;
        }
        boolean first = priority(request) == FIRST_RANK;
        boolean small = part < request.classStats.trafficClass.threads();
        double[] loadOrder = loadOrder(request);
        boolean looks = looks(request);
        if (looks && now >= request.probedAt + LOOK_AGAIN) {
            look(now, request);
        }
        if (looks && now < request.probedAt + LOOK_WAIT && !request.allProbesAnswered()) {
            return null;
        }
        EngineState best = null;
        double most = Double.NEGATIVE_INFINITY;
        for (EngineState engine : looks ? request.probedEngines : engines.values()) {
            if (!open(now, request, engine)) {
                continue;
            }
            roomless = true;
            double warm = cold(now, engine);
            double grant = grant(request, engine);
            int threads = request.classStats.trafficClass.threads();
            // Many managers with one lone batch each would fill an engine: all bounds together
            // still hold.
            // One of the first rank may run past the bound: many short ones would starve behind
            // long ones.
            boolean only = first && !engine.hasAttemptOfPriority(FIRST_RANK);
            boolean lone =
                    engine.attemptsInFlight.isEmpty() && (out == 0 || out + threads <= bounds)
                            || small && only && allowed.priorities() && top.quantile(0.5) < SLOW;
            // One batch of the fleet's is spent on it now: all would wait until this manager has
            // room.
            boolean trial = engine.probeOwner && engine.health == EngineHealth.HALF_OPEN;
            boolean fits =
                    lone
                            || trial
                            || engine.reservedMb + grant <= engine.memorySliceMb * warm
                                    && (engine.reservedThreads + threads
                                                    <= engine.threadLimit * warm
                                            || only);
            boolean easy =
                    warm >= 1
                            && !pressed(now, engine)
                            && engine.reservedMb + grant <= engine.memoryMb
                            && engine.reservedThreads + threads <= engine.cores * THREADS_PER_CORE;
            boolean told =
                    looks && engine.loadReportedAt >= request.probedAt && engine.reportedLoad < 1;
            if (looks && !told
                    || !fits
                            && !easy
                            && !(told
                                    && engine.memoryQueueEmpty
                                    && engine.attemptsInFlight.isEmpty())) {
                continue;
            }
            double free =
                    (engine.memorySliceMb * warm - engine.reservedMb)
                            / (engine.memoryMb * POOL_SHARE * share);
            double merit =
                    (trial ? CROWDING : 0)
                            + (fits ? 100 : 0)
                            + Math.max(-20, Math.floor(free * ROOM_STEPS)) * 2
                            + (nearby && engine.zone == zone ? 1 : 0)
                            + nearness(request, engine, loadOrder)
                            - (small ? CROWDING * crowd(now, engine) : 0)
                            - (engine == request.lastEngine ? 50 : 0);
            if (merit > most) {
                most = merit;
                best = engine;
            }
        }
        return best;
    }

    /**
     * How crowded an engine is held to be: as it told, and the older that is, the more as all tell.
     */
    private double crowd(long now, EngineState engine) {
        double all = usual.or(0);
        return all
                + (engine.reportedLoad - all)
                        * Math.max(0, 1 - (double) (now - engine.loadReportedAt) / FRESH);
    }

    /** Whether this batch looks at some engines before it goes. */
    private boolean looks(RequestState request) {
        return probePrice >= 0
                && request.classStats.trafficClass.priorityWeight() * LOOK_SHARE
                        >= probePrice * worth.or(1)
                && part < request.classStats.trafficClass.threads()
                && fleet.quantile(0.5) >= CALM;
    }

    private void look(long now, RequestState request) {
        request.probedAt = now;
        List<EngineState> from =
                new ArrayList<>(
                        engines.values().stream()
                                .filter(engine -> open(now, request, engine))
                                .toList());
        request.probedEngines =
                chance.ints(Math.min(LOOKS, from.size()), 0, Integer.MAX_VALUE)
                        .mapToObj(i -> from.remove(i % from.size()))
                        .toList();
        request.probedEngines.forEach(engine -> host.probeEngine(engine.id));
    }

    /**
     * Readers of the same tables go to the same engines, which keep them warm. Loads of the same
     * tables stand still for each other, and readers behind them: managers divide the engines, the
     * coldest for the tables first, by their numbers. Where our part of an engine is under this
     * batch, chance keeps managers apart.
     */
    private double nearness(RequestState request, EngineState engine, double[] loadOrder) {
        double affinity = engine.affinity(request.incoming.tableGroup());
        if (loadOrder != null) {
            int others = Math.min(managers, (int) Math.ceil(loadOrder.length * READERS_FROM));
            return (Arrays.binarySearch(loadOrder, affinity) - rank) % others == 0 ? OWN_PLACE : 0;
        }
        return part >= request.classStats.trafficClass.threads() ? affinity : chance.nextDouble();
    }

    /** The active engines' affinities to a load's tables, coldest first; null for other batches. */
    private double[] loadOrder(RequestState request) {
        return !request.classStats.trafficClass.tableLoad() || request.incoming.tableGroup() < 0
                ? null
                : engines.values().stream()
                        .filter(engine -> engine.lifecycle == Lifecycle.ACTIVE)
                        .mapToDouble(engine -> engine.affinity(request.incoming.tableGroup()))
                        .sorted()
                        .toArray();
    }

    @Override
    public int attemptsInFlight(int engine) {
        return engines.containsKey(engine) ? engine(engine).attemptsInFlight.size() : 0;
    }

    @Override
    public boolean isUnavailable(int engine) {
        return engines.containsKey(engine)
                && engine(engine).lifecycle == Lifecycle.ACTIVE
                && Set.of(
                                EngineHealth.UNAVAILABLE,
                                EngineHealth.UNRESPONSIVE,
                                EngineHealth.HALF_OPEN)
                        .contains(engine(engine).health);
    }

    @Override
    public long lastAttemptAt(int engine) {
        return engines.containsKey(engine) ? engine(engine).lastAttemptAt : 0;
    }

    @Override
    public long lastResponseAt(int engine) {
        return engines.containsKey(engine) ? engine(engine).lastResponseAt : 0;
    }

    /**
     * A batch that tries a sick engine is lost with it: of a fleet one manager tries, the others
     * follow.
     */
    @Override
    public void onProbeOwnership(long now, int engine, boolean others, boolean restIsOver) {
        engine(engine).probedByOthers = others;
        engine(engine).probeOwner = restIsOver;
        engine(engine).backoffUntil = restIsOver ? now : engine(engine).backoffUntil;
        stirred = true;
    }

    private static boolean usable(EngineState engine) {
        return engine.lifecycle == Lifecycle.ACTIVE
                && !engine.probedByOthers
                && (engine.health == EngineHealth.AVAILABLE
                        || engine.health == EngineHealth.HALF_OPEN);
    }

    /** Whether rules and health let this batch go to this engine at all. */
    private boolean open(long now, RequestState request, EngineState engine) {
        TrafficClass trafficClass = request.classStats.trafficClass;
        if (!usable(engine)
                || !allows(trafficClass.zones(), engine.zone)
                || !allows(trafficClass.machineTypes(), engine.machineType)
                || request.attemptsInFlight.stream()
                        .anyMatch(attempt -> attempt.engine == engine)) {
            return false;
        }
        // A trial costs one repeatable batch at most; a once-only one would be lost with it.
        // Who tries for all has lost some there before, which are out still: only its trial must be
        // one.
        boolean tried =
                engine.probeOwner
                        ? engine.attemptsInFlight.stream()
                                .anyMatch(attempt -> attempt.sentAt >= engine.backoffUntil)
                        : !engine.attemptsInFlight.isEmpty();
        if (engine.health == EngineHealth.HALF_OPEN
                && (tried || trafficClass.effect() != Effect.IDEMPOTENT)) {
            return false;
        }
        if ((request.mayHaveRun || !request.attemptsInFlight.isEmpty())
                && trafficClass.effect() == Effect.IDEMPOTENT_WITH_KEY) {
            EngineState first =
                    request.mayHaveRun
                            ? request.firstExecutionEngine
                            : request.attemptsInFlight.get(0).engine;
            if (trafficClass.idempotencyScope() == Scope.ZONE && first.zone != engine.zone
                    || trafficClass.idempotencyScope() == Scope.CELL && first.cell != engine.cell) {
                return false;
            }
        }
        if ((trafficClass.blockedByTableLoads() || trafficClass.tableLoad())
                && request.incoming.tableGroup() >= 0
                && engine.hasTableLoad(now, request.incoming.tableGroup())) {
            return false;
        }
        return cold(now, engine) >= 1 || coldRoom(now, request, engine);
    }

    private static boolean allows(Set<Integer> places, int place) {
        return places.isEmpty() || places.contains(place);
    }

    /**
     * The share of its capacity an engine is sure to have: from the rule's start figure to 1 when
     * warm.
     */
    private double cold(long now, EngineState engine) {
        // News of a start comes late: engines that were down, seen by many at once, would be pushed
        // over.
        long age = now - engine.lastStartAt();
        if (engine.lastStartAt() <= 0
                || age >= rules.warmUpDuration()
                || rules.initialCapacityShare() <= 0) {
            return 1;
        }
        double straight = Math.max(0, (double) age / rules.warmUpDuration());
        return rules.initialCapacityShare()
                + (1 - rules.initialCapacityShare()) * straight * WARMING;
    }

    /** Rule 4: this manager's part of what a cold engine stands in any fall window. */
    private boolean coldRoom(long now, RequestState request, EngineState engine) {
        if (rules.overloadMultiple() <= 0) {
            return true;
        }
        // What our life before sent it is forgotten, and counts still: it may have spent our whole
        // part.
        if (engine.lastStartAt() < startedAt && now < startedAt + rules.overloadWindow()) {
            return false;
        }
        double work = request.classStats.warmUpWork();
        // No peer's word makes room on a cold engine: the rule rests on our own part alone.
        double own = Math.min(share, engine.warmUpShare > 0 ? engine.warmUpShare : base);
        double sent = engine.warmUpWork.upperBound(now);
        double stands =
                rules.overloadMultiple()
                        * cold(now, engine)
                        * engine.cores
                        * FULL
                        * rules.overloadWindow();
        // Where each part is under any batch, short ones draw lots, which all managers know alike.
        double lot =
                (rank * GOLDEN
                                + engine.affinity(
                                        (int)
                                                ((now - engine.lastStartAt())
                                                        / rules.overloadWindow())))
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
    private void blame(long now, RequestState request, EngineState engine, AttemptOutcome how) {
        EngineState blamed = null;
        if (how == AttemptOutcome.SUCCEEDED) {
            engine.consecutiveFailures = 0;
            blamed = request.firstFailedEngine == engine ? null : request.firstFailedEngine;
        } else if (how == AttemptOutcome.FAILED) {
            request.failedEngines += request.firstFailedEngine == engine ? 0 : 1;
            request.firstFailedEngine =
                    request.firstFailedEngine == null ? engine : request.firstFailedEngine;
            blamed = request.classStats.trafficClass.effect() == Effect.IDEMPOTENT ? null : engine;
        }
        if (blamed != null && ++blamed.consecutiveFailures >= ERRORS_IN_A_ROW) {
            health(now, blamed, News.BROKE);
        }
    }

    private void learn(long now, Attempt attempt, AttemptResult ending) {
        RequestState request = attempt.request;
        TrafficClassStats classStats = request.classStats;
        EngineState engine = attempt.engine;
        int threads = classStats.trafficClass.threads();
        // Neither told nor estimated: a usual batch should need no more than half its goal.
        double truth =
                ending.actualWork() > 0
                        ? ending.actualWork()
                        : request.incoming.estimatedWork() > 0
                                ? request.incoming.estimatedWork()
                                : classStats.trafficClass.latencyObjective() * threads / 2.0;
        double ratio = ending.duration() * threads / truth;
        if (!attempt.wasBlocked) {
            classStats.recordLatencyRatio(ratio, GROUP_SAMPLES);
        }
        classStats.work.add(
                ending.actualWork() > 0
                        ? ending.actualWork()
                        : ending.duration() * (double) threads);
        double figure = request.expectedMemoryMb();
        if (figure > 0) {
            boolean tooShort =
                    ending.actualMemoryMb() > 0
                            ? ending.actualMemoryMb() > attempt.grantMb
                            : attempt.spilled;
            double step =
                    tooShort ? MARGIN_UP : pressed(now, engine) ? -MARGIN_DOWN : -MARGIN_DOWN / 4;
            classStats.grantMargin += step * Math.max(1, EARLY / ++classStats.grantSamples);
            classStats.grantMargin =
                    Math.max(LEAST_MARGIN, Math.min(MOST_MARGIN, classStats.grantMargin));
        }
        if (ending.actualMemoryMb() > 0) {
            classStats.memoryMb.add(ending.actualMemoryMb());
            classStats.best = Math.min(classStats.best, BEST_OF_TRUTH);
            if (attempt.spilled && ending.actualMemoryMb() <= attempt.grantMb) {
                // It needed no more than was named, yet spilled: the engine had no more to give.
                press(now, engine);
                shrink(now, engine, false);
            }
        }
        double slowness = ratio / classStats.best();
        if (!attempt.wasBlocked) {
            slowed(now, engine, slowness);
        }
        if (attempt.priority == FIRST_RANK) {
            top.add(slowness);
        }
        if (slowness < CALM && slowness(engine) < CALM) {
            // Both grow only while in use: an idle hour must not open the engine for a burst.
            if (engine.reservedThreads + threads >= engine.threadLimit / 2) {
                engine.threadLimit =
                        Math.min(
                                engine.cores * THREADS_PER_CORE,
                                engine.threadLimit + threads * GROW);
            }
            if (engine.reservedMb + attempt.grantMb >= engine.memorySliceMb / 2) {
                engine.memorySliceMb =
                        Math.min(engine.memoryMb, engine.memorySliceMb + attempt.grantMb * GROW);
            }
        }
    }

    /** A cold engine is slow by nature: that is no pressure, and least of all on the others. */
    private void slowed(long now, EngineState engine, double slowness) {
        engine.latencyRatios.add(slowness * cold(now, engine));
        fleet.add(slowness * cold(now, engine));
    }

    private void shrink(long now, EngineState engine, boolean slow) {
        boolean due = now - engine.lastShrunkAt >= SHRINK_GAP;
        engine.lastShrunkAt = due ? now : engine.lastShrunkAt;
        if (due && !slow) {
            engine.memorySliceMb =
                    Math.max(
                            engine.memoryMb * POOL_SHARE * share / 2,
                            engine.memorySliceMb * SHRINK);
        } else if (due) {
            double used =
                    part < 1
                            ? Math.min(engine.threadLimit, engine.reservedThreads)
                            : engine.threadLimit;
            engine.threadLimit = Math.max(engine.cores * LEAST_PER_CORE * share, used * SHRINK);
        }
    }

    private boolean pressed(long now, EngineState engine) {
        return now < engine.saturatedUntil || slowness(engine) > SLOW;
    }

    /**
     * The median latency over the best; of all engines where this one has answered too little of
     * late.
     */
    private double slowness(EngineState engine) {
        return (engine.latencyRatios.total() >= ENOUGH ? engine.latencyRatios : fleet)
                .quantile(0.5);
    }

    private void health(long now, EngineState engine, News news) {
        for (Row row : HEALTH) {
            if ((row.state == null || row.state == engine.health)
                    && row.news == news
                    && row.next != engine.health) {
                engine.health = row.next;
                engine.suspectedRestartAt =
                        row.next == EngineHealth.UNAVAILABLE ? now : engine.suspectedRestartAt;
                engine.probedByOthers &= row.next != EngineHealth.AVAILABLE;
                engine.probeOwner &= row.next != EngineHealth.AVAILABLE;
                boolean rests = row.act == Act.REST;
                engine.backoffUntil = rests ? now + engine.backoff : engine.backoffUntil;
                engine.backoff =
                        rests
                                ? Math.min(MOST_REST, engine.backoff * 2)
                                : row.act == Act.CLEAR ? FIRST_REST : engine.backoff;
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
            groups.forEach(classStats -> classStats.best *= BEST_DRIFT);
            quotas.forEach(q -> q.refill(FADE));
            nextFade = now + FADE;
        }
        if (now >= closesAt) {
            // What ends with the program gets no answer here, while another manager can still run
            // it.
            List.copyOf(batches.values()).stream()
                    .filter(request -> !request.closed && leave(request).pushBack)
                    .forEach(this::giveUp);
        }
        for (EngineState engine : engines.values()) {
            if (fade) {
                if (slowness(engine) > SLOW) {
                    press(now, engine);
                    shrink(now, engine, true);
                } else if (crowded && pressed(now, engine)) {
                    // While batches wait, growth ends it: opened at once, the queue floods the
                    // engine.
                    press(now, engine);
                }
                engine.latencyRatios.halve();
            }
            if (engine.health != EngineHealth.AVAILABLE
                    && now >= engine.backoffUntil
                    && !engine.probedByOthers) {
                health(now, engine, News.RESTED);
            }
            for (int i = 0; i < engine.attemptsInFlight.size(); i++) {
                Attempt attempt = engine.attemptsInFlight.get(i);
                if (!attempt.queuedForMemory
                        && !attempt.request.closed
                        && now - Math.max(attempt.sentAt, engine.lastResponseAt)
                                > patience(attempt)) {
                    health(now, engine, News.QUIET);
                }
                rescue(now, attempt);
            }
        }
        // With each release engines leave for good: what is known of them would pile up.
        List<Integer> left =
                engines.keySet().stream().filter(id -> engine(id).goneFor(now) > KEPT).toList();
        left.forEach(engines::remove);
        left.forEach(host::releaseEngine);
        List<Integer> over =
                turns.keySet().stream().filter(key -> turns.get(key).isIdle(now)).toList();
        over.forEach(turns::remove);
        over.forEach(host::releaseKey);
    }

    /**
     * How long an engine may be mute with this dispatch out: a few note paces, else well over its
     * run.
     */
    private long patience(Attempt attempt) {
        return notePace > 0
                ? (long) (notePace * NOTES_MISSED)
                : SILENT_WITHOUT_NOTES + 2 * attempt.request.expectedDuration();
    }

    /**
     * A dispatch that gets nowhere is called off, or a copy is sent beside it, where both are
     * allowed.
     */
    private void rescue(long now, Attempt attempt) {
        RequestState request = attempt.request;
        // Lost, too, is a dispatch without notes on an engine that speaks of others: dropped
        // somewhere.
        boolean lost =
                attempt.engine.health == EngineHealth.UNRESPONSIVE
                        || attempt.engine.health == EngineHealth.UNAVAILABLE
                        || notePace > 0
                                && !attempt.queuedForMemory
                                && now - attempt.lastProgressAt > patience(attempt);
        if (request.closed
                || attempt.abandoned
                || !(lost || attempt.blockedByTableLoad || runaway(now, attempt))
                || request.attemptsStarted >= allowed.maxAttempts()
                || leave(request).again == Again.NO) {
            return;
        }
        if (allowed.cancel()
                && (request.classStats.trafficClass.effect() == Effect.IDEMPOTENT || lost)) {
            attempt.abandoned = true;
            host.cancelAttempt(request.incoming.request(), attempt.number);
        } else if (lost && allowed.hedging() && now < giveUpAt(request)) {
            attempt.abandoned = true;
            held.put(request.arrivalOrder, request);
        }
    }

    /**
     * Far behind its estimate by its own notes, while a fresh dispatch could still make the goal.
     */
    private boolean runaway(long now, Attempt attempt) {
        RequestState request = attempt.request;
        double fresh = request.expectedDuration();
        return allowed.cancel()
                && request.incoming.estimatedWork() > 0
                && attempt.fractionDone > 0
                && !attempt.wasBlocked
                && (now - attempt.sentAt) / attempt.fractionDone * (1 - attempt.fractionDone)
                        > RUNAWAY * fresh
                && now + fresh < request.objectiveAt;
    }

    // ---- Rules.
    private Leave leave(RequestState request) {
        boolean ran = request.mayHaveRun || !request.attemptsInFlight.isEmpty();
        return Arrays.stream(LEAVES)
                .filter(
                        l ->
                                l.effect == request.classStats.trafficClass.effect()
                                        && l.mayHaveRun == ran)
                .findFirst()
                .orElseThrow();
    }

    private boolean mayGoAgain(long now, RequestState request) {
        Again again = leave(request).again;
        return again != Again.NO
                && request.attemptsStarted < allowed.maxAttempts()
                && request.failedEngines < ERRORS_OF_ONE
                && (request.attemptsInFlight.isEmpty() || allowed.hedging())
                && (again != Again.IN_SCOPE
                        || now
                                < request.firstSentAt(now)
                                        + request.classStats.trafficClass.idempotencyWindow())
                && (request.attemptsStarted == 0 || withinBudget(now));
    }

    /** Rule 7. */
    private boolean withinBudget(long now) {
        return rules.retryRatio() < 0
                || further.upperBound(now) + 1
                        <= rules.retryAllowance() + rules.retryRatio() * taken.lowerBound(now);
    }

    /** Rule 5: the first in its key's line goes, after the rest an earlier one left behind. */
    private boolean myTurn(long now, RequestState request) {
        KeyQueue turn = turns.get(request.orderingKey);
        return turn == null
                || turn.waiting.peek() == request
                        && (request.attemptsStarted > 0 || now >= turn.quietUntil);
    }

    /** Answers at once; a pushback only where trying again is harmless. */
    private void giveUp(RequestState request) {
        TrafficClass trafficClass = request.classStats.trafficClass;
        boolean dropped =
                trafficClass.effect() == Effect.IDEMPOTENT_WITH_KEY
                        && trafficClass.idempotencyScope() == Scope.ALL;
        if (request.failedEngines < ERRORS_OF_ONE && (leave(request).pushBack || dropped)) {
            long comeBack = allowed.retryAfter() ? Math.min(COME_BACK, allowed.maxRetryAfter()) : 0;
            host.reject(request.incoming.request(), comeBack);
        } else {
            host.fail(request.incoming.request());
        }
        close(request);
    }

    private void close(RequestState request) {
        request.closed = true;
        held.remove(request.arrivalOrder);
        if (request.attemptsInFlight.isEmpty()
                && batches.remove(request.incoming.request()) != null) {
            KeyQueue turn = turns.get(request.orderingKey);
            if (turn != null) {
                turn.waiting.remove(request);
            }
            host.releaseRequest(request.incoming.request());
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
