package firstage.policy;

import firstage.policy.api.AttemptOutcome;
import firstage.policy.api.AttemptProgress;
import firstage.policy.api.AttemptResult;
import firstage.policy.api.DemandHistogram;
import firstage.policy.api.Deployment;
import firstage.policy.api.EndpointUpdate;
import firstage.policy.api.IncomingRequest;
import firstage.policy.api.LoadReport;
import firstage.policy.api.PolicyActions;
import firstage.policy.api.SchedulingPolicy;
import firstage.policy.api.TrafficClass;
import firstage.policy.state.Attempt;
import firstage.policy.state.EngineState;
import firstage.policy.state.RequestState;
import firstage.policy.state.TrafficClassStats;
import firstage.util.Ticks;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * Scheduling policy of one workload manager. Passes events to the other classes of this package in
 * a fixed order and executes their decisions. Callers call {@link #runPendingActions} after all
 * events of one point in time. Times are in ticks.
 *
 * <p>In the normal case (docs/design.md) a request reserves its memory grant and its threads within
 * this manager's limits at one engine, or waits in a bounded FIFO queue until there is capacity.
 */
public final class WorkloadScheduler implements SchedulingPolicy {
    /** Time between evaluations of conditions that no event reports. */
    private static final long EVALUATION_INTERVAL = Ticks.ofMillis(10);

    /** Maximum time between passes over the queue if there are no events. */
    private static final long QUEUE_PASS_INTERVAL = Ticks.ofMillis(50);

    private final PolicyActions actions;
    private final Deployment.Capabilities capabilities;
    private final long progressInterval;
    private final List<TrafficClassStats> trafficClasses = new ArrayList<>();
    private final Map<Integer, RequestState> requests = new HashMap<>();
    private final DemandHistogram demand = new DemandHistogram();

    private final EngineRegistry engines;
    private final TenantQuotas quotas;
    private final SheddingThreshold shedding;
    private final KeyOrdering keys;
    private final AdmissionQueue queue;
    private final RetryPolicy retries;
    private final StuckAttemptDetector stuckAttempts;
    private final PriorityAssigner priorities;
    private final LatencyTracker latency = new LatencyTracker();
    private final ConcurrencyLimiter limiter;
    private final GrantEstimator grants;
    private final SlowStartBudget slowStart;
    private final OutlierDetector outliers = new OutlierDetector();
    private final LoadReportTracker loadReports = new LoadReportTracker();
    private final LoadProbing probing;
    private final EngineSelector selector;

    private long acceptedRequests;

    /** Time of the next evaluation, in ticks; 0 if one is due. */
    private long nextEvaluation;

    private long nextQueuePass;
    private long nextDecay;
    private boolean subscriptionDue;
    private boolean queuePassDue;

    /**
     * Creates the scheduler of one manager, which knows no engines yet.
     *
     * @param deployment configuration of the deployment at start
     * @param actions executes the decisions
     */
    public WorkloadScheduler(Deployment deployment, PolicyActions actions) {
        this.actions = actions;
        RandomGenerator random =
                RandomGeneratorFactory.of("L64X128MixRandom").create(deployment.seed());
        Deployment.Rules rules = deployment.rules();
        int rank = deployment.rank();
        int managers = deployment.managers();
        capabilities = deployment.capabilities();
        progressInterval = deployment.progressInterval();
        subscriptionDue = deployment.subscribesToEndpoints();
        for (TrafficClass trafficClass : deployment.trafficClasses()) {
            trafficClasses.add(LatencyTracker.newStats(trafficClass));
        }
        engines = new EngineRegistry(rules);
        limiter = new ConcurrencyLimiter(deployment.machineTypes(), managers);
        quotas = new TenantQuotas(deployment.tenantRates(), limiter.quotaShare());
        shedding = new SheddingThreshold(random);
        keys = new KeyOrdering(rules.keyQuietPeriod());
        queue = new AdmissionQueue(latency);
        retries = new RetryPolicy(capabilities, rules);
        stuckAttempts = new StuckAttemptDetector(capabilities, retries, progressInterval);
        priorities = new PriorityAssigner(trafficClasses);
        grants = new GrantEstimator(deployment.maxGrantShare());
        slowStart = new SlowStartBudget(rules, rank, managers);
        EngineEligibility eligibility = new EngineEligibility(slowStart, limiter);
        probing = new LoadProbing(deployment, random, actions, eligibility, limiter, latency);
        selector =
                new EngineSelector(
                        eligibility,
                        retries,
                        limiter,
                        latency,
                        slowStart,
                        grants,
                        priorities,
                        probing,
                        loadReports,
                        new TableAffinity(random, rank, managers),
                        new EngineSelector.SelectionSettings(
                                deployment.zone(),
                                deployment.crossZoneCosts(),
                                capabilities.priorities()));
    }

    // ---- Events of requests and attempts

    @Override
    public void onRequest(long now, IncomingRequest incoming) {
        TrafficClassStats stats = trafficClasses.get(incoming.trafficClass());
        RequestState request = new RequestState(incoming, stats, acceptedRequests++, now);
        keys.onRequest(now, request, actions);
        request.overQuota = !quotas.tryAcquire(incoming.tenant());
        probing.onRequest(stats.trafficClass);
        request.setObjective();
        stats.recordEstimate(incoming.estimatedWork());
        requests.put(incoming.requestId(), request);
        queuePassDue = true;
        retries.recordAccepted(now);
        request.setPriorityBand();
        demand.arrivedWork(request.priorityBand, request.expectedWork());
        // A request of unknown order could violate the order of its key unnoticed; a rejection is
        // safe.
        if (keys.isOrderUnknown(request) || shedding.shedsOnArrival(request)) {
            rejectOrFail(request);
        } else {
            queue.add(request);
        }
    }

    @Override
    public void onAttemptResult(long now, AttemptResult result) {
        RequestState request = requests.get(result.requestId());
        Attempt attempt = request == null ? null : request.attemptInFlight(result.attemptNumber());
        if (attempt == null) {
            return;
        }
        EngineState engine = attempt.engine;
        AttemptOutcome outcome = result.outcome();
        request.attemptsInFlight.remove(attempt);
        engine.release(attempt);
        queuePassDue = true;
        if (outcome.mayHaveRun) {
            request.recordPossibleExecution(attempt);
        }
        outliers.onOutcome(now, request, engine, outcome);
        if (outcome == AttemptOutcome.REFUSED) {
            limiter.markSaturated(now, engine);
        } else if (outcome == AttemptOutcome.TIMED_OUT && OutlierDetector.isUsable(engine)) {
            // Timeouts are the only sign of saturation if an engine returns no results.
            latency.recordTimeout(now, attempt, slowStart.capacityShare(now, engine));
        } else if (outcome == AttemptOutcome.SUCCEEDED) {
            engine.recordProgress(now, attempt);
            learnFromSuccess(now, attempt, result);
        }
        recordLoad(now, engine, result.loadReport());
        // A failure may be reported for a cancelled attempt that still runs.
        boolean mayStillRun = outcome.mayHaveRun && outcome != AttemptOutcome.SUCCEEDED;
        keys.onAttemptEnded(now, request, mayStillRun, result.mayStillRunFor());
        request.recordUnconfirmedEnd(now, attempt.number, result.mayStillRunFor());
        if (result.requestClosed() || request.closed) {
            close(request);
        } else if (request.attemptsInFlight.isEmpty()) {
            if (retries.mayStartAttempt(now, request) && now < queue.lastStartAt(request)) {
                queue.add(request);
            } else {
                rejectOrFail(request);
            }
        }
    }

    @Override
    public void onAttemptEndConfirmed(long now, int requestId, int attemptNumber) {
        Optional.ofNullable(requests.get(requestId))
                .ifPresent(request -> request.confirmEnd(attemptNumber));
        queuePassDue = true;
    }

    private void learnFromSuccess(long now, Attempt attempt, AttemptResult result) {
        EngineState engine = attempt.engine;
        TrafficClassStats stats = attempt.request.classStats;
        double latencyPerWork = latency.recordForClass(attempt, result);
        grants.recordSuccess(attempt, result, limiter.isSaturated(now, engine, latency));
        if (result.actualMemoryMb() > 0) {
            stats.meanMemoryMb.add(result.actualMemoryMb());
            latency.onActualWorkReported(stats);
            if (GrantEstimator.spilledForLackOfMemory(attempt, result)) {
                limiter.markSaturated(now, engine);
                limiter.shrinkMemorySlice(now, engine);
            }
        }
        double ratio = latencyPerWork / stats.bestLatencyRatio();
        latency.recordSuccess(attempt, ratio, slowStart.capacityShare(now, engine));
        if (latency.isLatencyLow(ratio, engine)) {
            limiter.grow(attempt);
        }
    }

    @Override
    public void onAttemptProgress(long now, AttemptProgress progress) {
        RequestState request = requests.get(progress.requestId());
        Attempt attempt =
                request == null ? null : request.attemptInFlight(progress.attemptNumber());
        if (attempt == null) {
            return;
        }
        EngineState engine = attempt.engine;
        engine.recordProgress(now, attempt);
        outliers.onSignal(now, engine, OutlierDetector.Signal.PROGRESS);
        attempt.blockedByTableLoad = progress.kind() == AttemptProgress.Kind.WAITING_FOR_TABLE_LOAD;
        attempt.queuedForMemory = progress.kind() == AttemptProgress.Kind.WAITING_FOR_MEMORY;
        switch (progress.kind()) {
            case FRACTION_DONE -> {
                attempt.fractionDone = Math.max(progress.amount(), attempt.fractionDone);
                latency.recordProgress(now, attempt, slowStart.capacityShare(now, engine));
                applyRemedyIfStuck(now, attempt);
            }
            case SPILLING -> attempt.spilled = true;
            case WAITING_FOR_MEMORY -> {
                grants.onMemoryWait(attempt);
                attempt.wasBlocked = true;
                limiter.markSaturated(now, engine);
                limiter.shrinkMemorySlice(now, engine);
            }
            case WAITING_FOR_TABLE_LOAD -> {
                attempt.wasBlocked = true;
                engine.tableLoadsUntil.put(
                        request.incoming.tableGroup(), now + 2 * progressInterval);
            }
        }
    }

    @Override
    public void onClientGone(long now, int requestId) {
        Optional.ofNullable(requests.get(requestId)).ifPresent(this::close);
    }

    @Override
    public void onClientAbsence(long now, int requestId, boolean absent) {
        Optional.ofNullable(requests.get(requestId))
                .ifPresent(request -> request.clientAbsent = absent);
        queuePassDue = true;
    }

    // ---- Events of engines

    @Override
    public void onEndpointsUpdated(long now, EndpointUpdate update) {
        slowStart.onEndpoints(now);
        subscriptionDue |= update.kind() == EndpointUpdate.Kind.FAILED;
        if (update.kind() == EndpointUpdate.Kind.SNAPSHOT
                || update.kind() == EndpointUpdate.Kind.INITIAL) {
            engines.markAllGone();
        }
        queuePassDue = true;
        for (EndpointUpdate.Endpoint endpoint : update.endpoints()) {
            EngineState engine = engines.getOrCreate(endpoint.engineId());
            if (engine.applyEndpoint(endpoint)) {
                outliers.onSignal(now, engine, OutlierDetector.Signal.RESTARTED);
            }
            if (engine.cores == 0 || engine.machineType != endpoint.machineType()) {
                limiter.initialise(engine, endpoint.machineType());
            }
        }
    }

    @Override
    public void onProbeResult(long now, int engineId, AttemptOutcome outcome, LoadReport report) {
        EngineState engine = engines.getOrCreate(engineId);
        if (outcome == AttemptOutcome.CONNECT_FAILED) {
            outliers.onSignal(now, engine, OutlierDetector.Signal.UNREACHABLE);
        }
        recordLoad(now, engine, report);
        queuePassDue = true;
    }

    private void recordLoad(long now, EngineState engine, LoadReport report) {
        if (report != null && loadReports.record(now, engine, report)) {
            limiter.markSaturated(now, engine);
        }
    }

    // ---- Events of fleet control

    @Override
    public void onQuotaChanged(long now, double share) {
        limiter.onQuotaChanged(share, engines.all());
        queuePassDue = true;
    }

    @Override
    public void onSheddingThreshold(long now, int band, double admittedShare) {
        shedding.set(band, admittedShare);
        queuePassDue = true;
    }

    @Override
    public void onProbeOwnership(
            long now, int engineId, boolean probedByOthers, boolean mayProbeNow) {
        outliers.onProbeOwnership(now, engines.getOrCreate(engineId), probedByOthers, mayProbeNow);
        queuePassDue = true;
    }

    @Override
    public void onShutdown(long now, long endsAt) {
        queue.onShutdown(endsAt);
    }

    @Override
    public void onWakeUp(long now, long token) {
        nextEvaluation = 0;
    }

    // ---- Queries

    @Override
    public DemandHistogram demand(long now) {
        List<EngineState> usable =
                engines.all().stream().filter(OutlierDetector::isUsable).toList();
        demand.runningThreads(
                usable.stream().mapToInt(engine -> engine.reservedThreads).sum(),
                usable.stream()
                        .mapToDouble(
                                engine ->
                                        limiter.threadCapacity(
                                                engine, slowStart.capacityShare(now, engine)))
                        .sum());
        return demand;
    }

    @Override
    public int attemptsInFlight(int engineId) {
        return engines.contains(engineId)
                ? engines.getOrCreate(engineId).attemptsInFlight.size()
                : 0;
    }

    @Override
    public boolean isUnavailable(int engineId) {
        return engines.contains(engineId)
                && OutlierDetector.isUnavailable(engines.getOrCreate(engineId));
    }

    @Override
    public long lastAttemptAt(int engineId) {
        return engines.contains(engineId) ? engines.getOrCreate(engineId).lastAttemptAt : 0;
    }

    @Override
    public long lastResponseAt(int engineId) {
        return engines.contains(engineId) ? engines.getOrCreate(engineId).lastResponseAt : 0;
    }

    // ---- Evaluation and queue passes

    @Override
    public void runPendingActions(long now) {
        if (subscriptionDue) {
            actions.subscribeToEndpoints();
            subscriptionDue = false;
        }
        if (nextEvaluation == 0) {
            evaluate(now);
        }
        // A pass may scan all engines for each request, so it runs only after events and at
        // intervals.
        if (queuePassDue || now >= nextQueuePass) {
            runQueuePass(now);
        }
        if (nextEvaluation == 0 && (!requests.isEmpty() || !keys.isEmpty())) {
            nextEvaluation = now + EVALUATION_INTERVAL;
            actions.scheduleWakeUp(EVALUATION_INTERVAL, 0);
        }
        queuePassDue = false;
    }

    /**
     * Checks conditions that no event reports: unresponsive engines, expired backoffs, stuck
     * attempts.
     */
    private void evaluate(long now) {
        boolean decay = now >= nextDecay;
        if (decay) {
            latency.decay(trafficClasses);
            quotas.refill(LatencyTracker.DECAY_INTERVAL);
            nextDecay = now + LatencyTracker.DECAY_INTERVAL;
        }
        if (queue.isPastShutdown(now)) {
            // Requests without an answer by the shutdown would never get one here; another manager
            // can still run them.
            List.copyOf(requests.values()).stream()
                    .filter(request -> !request.closed && retries.mayReject(request))
                    .forEach(this::rejectOrFail);
        }
        for (EngineState engine : engines.all()) {
            if (decay) {
                adjustLimits(now, engine);
                latency.decay(engine);
            }
            outliers.checkBackoff(now, engine);
            for (int i = 0; i < engine.attemptsInFlight.size(); i++) {
                Attempt attempt = engine.attemptsInFlight.get(i);
                if (stuckAttempts.isEngineSilent(now, attempt)) {
                    outliers.onSignal(now, engine, OutlierDetector.Signal.SILENCE);
                }
                applyRemedyIfStuck(now, attempt);
            }
        }
        engines.releaseGone(now, actions);
        keys.releaseIdle(now, actions);
    }

    private void adjustLimits(long now, EngineState engine) {
        if (latency.isSlow(engine)) {
            limiter.markSaturated(now, engine);
            limiter.shrinkThreadLimit(now, engine);
        } else if (queue.isCongested() && limiter.isSaturated(now, engine, latency)) {
            // While requests wait, the engine stays saturated and its limits grow step by step. If
            // the limits were lifted at once, the queue would flood the engine.
            limiter.markSaturated(now, engine);
        }
    }

    private void applyRemedyIfStuck(long now, Attempt attempt) {
        RequestState request = attempt.request;
        switch (stuckAttempts.remedyFor(now, attempt)) {
            case CANCEL -> {
                attempt.abandoned = true;
                actions.cancelAttempt(request.incoming.requestId(), attempt.number);
            }
            case HEDGE -> {
                if (now < queue.timeoutAt(request)) {
                    attempt.abandoned = true;
                    queue.add(request);
                }
            }
            case NONE -> {
                // The attempt continues.
            }
        }
    }

    /** Starts queued requests that may start, and answers those that have waited too long. */
    private void runQueuePass(long now) {
        nextQueuePass = now + QUEUE_PASS_INTERVAL;
        queue.beginPass();
        int maxLength = queue.maxLength(engines.all(), limiter.quotaShare());
        double waitingWork = 0;
        UnplaceableRequests unplaceable = new UnplaceableRequests(trafficClasses.size());
        for (RequestState request : queue.snapshot()) {
            boolean shed = shedding.shedsInQueue(request);
            EngineState engine = null;
            if (!shed && mayStart(now, request)) {
                long kind = kindOf(request, unplaceable);
                boolean knownUnplaceable = unplaceable.isUnplaceable(kind, request);
                engine = knownUnplaceable ? null : selector.select(now, request, engines.all());
                if (engine == null) {
                    queue.markCongested();
                    unplaceable.add(kind, request);
                    boolean lacksCapacity = knownUnplaceable || selector.foundEligibleEngine();
                    waitingWork +=
                            lacksCapacity && request.attemptsStarted == 0
                                    ? request.expectedWork()
                                    : 0;
                }
            }
            if (engine != null) {
                startAttempt(now, request, engine);
            } else if (shed
                    || now >= queue.timeoutAt(request)
                    || queue.isFullFor(request, maxLength, shedding.isActive())) {
                leaveQueue(request, shed);
            }
        }
        demand.waitingWork(waitingWork);
    }

    private boolean mayStart(long now, RequestState request) {
        return !request.clientAbsent
                && now < queue.lastStartAt(request)
                && !retries.mustAwaitEarlierAttempt(now, request)
                && keys.isNext(now, request);
    }

    private long kindOf(RequestState request, UnplaceableRequests unplaceable) {
        return request.attemptsStarted > 0
                        || request.orderingKey >= 0
                        || probing.needsProbes(request)
                ? UnplaceableRequests.NO_KIND
                : unplaceable.kindOf(request, priorities.priorityOf(request));
    }

    private void leaveQueue(RequestState request, boolean shed) {
        queue.remove(request);
        if (request.attemptsInFlight.isEmpty()) {
            // Fleet control already counts the work below the shedding threshold.
            demand.shedWork(shed ? 0 : request.expectedWork());
            rejectOrFail(request);
        }
    }

    private void startAttempt(long now, RequestState request, EngineState engine) {
        queue.remove(request);
        demand.startedWork(request.attemptsStarted == 0 ? request.expectedWork() : 0);
        Attempt attempt =
                new Attempt(
                        request,
                        engine,
                        request.attemptsStarted++,
                        now,
                        grants.grantMb(request, engine),
                        priorities.priorityOf(request));
        retries.recordAttempt(now, attempt);
        int requestId = request.incoming.requestId();
        if (capabilities.grants() || capabilities.priorities()) {
            int grantMb = capabilities.grants() ? (int) Math.ceil(attempt.grantMb) : 0;
            actions.setGrantAndPriority(requestId, grantMb, attempt.priority);
        }
        actions.startAttempt(requestId, engine.id, 0);
        request.attemptsInFlight.add(attempt);
        request.lastEngine = engine;
        engine.reserve(attempt);
        slowStart.recordAttempt(now, request, engine);
    }

    /** Answers the client at once, with a rejection only if sending the request again is safe. */
    private void rejectOrFail(RequestState request) {
        if (retries.rejectsRatherThanFails(request)) {
            actions.reject(request.incoming.requestId(), retries.retryAfter());
        } else {
            actions.fail(request.incoming.requestId());
        }
        close(request);
    }

    private void close(RequestState request) {
        request.closed = true;
        queue.remove(request);
        int requestId = request.incoming.requestId();
        if (request.attemptsInFlight.isEmpty() && requests.remove(requestId) != null) {
            keys.remove(request);
            actions.releaseRequest(requestId);
        }
    }
}
