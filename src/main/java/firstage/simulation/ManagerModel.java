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
import firstage.simulation.EngineModel.RunningAttempt;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * A simulated manager: runs a scheduling policy in virtual time and carries out its actions. The
 * policy receives estimates and observations, never the true cost of a request.
 */
final class ManagerModel implements PolicyActions {
    /**
     * Time until a connection that is not established, or a probe without answer, fails: 250 ms.
     */
    private static final long CONNECT_TIMEOUT = 2_500;

    /** Time between two probes of the membership protocol, which carry the digests: 200 ms. */
    static final long GOSSIP_PERIOD = 2_000;

    /** Time between two evaluations by the fleet coordinator: 100 ms. */
    private static final long EVALUATION_INTERVAL = 1_000;

    /** Callbacks with the outcomes of tries, for the clients. */
    interface ClientListener {
        void onSucceeded(GeneratedRequest request);

        void onRejected(GeneratedRequest request, long retryAfter);

        void onFailed(GeneratedRequest request);

        /** Called for each attempt that is sent to an engine that is down, silent or hanging. */
        void onSentToFaultyEngine();
    }

    private static final class OpenRequest {
        private final RuleChecker.ClientTry clientTry;
        private int requestId = -1;
        private boolean answered;
        private int attemptCount;
        private int grantMb;
        private int priority = 1;
        private final List<ModelledAttempt> attemptsInFlight = new ArrayList<>();

        private OpenRequest(RuleChecker.ClientTry clientTry) {
            this.clientTry = clientTry;
        }
    }

    /** An attempt in flight, as the manager sees it. */
    private final class ModelledAttempt implements EngineModel.Listener {
        private final OpenRequest openRequest;
        private final EngineModel engine;
        private final int attemptNumber;
        private final long sentAt = events.now();
        private final int ownIncarnation = incarnation;
        private final RunningAttempt runningAttempt;
        private boolean ended;

        private ModelledAttempt(OpenRequest openRequest, EngineModel engine, int attemptNumber) {
            this.openRequest = openRequest;
            this.engine = engine;
            this.attemptNumber = attemptNumber;
            runningAttempt =
                    new RunningAttempt(
                            openRequest.clientTry.request,
                            plan.trafficClasses().get(openRequest.clientTry.request.trafficClass),
                            this,
                            ManagerModel.this.number,
                            openRequest.grantMb > 0
                                    ? openRequest.grantMb
                                    : openRequest.clientTry.request.estimatedMemoryMb * 1.25,
                            openRequest.priority);
        }

        @Override
        public void onEnded(RunningAttempt attempt, AttemptOutcome outcome) {
            events.schedule(drawDelay(), () -> end(outcome));
        }

        @Override
        public void onProgress(RunningAttempt attempt, AttemptProgress.Kind kind, double amount) {
            events.schedule(
                    drawDelay(),
                    () -> {
                        if (!ended && ownIncarnation == incarnation) {
                            policy.onAttemptProgress(
                                    events.now(),
                                    new AttemptProgress(
                                            openRequest.requestId,
                                            attemptNumber,
                                            engine.number(),
                                            kind,
                                            amount));
                            scheduleActions();
                        }
                    });
        }

        @Override
        public boolean isSenderAlive() {
            return ownIncarnation == incarnation;
        }

        private void end(AttemptOutcome outcome) {
            if (ended || ownIncarnation != incarnation) {
                return;
            }
            ended = true;
            openRequest.attemptsInFlight.remove(this);
            rules.onAttemptEnded(events.now(), openRequest.clientTry, outcome);
            if (outcome == AttemptOutcome.SUCCEEDED && !openRequest.answered) {
                openRequest.answered = true;
                rules.onAnswered(events.now(), openRequest.clientTry, false);
                clientListener.onSucceeded(openRequest.clientTry.request);
            }
            policy.onAttemptResult(
                    events.now(),
                    new AttemptResult(
                            openRequest.requestId,
                            attemptNumber,
                            engine.number(),
                            outcome,
                            events.now() - sentAt,
                            0,
                            0,
                            openRequest.answered,
                            null,
                            0));
            scheduleActions();
        }
    }

    private final int number;
    private final FleetPlan plan;
    private final PolicyUnderTest policyUnderTest;
    private final EventQueue events;
    private final RandomStreams randomStreams;
    private final RuleChecker rules;
    private final List<EngineModel> engines;
    private final ClientListener clientListener;
    private final RandomGenerator random;

    /** Plan of the cells; null where all managers use all engines. */
    private final CellPlan cells;

