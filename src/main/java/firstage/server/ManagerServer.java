package firstage.server;

import firstage.config.IdRegistry;
import firstage.config.ManagerConfig;
import firstage.config.PeerConfig;
import firstage.lifecycle.ArrivalSequencer;
import firstage.lifecycle.KeyOrderMonitor;
import firstage.policy.WorkloadScheduler;
import firstage.policy.api.AttemptOutcome;
import firstage.policy.api.AttemptProgress;
import firstage.policy.api.AttemptResult;
import firstage.policy.api.EndpointUpdate;
import firstage.policy.api.IncomingRequest;
import firstage.policy.api.LoadReport;
import firstage.policy.api.PolicyActions;
import firstage.policy.api.SchedulingPolicy;
import firstage.server.FlightRecorder.EventType;
import firstage.server.client.ClientHandler;
import firstage.server.discovery.EndpointWatcher;
import firstage.server.engine.EngineClients;
import firstage.server.membership.MembershipTransport;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * One workload manager: its peers and one WorkloadScheduler, all on one I/O thread. It carries what
 * the peers tell to the decisions and what these decide to the peers; it decides nothing itself.
 */
public final class ManagerServer implements PolicyActions, ServerEvents {
    private static final Logger LOG = Logger.getLogger(ManagerServer.class.getName());

    /** After a SIGTERM the front goes on sending for at most 0.6 s. */
    private static final long ACCEPT_AFTER_SIGTERM_MS = 700;

    /** Tenths of a millisecond that the last answers may need on their way. */
    private static final long LAST_RESPONSES_ALLOWANCE = 5_000;

    private static final long MAINTENANCE_PERIOD_MS = 1_000;
    private static final long FLEET_REPORT_PERIOD_MS = 100;

    /** After a client's time is up; its answer must be there 50 ms after it. */
    private static final long DEADLINE_GRACE_MS = 35;

    /** Dispatches that are given up end within this. */
    private static final long ABANDONED_ATTEMPTS_GRACE_MS = 50;

    /** Later than this the thread stood still: clients write batches of one key 60 ms apart. */
    private static final long STALL_THRESHOLD_US = 30_000;

    private static final String[] REQUEST_END_COUNTERS = {
        "batches returned",
        "batches pushed back",
        "batches errored",
        "batches errored at their limit",
        "batches left by their clients"
    };
    private final ManagerConfig config;
    private final TickClock clock = new TickClock();
    private final Counters counters = new Counters();
    private final XnioWorker worker;
    private final XnioIoThread io;
    private final SchedulingPolicy scheduler;
    private final EngineClients engines;
    private final ClientHandler clientHandler;
    private final EndpointWatcher endpointWatcher;
    private final ReadBarrier barrier;

    /** Null where no peers are named. */
    private final MembershipTransport membership;

    private double quotaShare;
    private final Map<Integer, Integer> zoneByEngine = new HashMap<>();
    private final ArrivalSequencer<UnsequencedRequest> arrivals =
            new ArrivalSequencer<>(new SequencedArrivals());
    private final KeyOrderMonitor keyOrder = new KeyOrderMonitor();
    private final IdRegistry<RequestExchange> requestIds = new IdRegistry<>();
    private final IdRegistry<String> keyIds = new IdRegistry<>();
    private final IdRegistry<Long> engineIds = new IdRegistry<>();

    /** Batches without an answer, and dispatches that are out. */
    private int openRequests;

    private int attemptsInFlight;
    private boolean evaluationScheduled;

    /** The thread stood still since the last turn. */
    private boolean stalled;

    private boolean closing;
    private boolean acceptingAfterSigterm;

    /** The end was asked for; a second call for it changes nothing. */
    private boolean shutdownRequested;

