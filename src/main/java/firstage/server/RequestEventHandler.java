package firstage.server;

import firstage.lifecycle.ArrivalSequencer;
import firstage.policy.api.AttemptOutcome;
import firstage.policy.api.AttemptProgress;
import firstage.policy.api.AttemptResult;
import firstage.policy.api.IncomingRequest;
import firstage.policy.api.LoadReport;
import java.util.List;

/**
 * Handles the events of requests and passes them on to the scheduler: arrivals, in their order as
 * far as it is known, clients that leave, deadlines, and the progress and end of attempts. Answers
 * the client itself where no decision is needed: with the result of an attempt, or when the
 * deadline has passed. Owned by the I/O thread.
 */
final class RequestEventHandler
        implements ArrivalSequencer.ArrivalActions<RequestEventHandler.UnsequencedRequest> {
    /**
     * Time after a client's deadline at which a request without an answer is failed; the client
     * must get an answer within 50 ms of its deadline.
     */
    private static final long DEADLINE_GRACE_MS = 35;

    /** A request that was read and is not delivered to the scheduler yet. */
    record UnsequencedRequest(
            RequestExchange exchange,
            int trafficClass,
            int tenant,
            long estimate,
            int memoryMb,
            int tableGroup) {}

    private final TickClock clock;
    private final ReadBarrier barrier;
    private final SchedulerLoop loop;
    private final RequestRegistry requests;
    private final ArrivalSequencer<UnsequencedRequest> arrivalSequencer =
            new ArrivalSequencer<>(this);

    RequestEventHandler(
            TickClock clock, ReadBarrier barrier, SchedulerLoop loop, RequestRegistry requests) {
        this.clock = clock;
        this.barrier = barrier;
        this.loop = loop;
        this.requests = requests;
    }

    /** Returns the number of requests that were read and are not delivered to the scheduler yet. */
    int undeliveredCount() {
        return arrivalSequencer.undeliveredCount();
    }

    /** Accepts a request that was read completely. */
    void onRequest(UnsequencedRequest request) {
        RequestExchange exchange = request.exchange;
        requests.onAccepted(exchange);
        exchange.deadlineTimer =
                loop.runLater(
                        Math.max(0, (exchange.deadline - clock.now()) / 10),
                        () -> onDeadline(exchange));
        arrivalSequencer.onRequestRead(request, exchange.orderingKey);
    }

    @Override
    public void requestReadBarrier(Object key) {
        barrier.runAfterPendingCalls(() -> arrivalSequencer.onReadBarrierPassed(key));
    }

    @Override
    public void deliver(UnsequencedRequest request, boolean orderKnown) {
        RequestExchange exchange = request.exchange;
        if (exchange.isSettled()) {
            // The client left, or its deadline passed, before the request was delivered.
            exchange.deadlineTimer.remove();
            loop.scheduleEvaluation();
            return;
        }
        requests.onSequenced(exchange, orderKnown);
        loop.dispatch(
                "request",
                scheduler ->
                        scheduler.onRequest(
                                clock.now(),
                                new IncomingRequest(
                                        exchange.requestIndex,
                                        request.trafficClass,
                                        request.tenant,
                                        requests.keyIndex(exchange.orderingKey),
                                        exchange.deadline,
                                        request.estimate,
                                        request.memoryMb,
                                        request.tableGroup,
                                        false,
                                        !orderKnown)));
        if (exchange.clientAbsent) {
            onClientAbsence(exchange, true);
        }
    }

    private void onDeadline(RequestExchange exchange) {
        exchange.abandonAttempts(AbandonReason.DEADLINE_PASSED);
        // The client must get its answer even if the scheduler throws an exception, or if an engine
        // can't be reached by a DELETE.
        loop.runLater(
                DEADLINE_GRACE_MS,
                () -> {
                    if (exchange.fail()) {
                        requests.onRequestEnded(
                                RequestRegistry.RequestOutcome.FAILED_AT_DEADLINE, exchange);
                        reportClientGone("deadline passed", exchange);
                    }
                });
    }

    /** Ends a request whose client left or cancelled. */
    void onClientGone(RequestExchange exchange) {
        if (exchange.isSettled()) {
            return;
        }
        exchange.onClientGone();
        requests.onRequestEnded(RequestRegistry.RequestOutcome.CLIENT_GONE, exchange);
        reportClientGone("left", exchange);
        exchange.abandonAttempts(AbandonReason.CLIENT_GONE);
    }

    /**
     * Records whether the client is absent.
     *
     * @param absent true if the client has no call open and may be gone; false if it polls again
     */
    void onClientAbsence(RequestExchange exchange, boolean absent) {
        exchange.clientAbsent = absent;
        if (exchange.requestIndex >= 0 && !exchange.isSettled()) {
            loop.dispatch(
                    "client absence",
                    scheduler ->
                            scheduler.onClientAbsence(clock.now(), exchange.requestIndex, absent));
        }
    }

    /** Reports that a client is gone if its request was delivered to the scheduler. */
    private void reportClientGone(String event, RequestExchange exchange) {
        if (exchange.requestIndex >= 0) {
            loop.dispatch(
                    event, scheduler -> scheduler.onClientGone(clock.now(), exchange.requestIndex));
        }
    }

    /** Passes the progress that an engine reported on to the scheduler. */
    void onAttemptProgress(
            RequestExchange exchange,
            RequestExchange.AttemptHandle attempt,
            AttemptProgress.Kind kind,
            double amount) {
        loop.dispatch(
                "attempt progress",
                scheduler ->
                        scheduler.onAttemptProgress(
                                clock.now(),
                                new AttemptProgress(
                                        exchange.requestIndex,
                                        attempt.number(),
                                        attempt.engine(),
                                        kind,
                                        amount)));
    }

    /** Handles the end of an attempt; sends a result to the client at once. */
    void onAttemptEnded(
            RequestExchange exchange,
            RequestExchange.AttemptHandle attempt,
            AttemptOutcome outcome,
            long duration,
            LoadReport report,
            List<byte[]> pages,
            long heldFor) {
        requests.onAttemptEnded(exchange, attempt, outcome, heldFor);
        if (outcome == AttemptOutcome.SUCCEEDED && exchange.succeed(pages)) {
            requests.onRequestEnded(RequestRegistry.RequestOutcome.SUCCEEDED, exchange);
        }
        loop.dispatch(
                "ended",
                scheduler ->
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
            exchange.abandonAttempts(AbandonReason.OTHER_ATTEMPT_SUCCEEDED);
        }
    }

    /** Passes the proof that an attempt no longer runs on; its request may start the next one. */
    void onAttemptEndConfirmed(RequestExchange exchange, RequestExchange.AttemptHandle attempt) {
        requests.onAttemptEndConfirmed(exchange, attempt);
        // The index of a settled request may belong to another one by now.
        if (!exchange.isSettled()) {
            loop.dispatch(
                    "end confirmed",
                    scheduler ->
                            scheduler.onAttemptEndConfirmed(
                                    clock.now(), exchange.requestIndex, attempt.number()));
        }
    }
}