    private SchedulingPolicy policy;
    private IdRegistry<OpenRequest> requestIds = new IdRegistry<>();
    private IdRegistry<Integer> keyIds = new IdRegistry<>();
    private int incarnation;
    private boolean up;
    private boolean actionsScheduled;
    private FleetCoordinator fleetCoordinator;
    private long extraReportDelay;
    private final Set<OpenRequest> openRequests = new LinkedHashSet<>();

    /** The last received entry of the endpoint list for each engine; kept across restarts. */
    private final Map<Integer, EndpointUpdate.Endpoint> endpoints = new HashMap<>();

    ManagerModel(
            int number,
            FleetPlan plan,
            PolicyUnderTest policyUnderTest,
            EventQueue events,
            RandomStreams randomStreams,
            RuleChecker rules,
            List<EngineModel> engines,
            ClientListener clientListener) {
        this.number = number;
        this.plan = plan;
        this.policyUnderTest = policyUnderTest;
        this.events = events;
        this.randomStreams = randomStreams;
        this.rules = rules;
        this.engines = engines;
        this.clientListener = clientListener;
        random = randomStreams.stream("manager", number);
        cells = plan.cellPlan();
        for (EngineModel engineModel : engines) {
            if (servesEngine(engineModel.number())) {
                endpoints.put(
                        engineModel.number(), endpoint(engineModel.number(), Lifecycle.ACTIVE, 0));
            }
        }
    }

    private boolean servesEngine(int engine) {
        return cells == null
                || cells.serves(plan.cellOf(number), stableHash(engine), zoneName(engine));
    }

    private String zoneName(int engine) {
        return plan.zones().get(plan.zoneOf(engine));
    }

    boolean up() {
        return up;
    }

    /** Starts a new incarnation, which knows nothing but the last endpoint list. */
    void start() {
        incarnation++;
        up = true;
        requestIds = new IdRegistry<>();
        keyIds = new IdRegistry<>();
        Deployment deployment =
                DeploymentFactory.of(
                        plan,
                        number,
                        randomStreams.seed("manager-life", number * 1_000L + incarnation),
                        policyUnderTest.capacityFactor());
        policy = policyUnderTest.createPolicy(deployment, this);
        if (cells != null) {
            policy.onQuotaChanged(events.now(), cells.sharePerManager(plan.cellOf(number)));
        }
        if (policyUnderTest.coordinationDefects() != null) {
            fleetCoordinator =
                    new FleetCoordinator(
                            name(),
                            plan.zoneOf(number),
                            plan.zones().size(),
                            deployment.shortestLatencyObjective(),
                            deployment.rules().warmUpDuration(),
                            GOSSIP_PERIOD,
                            (engine, avoided, backoffOver) -> {
                                policy.onProbeOwnership(
                                        events.now(), (int) engine, avoided, backoffOver);
                                scheduleActions();
                            },
                            (now, band, admittedShare) -> {
                                policy.onSheddingThreshold(now, band, admittedShare);
                                scheduleActions();
                            },
                            policyUnderTest.coordinationDefects());
            evaluateFleet(incarnation);
        }
        endpoints
                .values()
                .forEach(e -> rules.onEngineStartReported(number, e.engineId(), e.startedAt()));
        policy.onEndpointsUpdated(
                events.now(),
                new EndpointUpdate(EndpointUpdate.Kind.INITIAL, List.copyOf(endpoints.values())));
        scheduleActions();
    }

    String name() {
        return "m" + number;
    }

    private void evaluateFleet(int ownIncarnation) {
        if (ownIncarnation == incarnation && up) {
            for (int engine : endpoints.keySet()) {
                fleetCoordinator.updateEngine(
                        events.now(),
                        plan.zoneOf(engine),
                        engine,
                        policy.isUnavailable(engine),
                        policy.lastAttemptAt(engine),
                        policy.lastResponseAt(engine));
            }
            fleetCoordinator.evaluate(events.now(), policy.demand(events.now()));
            events.schedule(EVALUATION_INTERVAL, () -> evaluateFleet(ownIncarnation));
        }
    }

    /**
     * Sends this manager's digest to another one, with a network delay. Nothing is sent while this
     * manager is down, and nothing is received while the other one is.
     */
    void sendDigest(ManagerModel other) {
        if (fleetCoordinator != null && up) {
            byte[] digest = fleetCoordinator.encodeDigest(events.now());
            events.schedule(
                    drawDelay(),
                    () -> {
                        if (other.up && other.fleetCoordinator != null) {
                            other.fleetCoordinator.onDigest(events.now(), name(), digest);
                        }
                    });
        }
    }

    /** Passes the names of the managers that are up to the fleet coordinator. */
    void onViewChanged(List<String> names) {
        if (fleetCoordinator != null) {
            fleetCoordinator.onViewChanged(names);
        }
    }