    /**
     * {@code membership}: the other managers; null where they are not named, and nothing of them is
     * loaded.
     */
    public ManagerServer(ManagerConfig config, PeerConfig peers) throws IOException {
        this.config = config;
        worker =
                Xnio.getInstance(ManagerServer.class.getClassLoader())
                        .createWorker(
                                OptionMap.builder()
                                        .set(Options.WORKER_NAME, "firstage")
                                        .set(Options.WORKER_IO_THREADS, 1)
                                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                                        .getMap());
        io = worker.getIoThread();
        barrier = new ReadBarrier(io, counters);
        engines = new EngineClients(io, clock, counters, this, config);
        clientHandler = new ClientHandler(io, clock, counters, this, config);
        endpointWatcher = new EndpointWatcher(io, clock, counters, this, config);
        scheduler = new WorkloadScheduler(config.deployment(), this);
        this.membership =
                peers == null
                        ? null
                        : new MembershipTransport(
                                peers,
                                config,
                                System.currentTimeMillis(),
                                io,
                                clock,
                                counters,
                                this::onProbeOwnership,
                                this::onSheddingThreshold,
                                released -> updateEndpoints(EndpointUpdate.Kind.DELTA, released));
        quotaShare = 1.0 / config.deployment().managers();
    }

    /**
     * Starts serving; returns once clients can connect. Where the address is held, it may be tried
     * again.
     */
    public void start() throws IOException {
        clientHandler.listen(worker);
        if (membership != null) {
            membership.listen(worker);
        }
        io.execute(
                () -> {
                    barrier.start();
                    if (membership != null) {
                        membership.start();
                        reportToFleet();
                    }
                    endpointWatcher.follow(config);
                    clientHandler.accept();
                    maintain();
                });
        LOG.info(() -> config.name() + " listens on " + config.listen());
    }

    /** A new configuration: it reaches the list's follower only. */
    public void reconfigure(ManagerConfig newConfig) {
        io.execute(
                () -> {
                    counters.count("configurations read anew");
                    LOG.info(() -> "the coordinator is at " + newConfig.coordinator());
                    endpointWatcher.follow(newConfig);
                });
    }

    /** Serves on while the front still sends, answers all that was taken, then ends the program. */
    public void shutDown() {
        // When the signal came: a thread that stands still just then has the less time left.
        long signalledAt = clock.now();
        io.execute(
                () -> {
                    if (shutdownRequested) {
                        // The harm prevented: a second SIGTERM counted the planned end anew, past
                        // the SIGKILL of the first.
                        counters.count("calls to end that came again");
                        return;
                    }
                    shutdownRequested = true;
                    closing = true;
                    acceptingAfterSigterm = true;
                    engines.prepareShutdown();
                    LOG.info(() -> "closing with " + openRequests + " batches open");
                    if (membership != null) {
                        membership.leave();
                    }
                    dispatch(
                            "closing",
                            () ->
                                    scheduler.onShutdown(
                                            clock.now(),
                                            signalledAt
                                                    + config.endsWithin()
                                                    - LAST_RESPONSES_ALLOWANCE));
                    runLater(
                            ACCEPT_AFTER_SIGTERM_MS,
                            () -> {
                                acceptingAfterSigterm = false;
                                clientHandler.closing(clock.now());
                                endWhenIdle();
                            });
                });
    }

    private boolean isIdle() {
        return openRequests == 0
                && arrivals.undelivered() == 0
                && attemptsInFlight == engines.lingeringAttempts()
                && clientHandler.isIdle();
    }

    private void endWhenIdle() {
        if (closing && !acceptingAfterSigterm && isIdle()) {
            closing = false;
            runLater(ABANDONED_ATTEMPTS_GRACE_MS, this::stopAccepting);
        }
    }

    /**
     * New connections are taken until here, and what came on any is read before the end. The harm
     * prevented: the last answer is lost with its connection, and its client, which asks for it at
     * once on a new one, is refused.
     */
    private void stopAccepting() {
        if (isIdle()) {
            clientHandler.close();
            barrier.runAfterPendingReads(this::end);
        } else {
            closing = true;
        }
    }

