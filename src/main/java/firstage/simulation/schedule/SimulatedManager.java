package firstage.simulation.schedule;

import firstage.lifecycle.ArrivalSequencer;
import firstage.lifecycle.AttemptStateMachine;
import firstage.lifecycle.AttemptStateMachine.CallFailure;
import firstage.lifecycle.AttemptStateMachine.EngineReply;
import firstage.lifecycle.AttemptStateMachine.HolderConnection;
import firstage.lifecycle.AttemptStateMachine.ReplyOrigin;
import firstage.lifecycle.AttemptStateMachine.Timeout;
import firstage.lifecycle.ClientCallStateMachine;
import firstage.lifecycle.EndProof;
import firstage.policy.WorkloadScheduler;
import firstage.policy.api.AttemptOutcome;
import firstage.policy.api.AttemptResult;
import firstage.policy.api.Deployment;
import firstage.policy.api.EndpointUpdate;
import firstage.policy.api.IncomingRequest;
import firstage.policy.api.PolicyActions;
import firstage.simulation.EventQueue;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * A manager in virtual time: the production {@link WorkloadScheduler}, {@link ArrivalSequencer} and
 * state machines of client calls and attempts, connected to simulated clients, connections and
 * engines. Times are ticks.
 */
final class SimulatedManager
        implements PolicyActions,
                ArrivalSequencer.ArrivalActions<SimulatedManager.SimulatedRequest> {
    private static final long DRAIN_GRACE = 1_000;

    /** Time after its deadline at which a request is answered if no attempt has completed it. */
    private static final long DEADLINE_ANSWER_DELAY = 350;

    private static final long POLL_TIMEOUT = 6_000;
    private static final long DELETE_TIMEOUT = 2_000;
    private static final long CONNECT_TIMEOUT = 2_500;

    /** Limit of the delivery delay of a statement whose connection breaks. */
    private static final long MAX_LATE_DELIVERY = 1_500;

    private static final int ATTEMPT_IDS_PER_INCARNATION = 100_000;

    /**
     * Time by which {@link InjectedDefect#UNWRITTEN_END_IS_OVER} shortens the quiet period of an
     * ordering key: a little more than an engine's retention time of 2 s.
     */
    private static final long QUIET_PERIOD_SHORTFALL = 20_500;

    /** A request, and its state at the manager. */
    static final class SimulatedRequest {
        final int id;
        final int trafficClass;
        final int orderingKey;
        final long deadline;
        final long runTime;
        boolean delivered;
        boolean completed;
        boolean clientAbsent;
        SimulatedClient client;
        int attemptCount;
        final List<SimulatedAttempt> attemptsInFlight = new ArrayList<>();

        SimulatedRequest(int id, int trafficClass, int orderingKey, long deadline, long runTime) {
            this.id = id;
            this.trafficClass = trafficClass;
            this.orderingKey = orderingKey;
            this.deadline = deadline;
            this.runTime = runTime;
        }
    }

    private final EventQueue events;
    private final RandomGenerator random;
    private final ScheduleRuleChecker ruleChecker;
    private final InjectedDefect defect;
    private final List<SimulatedEngine> engines;
    private final double faultProbability;
    private final SimulatedThread thread;
    private final WorkloadScheduler scheduler;
    private final ArrivalSequencer<SimulatedRequest> arrivalSequencer =
            new ArrivalSequencer<>(this);
    private final Map<Integer, SimulatedRequest> requests = new HashMap<>();
    private final boolean attemptsMayOverlap;
    private boolean pendingActionsDue;
    private int openRequests;
    private int openCalls;

    /**
     * Id of the next attempt; unique across all managers of a schedule, because engines still know
     * the attempts of a killed manager.
     */
    private int nextAttemptId;

    SimulatedManager(
            EventQueue events,
            RandomGenerator random,
            ScheduleRuleChecker ruleChecker,
            InjectedDefect defect,
            Deployment deployment,
            List<SimulatedEngine> engines,
            double faultProbability,
            boolean stallsBetweenReads) {
        this.events = events;
        this.random = random;
        this.ruleChecker = ruleChecker;
        this.defect = defect;
        this.engines = engines;
        this.faultProbability = faultProbability;
        nextAttemptId = ruleChecker.incarnation() * ATTEMPT_IDS_PER_INCARNATION;
        thread =
                new SimulatedThread(
                        events,
                        random,
                        ruleChecker,
                        stallsBetweenReads,
                        defect == InjectedDefect.ONE_ACCEPTED_PER_ROUND,
                        this::runPendingActions);
        attemptsMayOverlap = deployment.capabilities().hedging();
        scheduler = new WorkloadScheduler(deployment, this);
    }

    SimulatedThread thread() {
        return thread;
    }

    /** Kills the process; statements already in transit still reach the engines. */
    void kill() {
        thread.kill();
    }

    /**
     * Starts a shutdown, as SIGTERM does: the manager still accepts requests for a while and exits
     * at {@code endsAt}.
     */
    void shutDown(long endsAt) {
        thread.submit(
                () -> {
                    scheduler.onShutdown(events.now(), endsAt);
                    pendingActionsDue = true;
                });
    }

    private void runPendingActions() {
        if (pendingActionsDue) {
            pendingActionsDue = false;
            scheduler.runPendingActions(events.now());
        }
    }

    // ---- Client calls.
    /** Submits a request whose last byte has reached the machine to the I/O thread. */
    void onRequestReceived(SimulatedRequest request, boolean newConnection) {
        Runnable read =
                () -> {
                    openRequests++;
                    request.client = new SimulatedClient(request);
                    request.client.stateMachine.start();
                    runOnThreadAfter(request.deadline - events.now(), () -> onDeadline(request));
                    if (defect == InjectedDefect.DELIVERED_AS_READ) {
                        deliver(request, true);
                    } else {
                        arrivalSequencer.onRequestRead(
                                request,
                                request.orderingKey >= 0 ? (Object) request.orderingKey : null);
                    }
                };
        if (newConnection) {
            thread.submitOnNewConnection(read);
        } else {
            thread.submit(read);
        }
    }

    void onClientQuit(SimulatedRequest request) {
        thread.submit(
                () -> {
                    if (request.client != null) {
                        request.client.quit();
                    }
                });
    }

    private void handleClientGone(SimulatedRequest request) {
        if (!request.completed) {
            request.completed = true;
            openRequests--;
            ruleChecker.onClientLeft(request.id);
            if (request.delivered) {
                scheduler.onClientGone(events.now(), request.id);
            }
            cancelAttempts(request);
            pendingActionsDue = true;
        }
    }

    /**
     * A client and its call. The client polls the path that it receives, sometimes loses a
     * connection and polls again; some clients never poll.
     */
    private final class SimulatedClient implements ClientCallStateMachine.ClientCallActions {
        private final SimulatedRequest request;
        private final ClientCallStateMachine stateMachine = new ClientCallStateMachine(this);
        private final boolean neverPolls = random.nextInt(12) == 0;
        private int heldCalls = 1;
        private boolean hasPollPath;
        private boolean answered;
        private boolean released;
        private int timerGeneration;
        private int pollCount;

        private SimulatedClient(SimulatedRequest request) {
            this.request = request;
            openCalls++;
        }

        private void quit() {
            if (!released && !thread.isKilled()) {
                ruleChecker.onClientAbsent(events.now(), request.id);
                if (hasPollPath || heldCalls == 0) {
                    stateMachine.onClientCancelled();
                } else {
                    heldCalls = 0;
                    stateMachine.onFirstCallBroken();
                }
            }
        }

        private void pollLater(long delay) {
            if (!neverPolls && pollCount++ < 4) {
                runOnThreadAfter(
                        delay,
                        () -> {
                            if (!released) {
                                ruleChecker.onClientPresent(request.id);
                                heldCalls++;
                                stateMachine.onPoll();
                                breakConnectionLater();
                            }
                        });
            }
        }

        /** Breaks the connection of a held poll after a while, with the fault probability. */
        private void breakConnectionLater() {
            if (random.nextDouble() < faultProbability) {
                runOnThreadAfter(
                        random.nextLong(5_000),
                        () -> {
                            if (!released && heldCalls == 1 && !answered) {
                                ruleChecker.onClientAbsent(events.now(), request.id);
                                heldCalls = 0;
                                stateMachine.onLastPollBroken();
                                pollLater(100);
                            }
                        });
            }
        }

        @Override
        public void respondWithPollPath() {
            ruleChecker.onClientAbsent(events.now(), request.id);
            heldCalls = 0;
            hasPollPath = true;
            pollLater(20);
        }

        @Override
        public void respond() {
            if (heldCalls == 0) {
                ruleChecker.recordInvariantViolation(
                        "answer without a held call, batch " + request.id);
            }
            heldCalls = 0;
            if (!answered || defect == InjectedDefect.ANSWERED_TWICE) {
                answered = true;
                ruleChecker.onAnswered(events.now(), request.id);
            }
        }

        @Override
        public void startTimer(long delay) {
            int generation = ++timerGeneration;
            runOnThreadAfter(
                    delay,
                    () -> {
                        if (generation == timerGeneration) {
                            stateMachine.onTimeout();
                        }
                    });
        }

        @Override
        public void stopTimer() {
            timerGeneration++;
        }

        @Override
        public void closeHeldCalls() {
            heldCalls = 0;
        }

        @Override
        public void failHeldCalls() {
            // The client cancelled, so the response to these calls does not count as an answer.
            heldCalls = 0;
        }

        @Override
        public void markClientAbsent() {
            reportAbsence(true);
        }

        @Override
        public void markClientPresent() {
            reportAbsence(false);
        }

        private void reportAbsence(boolean absent) {
            request.clientAbsent = absent && defect != InjectedDefect.ABSENCE_IGNORED;
            if (request.delivered && !request.completed) {
                scheduler.onClientAbsence(events.now(), request.id, request.clientAbsent);
                pendingActionsDue = true;
            }
        }

        @Override
        public void markClientGone() {
            SimulatedManager.this.handleClientGone(request);
        }

        @Override
        public void release() {
            if (released) {
                ruleChecker.recordInvariantViolation("call released twice, batch " + request.id);
            }
            released = true;
            openCalls--;
            if (!answered && request.completed) {
                // The client never polled for the answer, so it counts as gone.
                ruleChecker.onClientLeft(request.id);
            }
        }
    }

    private void runOnThreadAfter(long delay, Runnable action) {
        events.schedule(delay, () -> thread.submit(action));
    }

    private void onDeadline(SimulatedRequest request) {
        if (defect == InjectedDefect.DEADLINE_IGNORED) {
            return;
        }
        List.copyOf(request.attemptsInFlight)
                .forEach(
                        attempt ->
                                attempt.stateMachine.abandon(
                                        events.now(), AttemptOutcome.TIMED_OUT));
        runOnThreadAfter(
                DEADLINE_ANSWER_DELAY,
                () -> {
                    if (!request.completed || defect == InjectedDefect.ANSWERED_TWICE) {
                        complete(request, false);
                        if (request.delivered) {
                            scheduler.onClientGone(events.now(), request.id);
                            pendingActionsDue = true;
                        }
                    }
                });
    }

    private void complete(SimulatedRequest request, boolean rejected) {
        if (!request.completed || defect == InjectedDefect.ANSWERED_TWICE) {
            if (!request.completed) {
                openRequests--;
            }
            request.completed = true;
            ruleChecker.onCompleted(events.now(), request.id, rejected);
            if (defect == InjectedDefect.ANSWERED_TWICE) {
                ruleChecker.onAnswered(events.now(), request.id);
            } else {
                request.client.stateMachine.onAnswerAvailable();
            }
        }
    }

    @Override
    public void requestReadBarrier(Object key) {
        thread.addBarrier(() -> arrivalSequencer.onReadBarrierPassed(key));
    }

    @Override
    public void deliver(SimulatedRequest request, boolean orderKnown) {
        pendingActionsDue = true;
        if (request.completed) {
            return;
        }
        request.delivered = true;
        requests.put(request.id, request);
        scheduler.onRequest(
                events.now(),
                new IncomingRequest(
                        request.id,
                        request.trafficClass,
                        0,
                        request.orderingKey,
                        request.deadline,
                        request.runTime,
                        64,
                        request.id % 5,
                        false,
                        !orderKnown));
    }

    void onEndpointChanged(int engine, EndpointUpdate.Lifecycle lifecycle) {
        thread.submit(
                () -> {
                    if (lifecycle == EndpointUpdate.Lifecycle.DRAINING) {
                        engines.get(engine).onDrainNotified(events.now());
                    }
                    scheduler.onEndpointsUpdated(
                            events.now(),
                            new EndpointUpdate(
                                    EndpointUpdate.Kind.DELTA,
                                    List.of(endpoint(engine, lifecycle))));
                    pendingActionsDue = true;
                });
    }

    /** Delivers an entry that names an engine again, as active and with a later start. */
    void onEndpointListedAgain(int engine) {
        thread.submit(
                () -> {
                    engines.get(engine).onListedAgain();
                    scheduler.onEndpointsUpdated(
                            events.now(),
                            new EndpointUpdate(
                                    EndpointUpdate.Kind.DELTA,
                                    List.of(
                                            endpoint(
                                                    engine,
                                                    EndpointUpdate.Lifecycle.ACTIVE,
                                                    events.now()))));
                    if (defect == InjectedDefect.LISTED_AGAIN_IS_OVER) {
                        endAttemptsAt(engine);
                    }
                    pendingActionsDue = true;
                });
    }

    private void endAttemptsAt(int engine) {
        for (SimulatedRequest request : List.copyOf(requests.values())) {
            List.copyOf(request.attemptsInFlight).stream()
                    .filter(attempt -> attempt.engineIndex == engine)
                    .forEach(
                            attempt ->
                                    attempt.reportEnd(
                                            AttemptOutcome.CONNECTION_LOST, 0, EndProof.NONE));
        }
    }

    /** Delivers a snapshot of the endpoint list, as a new coordinator sends it. */
    void onEndpointSnapshot() {
        thread.submit(
                () -> {
                    List<EndpointUpdate.Endpoint> endpoints = new ArrayList<>();
                    for (int engine = 0; engine < engines.size(); engine++) {
                        endpoints.add(
                                endpoint(
                                        engine,
                                        engines.get(engine).timeSinceDrainNotice(events.now()) >= 0
                                                ? EndpointUpdate.Lifecycle.DRAINING
                                                : EndpointUpdate.Lifecycle.ACTIVE));
                    }
                    scheduler.onEndpointsUpdated(
                            events.now(),
                            new EndpointUpdate(EndpointUpdate.Kind.SNAPSHOT, endpoints));
                    pendingActionsDue = true;
                });
    }

    void setInitialEndpoints(int count) {
        List<EndpointUpdate.Endpoint> endpoints = new ArrayList<>();
        for (int engine = 0; engine < count; engine++) {
            endpoints.add(endpoint(engine, EndpointUpdate.Lifecycle.ACTIVE));
        }
        scheduler.onEndpointsUpdated(
                events.now(), new EndpointUpdate(EndpointUpdate.Kind.SNAPSHOT, endpoints));
        scheduler.runPendingActions(events.now());
    }

    private static EndpointUpdate.Endpoint endpoint(
            int engine, EndpointUpdate.Lifecycle lifecycle) {
        return endpoint(engine, lifecycle, 0);
    }

    private static EndpointUpdate.Endpoint endpoint(
            int engine, EndpointUpdate.Lifecycle lifecycle, long startedAt) {
        return new EndpointUpdate.Endpoint(engine, engine + 1, 0, 0, 0, lifecycle, 1, startedAt);
    }

    // ---- Actions of the scheduler.
    @Override
    public void setGrantAndPriority(int requestId, int grantMb, int priority) {}

    @Override
    public void startAttempt(int requestId, int engine, long timeout) {
        SimulatedRequest request = requests.get(requestId);
        SimulatedAttempt attempt = new SimulatedAttempt(request, request.attemptCount++, engine);
        request.attemptsInFlight.add(attempt);
        events.schedule(0, attempt.stateMachine::start);
    }

    @Override
    public void cancelAttempt(int requestId, int attemptNumber) {
        List.copyOf(requests.get(requestId).attemptsInFlight).stream()
                .filter(attempt -> attempt.attemptNumber == attemptNumber)
                .forEach(
                        attempt ->
                                attempt.stateMachine.abandon(
                                        events.now(), AttemptOutcome.CANCELLED));
    }

    private void cancelAttempts(SimulatedRequest request) {
        List.copyOf(request.attemptsInFlight)
                .forEach(
                        attempt ->
                                attempt.stateMachine.abandon(
                                        events.now(), AttemptOutcome.CANCELLED));
    }

    @Override
    public void reject(int requestId, long retryAfter) {
        SimulatedRequest request = requests.get(requestId);
        complete(request, true);
        cancelAttempts(request);
    }

    @Override
    public void fail(int requestId) {
        complete(requests.get(requestId), false);
    }

    @Override
    public void releaseRequest(int requestId) {
        requests.remove(requestId);
    }

    @Override
    public void releaseKey(int key) {}

    @Override
    public void releaseEngine(int engine) {}

    @Override
    public void probeEngine(int engine) {
        runOnThreadAfter(
                20,
                () -> {
                    scheduler.onProbeResult(events.now(), engine, AttemptOutcome.SUCCEEDED, null);
                    pendingActionsDue = true;
                });
    }

    @Override
    public void scheduleWakeUp(long delay, long token) {
        runOnThreadAfter(
                delay,
                () -> {
                    scheduler.onWakeUp(events.now(), token);
                    pendingActionsDue = true;
                });
    }

    @Override
    public void log(String line) {}

    /** Records a violation for all state that the manager has not released by the end. */
    void checkAllReleased() {
        for (int engine = 0; engine < engines.size(); engine++) {
            if (scheduler.attemptsInFlight(engine) != 0) {
                ruleChecker.recordInvariantViolation(
                        scheduler.attemptsInFlight(engine)
                                + " dispatches in flight at engine "
                                + engine);
            }
        }
        if (!requests.isEmpty()) {
            ruleChecker.recordInvariantViolation(requests.size() + " batches not released");
        }
        if (arrivalSequencer.undeliveredCount() != 0 || openRequests != 0 || openCalls != 0) {
            ruleChecker.recordInvariantViolation(
                    arrivalSequencer.undeliveredCount()
                            + " batches waiting for a read barrier, "
                            + openRequests
                            + " open batches, "
                            + openCalls
                            + " open client calls");
        }
    }

    /** An attempt over simulated connections: each call may fail, be late, or lose its reply. */
    private final class SimulatedAttempt implements AttemptStateMachine.AttemptActions {
        private final SimulatedRequest request;
        private final int attemptNumber;
        private final SimulatedEngine engine;
        private final int engineIndex;
        private final int attemptId = nextAttemptId++;
        private final long sentAt = events.now();
        private final AttemptStateMachine stateMachine;

        /** Number of replacements of the engine's process when the statement was written. */
        private int holder;

        private boolean statementUnanswered = true;
        private int deletesSent;

        private SimulatedAttempt(SimulatedRequest request, int attemptNumber, int engineIndex) {
            this.request = request;
            this.attemptNumber = attemptNumber;
            this.engineIndex = engineIndex;
            engine = engines.get(engineIndex);
            stateMachine =
                    new AttemptStateMachine(this, request.orderingKey >= 0, attemptsMayOverlap);
        }

        private boolean drawFault() {
            return random.nextDouble() < faultProbability;
        }

        private long drawOneWayDelay() {
            return 2 + random.nextInt(14);
        }

        private void onManagerThread(Runnable action) {
            thread.submit(
                    () -> {
                        action.run();
                        pendingActionsDue = true;
                    });
        }

        @Override
        public void sendStatement() {
            boolean refused =
                    engine.availability() == SimulatedEngine.Availability.DOWN
                            || engine.availability() == SimulatedEngine.Availability.DRAINING
                                    && random.nextBoolean();
            boolean unresponsive =
                    engine.availability() == SimulatedEngine.Availability.UNRESPONSIVE
                            && random.nextBoolean();
            long connectDelay =
                    random.nextInt(10) == 0
                            ? random.nextInt((int) CONNECT_TIMEOUT)
                            : 2 * drawOneWayDelay();
            events.schedule(
                    unresponsive ? CONNECT_TIMEOUT : connectDelay,
                    () ->
                            onManagerThread(
                                    () -> {
                                        if (refused || unresponsive) {
                                            stateMachine.onStatementFailed(
                                                    events.now(),
                                                    refused
                                                            ? CallFailure.CONNECTION_REFUSED
                                                            : CallFailure.CONNECT_TIMEOUT);
                                        } else if (drawFault()) {
                                            stateMachine.onStatementFailed(
                                                    events.now(), CallFailure.RESET_BEFORE_SEND);
                                        } else if (!stateMachine.shouldSendStatement()
                                                || request.clientAbsent
                                                || engine.timeSinceDrainNotice(events.now()) >= 0
                                                        && defect != InjectedDefect.DRAIN_IGNORED) {
                                            stateMachine.onStatementFailed(
                                                    events.now(), CallFailure.NOT_SENT);
                                        } else {
                                            writeStatement();
                                        }
                                    }));
        }

        private void writeStatement() {
            ruleChecker.onStatementSent(events.now(), request.id);
            stateMachine.onStatementWritten(events.now());
            holder = engine.replacements();
            long sinceDrain = engine.timeSinceDrainNotice(events.now());
            boolean[] answered = {false};
            boolean connectionBreaks = drawFault();
            boolean reachesEngine = !connectionBreaks || random.nextBoolean();
            // The statement may still be in transit after the connection broke.
            long deliveryDelay =
                    connectionBreaks && random.nextBoolean()
                            ? random.nextLong(MAX_LATE_DELIVERY)
                            : drawOneWayDelay();
            if (reachesEngine
                    && engine.availability() != SimulatedEngine.Availability.UNRESPONSIVE) {
                deliverToHolder(
                        deliveryDelay,
                        () ->
                                engine.receiveStatement(
                                        request.id,
                                        attemptId,
                                        sinceDrain,
                                        DRAIN_GRACE,
                                        request.runTime,
                                        request.deadline,
                                        reply -> {
                                            if (!connectionBreaks) {
                                                deliverReply(
                                                        answered,
                                                        () -> {
                                                            statementUnanswered = false;
                                                            stateMachine.onStatementReply(
                                                                    events.now(), reply);
                                                        },
                                                        failure ->
                                                                stateMachine.onStatementFailed(
                                                                        events.now(), failure));
                                            }
                                        }));
            }
            scheduleFailure(
                    connectionBreaks ? 2 * drawOneWayDelay() : POLL_TIMEOUT,
                    connectionBreaks ? CallFailure.CONNECTION_ENDED : CallFailure.REPLY_LOST,
                    answered,
                    failure -> {
                        if (defect == InjectedDefect.BROKEN_NEVER_RAN) {
                            reportEnd(AttemptOutcome.CONNECT_FAILED, 0, EndProof.NONE);
                        } else {
                            stateMachine.onStatementFailed(events.now(), failure);
                        }
                    });
        }

        /** Delivers a statement unless its connection leads to a machine that was cut off. */
        private void deliverToHolder(long delay, Runnable delivery) {
            events.schedule(
                    delay,
                    () -> {
                        if (holder == engine.replacements()) {
                            delivery.run();
                        }
                    });
        }

        /** Returns whether calls still reach the process that holds the statement. */
        private boolean reachesHolder() {
            return holder == engine.replacements() || defect == InjectedDefect.ANY_PROCESS_PROVES;
        }

        private ReplyOrigin replyOrigin() {
            return reachesHolder() ? ReplyOrigin.HOLDER : ReplyOrigin.UNCERTAIN;
        }

        private interface FailureHandler {
            void onFailed(CallFailure failure);
        }

        /** Delivers a reply to the manager whole or unreadable, or drops it. */
        private void deliverReply(
                boolean[] answered, Runnable onReply, FailureHandler failureHandler) {
            if (answered[0] || drawFault() && random.nextBoolean()) {
                return;
            }
            boolean unreadable = drawFault();
            events.schedule(
                    drawOneWayDelay(),
                    () ->
                            onManagerThread(
                                    () -> {
                                        if (!answered[0]) {
                                            answered[0] = true;
                                            if (unreadable) {
                                                failureHandler.onFailed(
                                                        CallFailure.REPLY_UNREADABLE);
                                            } else {
                                                onReply.run();
                                            }
                                        }
                                    }));
        }

        private void scheduleFailure(
                long timeout,
                CallFailure failure,
                boolean[] answered,
                FailureHandler failureHandler) {
            events.schedule(
                    timeout,
                    () ->
                            onManagerThread(
                                    () -> {
                                        if (!answered[0]) {
                                            answered[0] = true;
                                            failureHandler.onFailed(failure);
                                        }
                                    }));
        }

        private void sendCall(
                long timeout,
                boolean newConnection,
                Consumer<boolean[]> send,
                FailureHandler failureHandler) {
            boolean[] answered = {false};
            boolean refused =
                    engine.availability() == SimulatedEngine.Availability.DOWN
                            || newConnection
                                    && engine.availability()
                                            == SimulatedEngine.Availability.DRAINING
                                    && random.nextBoolean();
            if (refused) {
                answered[0] = true;
                events.schedule(
                        2 * drawOneWayDelay(),
                        () ->
                                onManagerThread(
                                        () ->
                                                failureHandler.onFailed(
                                                        CallFailure.CONNECTION_REFUSED)));
                return;
            }
            boolean connectionBreaks = drawFault();
            if (engine.availability() != SimulatedEngine.Availability.UNRESPONSIVE
                    && (!connectionBreaks || random.nextBoolean())) {
                events.schedule(drawOneWayDelay(), () -> send.accept(answered));
            }
            scheduleFailure(
                    connectionBreaks ? 2 * drawOneWayDelay() : timeout,
                    connectionBreaks ? CallFailure.CONNECTION_ENDED : CallFailure.REPLY_LOST,
                    answered,
                    failureHandler);
        }

        @Override
        public void poll(boolean newConnection) {
            sendCall(
                    POLL_TIMEOUT,
                    newConnection,
                    answered ->
                            engine.poll(
                                    attemptId,
                                    reply ->
                                            deliverReply(
                                                    answered,
                                                    () -> {
                                                        boolean unknownAtEngine =
                                                                statementUnanswered
                                                                        && reply
                                                                                == EngineReply
                                                                                        .FAILED;
                                                        statementUnanswered &=
                                                                reply == EngineReply.FAILED;
                                                        if (unknownAtEngine
                                                                && defect
                                                                        == InjectedDefect
                                                                                .UNKNOWN_IS_OVER) {
                                                            reportEnd(
                                                                    AttemptOutcome.FAILED,
                                                                    0,
                                                                    EndProof.NONE);
                                                        } else {
                                                            stateMachine.onReply(
                                                                    events.now(),
                                                                    reply,
                                                                    replyOrigin());
                                                        }
                                                    },
                                                    failure ->
                                                            stateMachine.onCallFailed(
                                                                    events.now(), failure))),
                    this::handleCallFailure);
        }

        private void handleCallFailure(CallFailure failure) {
            if (failure == CallFailure.CONNECTION_REFUSED
                    && defect == InjectedDefect.REFUSED_IS_OVER) {
                reportEnd(AttemptOutcome.CONNECTION_LOST, 0, EndProof.NONE);
            } else {
                stateMachine.onCallFailed(events.now(), failure);
            }
        }

        @Override
        public void fetchPage(int page, boolean newConnection) {
            sendCall(
                    POLL_TIMEOUT,
                    newConnection,
                    answered ->
                            engine.fetchPage(
                                    attemptId,
                                    reply ->
                                            deliverReply(
                                                    answered,
                                                    () ->
                                                            stateMachine.onReply(
                                                                    events.now(),
                                                                    reply,
                                                                    replyOrigin()),
                                                    failure ->
                                                            stateMachine.onCallFailed(
                                                                    events.now(), failure))),
                    this::handleCallFailure);
        }

        @Override
        public void sendDelete(boolean newConnection) {
            if (deletesSent++ > 0 && defect == InjectedDefect.UNWRITTEN_END_IS_FORGOTTEN) {
                return;
            }
            sendCall(
                    DELETE_TIMEOUT,
                    newConnection,
                    answered ->
                            engine.delete(
                                    attemptId,
                                    () ->
                                            deliverReply(
                                                    answered,
                                                    () -> {
                                                        if (defect
                                                                == InjectedDefect.DELETED_IS_OVER) {
                                                            reportEnd(
                                                                    AttemptOutcome.CANCELLED,
                                                                    0,
                                                                    EndProof.NONE);
                                                        } else {
                                                            stateMachine.onDeleteAcknowledged(
                                                                    events.now(), replyOrigin());
                                                        }
                                                    },
                                                    failure ->
                                                            stateMachine.onDeleteFailed(
                                                                    events.now(), failure))),
                    failure -> stateMachine.onDeleteFailed(events.now(), failure));
        }

        @Override
        public void startTimer(long delay, Timeout timeout) {
            runOnThreadAfter(
                    delay,
                    () -> {
                        stateMachine.onTimeout(events.now(), timeout);
                        pendingActionsDue = true;
                    });
        }

        @Override
        public boolean hasOpenConnection() {
            // Random, because other attempts may or may not hold open connections to this engine.
            return engine.availability() != SimulatedEngine.Availability.DOWN
                    && random.nextBoolean();
        }

        @Override
        public HolderConnection holderConnection() {
            return reachesHolder() ? HolderConnection.READY : HolderConnection.NONE;
        }

        @Override
        public boolean isEndAwaited() {
            return !request.completed
                    || defect == InjectedDefect.ABANDONED_IS_OVER
                    || defect == InjectedDefect.UNWRITTEN_END_IS_OVER
                    || defect == InjectedDefect.UNWRITTEN_END_IS_FORGOTTEN;
        }

        @Override
        public long deadline() {
            return defect == InjectedDefect.UNWRITTEN_END_IS_OVER
                            || defect == InjectedDefect.UNWRITTEN_END_IS_FORGOTTEN
                    ? 0
                    : request.deadline;
        }

        @Override
        public void confirmEnd(EndProof proof) {
            if (!request.completed) {
                pendingActionsDue = true;
                scheduler.onAttemptEndConfirmed(events.now(), request.id, attemptNumber);
            }
        }

        @Override
        public void release() {}

        @Override
        public void reportEnd(AttemptOutcome outcome, long quietPeriod, EndProof proof) {
            if (!request.attemptsInFlight.remove(this)) {
                return;
            }
            if (outcome == AttemptOutcome.SUCCEEDED) {
                complete(request, false);
            }
            pendingActionsDue = true;
            scheduler.onAttemptResult(
                    events.now(),
                    new AttemptResult(
                            request.id,
                            attemptNumber,
                            engineIndex,
                            outcome,
                            events.now() - sentAt,
                            0,
                            0,
                            request.completed,
                            null,
                            defect == InjectedDefect.ABANDONED_IS_OVER
                                            || defect == InjectedDefect.UNCONFIRMED_IS_OVER
                                                    && request.orderingKey < 0
                                    ? 0
                                    : defect == InjectedDefect.UNWRITTEN_END_IS_OVER
                                            ? Math.max(0, quietPeriod - QUIET_PERIOD_SHORTFALL)
                                            : quietPeriod));
            if (outcome == AttemptOutcome.SUCCEEDED) {
                cancelAttempts(request);
            }
        }
    }
}