    /** Kills the manager: its open requests fail, and its attempts continue at the engines. */
    void kill() {
        List<RuleChecker.ClientTry> unansweredTries = new ArrayList<>();
        for (OpenRequest openRequest : openRequests) {
            if (!openRequest.answered) {
                unansweredTries.add(openRequest.clientTry);
            }
        }
        rules.onManagerKilled(number, unansweredTries);
        List<OpenRequest> droppedRequests = new ArrayList<>(openRequests);
        openRequests.clear();
        up = false;
        incarnation++;
        droppedRequests.stream()
                .filter(openRequest -> !openRequest.answered)
                .forEach(openRequest -> clientListener.onFailed(openRequest.clientTry.request));
    }

    /** Sets a delay of the load reports in ticks, in addition to that of the network. */
    void setLoadReportDelay(long delay) {
        extraReportDelay = delay;
    }

    private long drawDelay() {
        return Math.max(1, plan.network().oneWayDelay().drawTime(random));
    }

    private void scheduleActions() {
        if (!actionsScheduled) {
            actionsScheduled = true;
            int ownIncarnation = incarnation;
            events.schedule(
                    0,
                    () -> {
                        actionsScheduled = false;
                        if (ownIncarnation == incarnation && up) {
                            policy.runPendingActions(events.now());
                        }
                    });
        }
    }

    /** Accepts a try of a request from its client. */
    void onRequest(GeneratedRequest request, long deadline) {
        OpenRequest openRequest =
                new OpenRequest(new RuleChecker.ClientTry(request, number, deadline));
        openRequest.requestId = requestIds.indexFor(openRequest);
        openRequests.add(openRequest);
        rules.onAccepted(openRequest.clientTry);
        int ownIncarnation = incarnation;
        events.schedule(deadline - events.now(), () -> onDeadline(openRequest, ownIncarnation));
        // 25 ms after the deadline, the checker's tolerance for late answers is over.
        events.schedule(
                deadline - events.now() + 250,
                () -> rules.onDeadlinePassed(events.now(), openRequest.clientTry));
        policy.onRequest(
                events.now(),
                new IncomingRequest(
                        openRequest.requestId,
                        request.trafficClass,
                        plan.tenants().size() > 1 ? request.tenant : 0,
                        request.orderingKey < 0 ? -1 : keyIds.indexFor(request.orderingKey),
                        deadline,
                        request.estimatedWork,
                        request.estimatedMemoryMb,
                        request.tableGroup,
                        false,
                        false));
        scheduleActions();
    }

    /**
     * Ends the attempts in flight, and fails the request if the policy has not answered it 10 ms
     * later.
     */
    private void onDeadline(OpenRequest openRequest, int ownIncarnation) {
        if (ownIncarnation != incarnation) {
            return;
        }
        for (ModelledAttempt attempt : List.copyOf(openRequest.attemptsInFlight)) {
            if (plan.managers().cancel()) {
                attempt.engine.cancel(attempt.runningAttempt);
            }
            attempt.end(AttemptOutcome.TIMED_OUT);
        }
        events.schedule(
                100,
                () -> {
                    if (ownIncarnation == incarnation && !openRequest.answered) {
                        fail(openRequest.requestId);
                        policy.onClientGone(events.now(), openRequest.requestId);
                        scheduleActions();
                    }
                });
    }

    /** Receives an update of the endpoint list for one engine. */
    void onEndpointUpdate(int engine, Lifecycle lifecycle, long startedAt) {
        if (!servesEngine(engine)) {
            return;
        }
        EndpointUpdate.Endpoint entry = endpoint(engine, lifecycle, startedAt);
        endpoints.put(engine, entry);
        if (up) {
            rules.onEndpointUpdate(events.now(), number, engine, lifecycle == Lifecycle.ACTIVE);
            rules.onEngineStartReported(number, engine, startedAt);
            policy.onEndpointsUpdated(
                    events.now(), new EndpointUpdate(EndpointUpdate.Kind.DELTA, List.of(entry)));
            scheduleActions();
        }
    }

    private EndpointUpdate.Endpoint endpoint(int engine, Lifecycle lifecycle, long startedAt) {
        double warmUpShare =
                cells == null || policyUnderTest.warmUpBySettings()
                        ? 0
                        : cells.warmUpShare(
                                null, plan.cellOf(number), stableHash(engine), zoneName(engine));
        return new EndpointUpdate.Endpoint(
                engine, stableHash(engine), 0, 0, 0, lifecycle, 1, startedAt, warmUpShare);
    }