    private void end() {
        if (!isIdle()) {
            closing = true;
            return;
        }
        boolean invariantsHold = false;
        try {
            endpointWatcher.close();
            if (membership != null) {
                membership.close();
            }
            checkInvariants();
            engines.close();
            barrier.close();
            counters.checkInvariant(
                    attemptsInFlight == engines.lingeringAttempts(),
                    "no dispatch is out at the end but what lingers");
            counters.checkInvariant(
                    counters.sum("batches taken") == counters.sum(REQUEST_END_COUNTERS),
                    "each batch ends once");
            invariantsHold = true;
        } finally {
            System.err.println("end: " + counters);
            int status = invariantsHold ? 0 : 1;
            // Not on this thread: the exit waits for hooks, and sockets still flush here.
            new Thread(() -> System.exit(status), "exit").start();
        }
    }

    private void checkInvariants() {
        for (int engine = 0; engine < engines.count(); engine++) {
            counters.checkInvariant(
                    engines.attemptsInFlight(engine) == scheduler.attemptsInFlight(engine),
                    "dispatches out are those that the scheduler holds");
        }
        engines.checkInvariants();
    }

    private void maintain() {
        long dueNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAINTENANCE_PERIOD_MS);
        engines.closeIdleConnections();
        checkInvariants();
        keyOrder.removeIdleKeys(clock.now());
        endWhenIdle();
        runLater(
                MAINTENANCE_PERIOD_MS,
                () -> {
                    recordDelay("latest on the I/O thread, us", dueNanos);
                    maintain();
                });
    }

    /** Notes how late the thread came; whether it stood still. */
    private boolean recordDelay(String counter, long dueNanos) {
        long delayUs = (System.nanoTime() - dueNanos) / 1_000;
        counters.peak(counter, delayUs);
        if (delayUs > STALL_THRESHOLD_US) {
            counters.recorder().record(EventType.STALL, null, delayUs / 1_000, 0);
        }
        return delayUs > STALL_THRESHOLD_US;
    }

    private XnioExecutor.Key runLater(long ms, Runnable task) {
        return io.executeAfter(task, ms, TimeUnit.MILLISECONDS);
    }

    // ---- What the peers tell.
    /** One turn after all news that is at hand. */
    private void scheduleEvaluation() {
        if (!evaluationScheduled) {
            evaluationScheduled = true;
            long dueNanos = System.nanoTime();
            io.execute(
                    () -> {
                        stalled |= recordDelay("latest turn, us", dueNanos);
                        if (stalled) {
                            // What came meanwhile is read first: a client that left in that time
                            // must not be sent for.
                            counters.count("stalls");
                            stalled = false;
                            barrier.runAfterPendingReads(this::evaluate);
                        } else {
                            evaluate();
                        }
                    });
        }
    }

    private void evaluate() {
        evaluationScheduled = false;
        try {
            updateQuotaShare();
            if (endpointWatcher.isConfirmed()) {
                scheduler.runPendingActions(clock.now());
            }
        } catch (RuntimeException exception) {
            onUnexpectedException("turn", exception);
        }
        endWhenIdle();
    }

    @Override
    public long recentPause() {
        return membership == null ? 0 : membership.stoodStill();
    }

    private void onProbeOwnership(long engine, boolean away, boolean restIsOver) {
        counters.count(away ? "engines left to others" : "engines taken back");
        int index = engineIds.find(engine);
        if (index >= 0) {
            dispatch(
                    "away", () -> scheduler.onProbeOwnership(clock.now(), index, away, restIsOver));
        }
    }

    private void onSheddingThreshold(long now, int band, double part) {
        dispatch("cut", () -> scheduler.onSheddingThreshold(now, band, part));
    }

    /** Tells what the decisions hold of each engine to who acts on it together. */
    private void reportToFleet() {
        for (int engine = 0; engine < engines.count(); engine++) {
            if (engines.isKnown(engine)) {
                membership
                        .together()
                        .holds(
                                clock.now(),
                                zoneByEngine.getOrDefault(engine, -1),
                                engineIds.id(engine),
                                scheduler.isUnavailable(engine),
                                scheduler.lastAttemptAt(engine),
                                scheduler.lastResponseAt(engine));
            }
        }
        membership.together().look(clock.now(), scheduler.demand(clock.now()));
        runLater(FLEET_REPORT_PERIOD_MS, this::reportToFleet);
    }

    /** Asked before each turn: what others gave may have ended while this process stood still. */
    private void updateQuotaShare() {
        if (membership != null && membership.share() != quotaShare) {
            quotaShare = membership.share();
            scheduler.onQuotaChanged(clock.now(), quotaShare);
        }
    }

    private void dispatch(String event, Runnable call) {
        try {
            call.run();
        } catch (RuntimeException exception) {
            onUnexpectedException(event, exception);
        }
        scheduleEvaluation();
    }

    /** The program outlives a fault of its own; the log shows it. */
    private void onUnexpectedException(String event, RuntimeException exception) {
        counters.count("faults");
        LOG.log(Level.SEVERE, "fault in " + event, exception);
    }

    /** What was read of a batch that is not told yet. */
    private record UnsequencedRequest(
            RequestExchange exchange,
            int trafficClass,
            int tenant,
            String key,
            long estimate,
            int memoryMb,
            int tableGroup) {}

    @Override
    public void onRequest(
            RequestExchange exchange,
            int trafficClass,
            int tenant,
            String key,
            long estimate,
            int memoryMb,
            int tableGroup) {
        counters.count("batches taken");
        openRequests++;
        exchange.orderingKey = key;
        record(EventType.READ, exchange, exchange.connectionAgeMs, 0);
        exchange.deadlineTimer =
                runLater(
                        Math.max(0, (exchange.deadline - clock.now()) / 10),
                        () -> onDeadline(exchange));
        arrivals.onRequestRead(
                new UnsequencedRequest(
                        exchange, trafficClass, tenant, key, estimate, memoryMb, tableGroup),
                key);
    }

    /** All that had come before a batch with this key was read has been read. */
    private final class SequencedArrivals
            implements ArrivalSequencer.ArrivalActions<UnsequencedRequest> {
        @Override
        public void requestReadBarrier(Object key) {
            barrier.runAfterPendingReads(() -> arrivals.onReadBarrierPassed(key));
        }

        @Override
        public void deliver(UnsequencedRequest unsequenced, boolean orderKnown) {
            RequestExchange exchange = unsequenced.exchange;
            if (exchange.isSettled()) {
                // The client left, or its time was up, while it was not told.
                exchange.deadlineTimer.remove();
                scheduleEvaluation();
                return;
            }
            if (!orderKnown) {
                counters.count("batches whose turn can't be told");
            }
            exchange.requestIndex = requestIds.of(exchange);
            record(EventType.SCHEDULED, exchange, orderKnown ? 1 : 0, 0);
            if (exchange.orderingKey != null && orderKnown) {
                keyOrder.onRequest(exchange.orderingKey, exchange.id);
            }
            dispatch(
                    "taken",
                    () ->
                            scheduler.onRequest(
                                    clock.now(),
                                    new IncomingRequest(
                                            exchange.requestIndex,
                                            unsequenced.trafficClass,
                                            unsequenced.tenant,
                                            unsequenced.key == null
                                                    ? -1
                                                    : keyIds.of(unsequenced.key),
                                            exchange.deadline,
                                            unsequenced.estimate,
                                            unsequenced.memoryMb,
                                            unsequenced.tableGroup,
                                            false,
                                            !orderKnown)));
            if (exchange.clientAbsent) {
                onClientPresence(exchange, true);
            }
        }
    }

    private void onDeadline(RequestExchange exchange) {
        for (RequestExchange.AttemptHandle attempt : List.copyOf(exchange.attemptsInFlight)) {
            attempt.abandon(AttemptOutcome.TIMED_OUT);
        }
        // Neither a fault in the decisions nor an engine that hears of no DELETE may keep a
        // client's answer back.
        runLater(
                DEADLINE_GRACE_MS,
                () -> {
                    if (exchange.fail()) {
                        onRequestEnded("batches errored at their limit", exchange);
                        reportClientGone("overdue", exchange);
                    }
                });
    }

    @Override
    public void onClientGone(RequestExchange exchange) {
        if (exchange.isSettled()) {
            return;
        }
        exchange.clientGone();
        exchange.clientDisconnected(clock.now());
        onRequestEnded("batches left by their clients", exchange);
        reportClientGone("left", exchange);
        cancelAttempts(exchange);
    }

    @Override
    public void onClientPresence(RequestExchange exchange, boolean away) {
        exchange.clientAbsent = away;
        if (exchange.requestIndex >= 0 && !exchange.isSettled()) {
            dispatch(
                    "away",
                    () -> scheduler.onClientPresence(clock.now(), exchange.requestIndex, away));
        }
    }

    /** The decisions hear only of what they were told of. */
    private void reportClientGone(String event, RequestExchange exchange) {
        if (exchange.requestIndex >= 0) {
            dispatch(event, () -> scheduler.onClientGone(clock.now(), exchange.requestIndex));
        }
    }

    private void onRequestEnded(String outcome, RequestExchange exchange) {
        counters.count(outcome);
        openRequests--;
        record(EventType.REQUEST_ENDED, exchange, 0, 0);
        if (exchange.orderingKey != null) {
            keyOrder.onRequestEnded(exchange.orderingKey, exchange.id);
        }
    }

    private void record(
            EventType event, RequestExchange exchange, long firstFigure, long secondFigure) {
        if (exchange.orderingKey != null) {
            counters.recorder().record(event, exchange.id, firstFigure, secondFigure);
        }
    }

    private void cancelAttempts(RequestExchange exchange) {
        for (RequestExchange.AttemptHandle attempt : List.copyOf(exchange.attemptsInFlight)) {
            attempt.abandon(AttemptOutcome.CANCELLED);
        }
    }

    @Override
    public void onAttemptProgress(
            RequestExchange exchange,
            RequestExchange.AttemptHandle attempt,
            AttemptProgress.Kind kind,
            double amount) {
        dispatch(
                "noted",
                () ->
                        scheduler.onAttemptProgress(
                                clock.now(),
                                new AttemptProgress(
                                        exchange.requestIndex,
                                        attempt.number(),
                                        attempt.engine(),
                                        kind,
                                        amount)));
    }

    @Override
    public void onAttemptEnded(
            RequestExchange exchange,
            RequestExchange.AttemptHandle attempt,
            AttemptOutcome outcome,
            long duration,
            LoadReport report,
            List<byte[]> pages,
            long heldFor) {
        counters.checkInvariant(exchange.attemptsInFlight.remove(attempt), "a dispatch ends once");
        attemptsInFlight--;
        engines.onAttemptEnded(attempt.engine());
        counters.count("dispatches " + outcome);
        record(EventType.ATTEMPT_ENDED, exchange, outcome.ordinal(), heldFor / 10);
        if (exchange.orderingKey != null) {
            keyOrder.onAttemptEnded(clock.now(), exchange.orderingKey, exchange.id, heldFor);
        }
        if (outcome == AttemptOutcome.SUCCEEDED && exchange.succeed(pages)) {
            onRequestEnded("batches returned", exchange);
        }
        dispatch(
                "ended",
                () ->
                        scheduler.onAttemptResult(
                                clock.now(),
                                new AttemptResult(
                                        exchange.requestIndex,
                                        attempt.number(),
                                        attempt.engine(),
                                        outcome,
                                        duration,
                                        0,
                                        0,
                                        exchange.isSettled(),
                                        report,
                                        heldFor)));
        if (outcome == AttemptOutcome.SUCCEEDED) {
            cancelAttempts(exchange);
        }
    }

    @Override
    public void onProbeResult(int engine, AttemptOutcome outcome, LoadReport report) {
        dispatch("probed", () -> scheduler.onProbeResult(clock.now(), engine, outcome, report));
    }

    @Override
    public void onEndpointsUpdated(EndpointUpdate.Kind kind, List<DiscoveredEndpoint> endpoints) {
        updateEndpoints(kind, membership == null ? endpoints : membership.served(kind, endpoints));
    }

    private void updateEndpoints(EndpointUpdate.Kind kind, List<DiscoveredEndpoint> endpoints) {
        List<EndpointUpdate.Endpoint> updated = new ArrayList<>();
        for (DiscoveredEndpoint endpoint : endpoints) {
            int index = engineIds.of(endpoint.id());
            zoneByEngine.put(index, endpoint.zone());
            engines.updateEndpoint(index, endpoint);
            updated.add(
                    new EndpointUpdate.Endpoint(
                            index,
                            endpoint.id(),
                            endpoint.zone(),
                            endpoint.kind(),
                            endpoint.cell(),
                            endpoint.lifecycle(),
                            endpoint.weight(),
                            endpoint.startedAt(),
                            membership == null ? 0 : membership.coldPart(endpoint)));
        }
        if (kind == EndpointUpdate.Kind.SNAPSHOT) {
            engines.retainOnly(updated.stream().map(EndpointUpdate.Endpoint::engine).toList());
        }
        dispatch(
                "listed",
                () -> scheduler.onEndpointsUpdated(clock.now(), new EndpointUpdate(kind, updated)));
    }

    @Override
    public void onEndpointsConfirmed() {
        scheduleEvaluation();
    }

    // ---- What is decided.
    @Override
    public void setGrantAndPriority(int request, int grantMb, int priority) {
        RequestExchange exchange = requestIds.id(request);
        exchange.grantMb = grantMb;
        exchange.priority = priority;
        exchange.attemptsInFlight.forEach(attempt -> attempt.updatePriority(priority));
    }

    @Override
    public void startAttempt(int request, int engine, long timeout) {
        RequestExchange exchange = requestIds.id(request);
        counters.count("dispatches out");
        attemptsInFlight++;
        record(EventType.ATTEMPT_STARTED, exchange, exchange.attemptsStarted, engine);
        if (exchange.orderingKey != null) {
            counters.checkInvariant(
                    keyOrder.onAttemptStarted(clock.now(), exchange.orderingKey, exchange.id),
                    "batches of a key go one at a time and in turn");
        }
        RequestExchange.AttemptHandle attempt =
                engines.startAttempt(exchange, exchange.attemptsStarted++, engine);
        exchange.attemptsInFlight.add(attempt);
        if (timeout > 0) {
            runLater(
                    timeout / 10,
                    () -> {
                        if (exchange.attemptsInFlight.contains(attempt)) {
                            attempt.abandon(AttemptOutcome.TIMED_OUT);
                        }
                    });
        }
    }

    @Override
    public void cancelAttempt(int request, int attemptNumber) {
        for (RequestExchange.AttemptHandle attempt :
                List.copyOf(requestIds.id(request).attemptsInFlight)) {
            if (attempt.number() == attemptNumber) {
                attempt.abandon(AttemptOutcome.CANCELLED);
            }
        }
    }

    @Override
    public void reject(int request, long retryAfter) {
        RequestExchange exchange = requestIds.id(request);
        if (exchange.reject(retryAfter)) {
            onRequestEnded("batches pushed back", exchange);
        }
        cancelAttempts(exchange);
    }

    @Override
    public void fail(int request) {
        RequestExchange exchange = requestIds.id(request);
        if (exchange.fail()) {
            onRequestEnded("batches errored", exchange);
        }
    }

    @Override
    public void releaseRequest(int request) {
        RequestExchange exchange = requestIds.id(request);
        counters.checkInvariant(
                exchange.isSettled() && exchange.attemptsInFlight.isEmpty(),
                "a batch that is forgotten has its answer and nothing out");
        exchange.deadlineTimer.remove();
        requestIds.release(request);
    }

    @Override
    public void releaseKey(int key) {
        keyIds.release(key);
    }

    @Override
    public void releaseEngine(int engine) {
        if (membership != null) {
            membership.together().forget(engineIds.id(engine));
        }
        engineIds.release(engine);
        engines.removeEngine(engine);
        zoneByEngine.remove(engine);
    }

    @Override
    public void probeEngine(int engine) {
        engines.probe(engine);
    }

    @Override
    public void scheduleWakeUp(long delay, long token) {
        long dueNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Math.max(1, delay / 10));
        runLater(
                Math.max(1, delay / 10),
                () -> {
                    stalled |= recordDelay("latest wake, us", dueNanos);
                    dispatch("woken", () -> scheduler.onWakeUp(clock.now(), token));
                });
    }

    @Override
    public void log(String line) {
        LOG.info(line);
    }
}