    /**
     * Returns a hash of the engine that is the same at every manager, and whose order is unrelated
     * to that of the engines' numbers.
     */
    private static long stableHash(int engine) {
        return (engine + 1) * 2_654_435_761L & 0xFFFFFFFFL;
    }

    // Actions of the policy.

    @Override
    public void setGrantAndPriority(int requestId, int grantMb, int priority) {
        OpenRequest openRequest = requestIds.idOf(requestId);
        openRequest.grantMb = grantMb;
        openRequest.priority = priority;
        for (ModelledAttempt attempt : openRequest.attemptsInFlight) {
            events.schedule(
                    drawDelay(),
                    () -> attempt.engine.setPriority(attempt.runningAttempt, priority));
        }
    }

    @Override
    public void startAttempt(int requestId, int engine, long timeout) {
        OpenRequest openRequest = requestIds.idOf(requestId);
        EngineModel engineModel = engines.get(engine);
        rules.onAttemptSent(events.now(), openRequest.clientTry, engine);
        if (engineModel.state() != EngineModel.State.UP
                && engineModel.state() != EngineModel.State.DRAINING) {
            clientListener.onSentToFaultyEngine();
        }
        ModelledAttempt attempt =
                new ModelledAttempt(openRequest, engineModel, openRequest.attemptCount++);
        openRequest.attemptsInFlight.add(attempt);
        boolean newConnection =
                engineModel.state() == EngineModel.State.SILENT && random.nextBoolean();
        if (newConnection) {
            // A new connection to a machine that is gone is never established; a statement sent
            // on an existing connection is lost.
            events.schedule(CONNECT_TIMEOUT, () -> attempt.end(AttemptOutcome.CONNECT_FAILED));
        } else {
            events.schedule(drawDelay(), () -> engineModel.start(attempt.runningAttempt));
        }
    }

    @Override
    public void cancelAttempt(int requestId, int attemptNumber) {
        for (ModelledAttempt attempt : List.copyOf(requestIds.idOf(requestId).attemptsInFlight)) {
            if (attempt.attemptNumber == attemptNumber) {
                events.schedule(drawDelay(), () -> attempt.engine.cancel(attempt.runningAttempt));
                events.schedule(1, () -> attempt.end(AttemptOutcome.CANCELLED));
            }
        }
    }

    @Override
    public void reject(int requestId, long retryAfter) {
        OpenRequest openRequest = requestIds.idOf(requestId);
        if (!openRequest.answered) {
            openRequest.answered = true;
            rules.onAnswered(events.now(), openRequest.clientTry, true);
            clientListener.onRejected(openRequest.clientTry.request, retryAfter);
        }
    }

    @Override
    public void fail(int requestId) {
        OpenRequest openRequest = requestIds.idOf(requestId);
        if (!openRequest.answered) {
            openRequest.answered = true;
            rules.onAnswered(events.now(), openRequest.clientTry, false);
            clientListener.onFailed(openRequest.clientTry.request);
        }
    }

    @Override
    public void releaseRequest(int requestId) {
        openRequests.remove(requestIds.idOf(requestId));
        requestIds.release(requestId);
    }

    @Override
    public void releaseKey(int key) {
        keyIds.release(key);
    }

    @Override
    public void releaseEngine(int engine) {
        // Engines keep their numbers for the whole run.
    }

    @Override
    public void probeEngine(int engine) {
        EngineModel engineModel = engines.get(engine);
        int ownIncarnation = incarnation;
        boolean answering =
                engineModel.state() == EngineModel.State.UP
                        || engineModel.state() == EngineModel.State.DRAINING;
        LoadReport report =
                new LoadReport(
                        Double.NaN,
                        engineModel.memoryQueueLength(),
                        Double.NaN,
                        Double.NaN,
                        Double.NaN);
        events.schedule(
                answering ? 2 * drawDelay() + extraReportDelay : CONNECT_TIMEOUT,
                () -> {
                    if (ownIncarnation == incarnation) {
                        policy.onProbeResult(
                                events.now(),
                                engine,
                                answering ? AttemptOutcome.SUCCEEDED : AttemptOutcome.TIMED_OUT,
                                answering ? report : null);
                        scheduleActions();
                    }
                });
    }

    @Override
    public void scheduleWakeUp(long delay, long token) {
        int ownIncarnation = incarnation;
        events.schedule(
                Math.max(1, delay),
                () -> {
                    if (ownIncarnation == incarnation && up) {
                        policy.onWakeUp(events.now(), token);
                        scheduleActions();
                    }
                });
    }

    @Override
    public void log(String line) {
        // A simulated manager keeps no log.
    }
}
