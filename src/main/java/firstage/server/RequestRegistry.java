package firstage.server;

import firstage.config.IdRegistry;
import firstage.lifecycle.KeyOrderMonitor;
import firstage.policy.api.AttemptOutcome;
import firstage.server.FlightRecorder.EventType;

/**
 * Registry of the open requests and the attempts in flight: assigns indices to requests and
 * ordering keys, counts requests and attempts, and checks their invariants. It decides nothing and
 * starts nothing. Owned by the I/O thread.
 */
final class RequestRegistry {
    /** Outcomes of requests, each with the name of its counter. */
    enum RequestOutcome {
        SUCCEEDED("requests succeeded"),
        REJECTED("requests rejected"),
        FAILED("requests failed"),
        FAILED_AT_DEADLINE("requests failed at their deadline"),
        CLIENT_GONE("requests left by their clients");

        private final String counter;

        RequestOutcome(String counter) {
            this.counter = counter;
        }
    }

    private static final String ACCEPTED_COUNTER = "requests accepted";

    private final TickClock clock;
    private final Counters counters;
    private final KeyOrderMonitor keyOrder = new KeyOrderMonitor();
    private final IdRegistry<RequestExchange> requestIds = new IdRegistry<>();
    private final IdRegistry<String> keyIds = new IdRegistry<>();
    private int openRequests;
    private int attemptsInFlight;

    RequestRegistry(TickClock clock, Counters counters) {
        this.clock = clock;
        this.counters = counters;
    }

    /** Returns the number of requests whose clients have no answer yet. */
    int openRequests() {
        return openRequests;
    }

    /** Returns the number of attempts that were started and have not ended. */
    int attemptsInFlight() {
        return attemptsInFlight;
    }

    /** Returns the request with this index. */
    RequestExchange find(int request) {
        return requestIds.idOf(request);
    }

    /** Returns the index of an ordering key, assigning one if needed; -1 if the key is null. */
    int keyIndex(String orderingKey) {
        return orderingKey == null ? -1 : keyIds.indexFor(orderingKey);
    }

    /** Records that a request was read completely. */
    void onAccepted(RequestExchange exchange) {
        counters.count(ACCEPTED_COUNTER);
        openRequests++;
        record(EventType.READ, exchange, exchange.connectionAgeMs, 0);
    }

    /** Assigns an index to a request that is delivered to the scheduler. */
    void onSequenced(RequestExchange exchange, boolean orderKnown) {
        if (!orderKnown) {
            counters.count("requests of unknown order");
        }
        exchange.requestIndex = requestIds.indexFor(exchange);
        record(EventType.SCHEDULED, exchange, orderKnown ? 1 : 0, 0);
        if (exchange.orderingKey != null && orderKnown) {
            keyOrder.onRequest(exchange.orderingKey, exchange.id);
        }
    }

    /** Records that the scheduler starts an attempt. */
    void onAttemptStarted(RequestExchange exchange, int engine) {
        counters.count("attempts started");
        attemptsInFlight++;
        record(EventType.ATTEMPT_STARTED, exchange, exchange.attemptsStarted, engine);
        if (exchange.orderingKey != null) {
            counters.checkInvariant(
                    keyOrder.onAttemptStarted(clock.now(), exchange.orderingKey, exchange.id),
                    "requests of a key run one at a time and in order");
        }
    }

    /**
     * Records that an attempt ended.
     *
     * @param heldFor how much longer the engine may hold the statement, in ticks
     */
    void onAttemptEnded(
            RequestExchange exchange,
            RequestExchange.AttemptHandle attempt,
            AttemptOutcome outcome,
            long heldFor) {
        counters.checkInvariant(exchange.attemptsInFlight.remove(attempt), "an attempt ends once");
        attemptsInFlight--;
        counters.count("attempts ended " + outcome);
        if (heldFor > 0) {
            counters.count("attempts ended without proof");
        }
        record(EventType.ATTEMPT_ENDED, exchange, outcome.ordinal(), heldFor / 10);
        if (exchange.orderingKey != null) {
            keyOrder.onAttemptEnded(clock.now(), exchange.orderingKey, exchange.id, heldFor);
        }
    }

    /** Records that an attempt that had ended without proof no longer runs. */
    void onAttemptEndConfirmed(RequestExchange exchange, RequestExchange.AttemptHandle attempt) {
        counters.count("attempt ends confirmed later");
        record(EventType.END_CONFIRMED, exchange, attempt.number(), attempt.engine());
    }

    /** Records that the client has its answer, or gets none. Called once for each request. */
    void onRequestEnded(RequestOutcome outcome, RequestExchange exchange) {
        counters.count(outcome.counter);
        if (outcome != RequestOutcome.SUCCEEDED) {
            // The end of the attempt that succeeded is in the log already.
            logEnd(outcome, exchange);
        }
        openRequests--;
        counters.recorder().record(EventType.REQUEST_ENDED, exchange.id, outcome.name(), 0, 0);
        if (exchange.orderingKey != null) {
            keyOrder.onRequestEnded(exchange.orderingKey, exchange.id);
        }
    }

    private void logEnd(RequestOutcome outcome, RequestExchange exchange) {
        counters.eventLog()
                .log(
                        EventLog.Category.REQUESTS,
                        () ->
                                "request ended "
                                        + exchange.describe()
                                        + " outcome="
                                        + outcome
                                        + " attempts="
                                        + exchange.attemptsStarted
                                        + " mayHaveRun="
                                        + exchange.mayHaveRun());
    }

    /** Removes a request that the scheduler has released; its index may be reused. */
    void releaseRequest(int request) {
        RequestExchange exchange = requestIds.idOf(request);
        counters.checkInvariant(
                exchange.isSettled() && exchange.attemptsInFlight.isEmpty(),
                "a request that is released is answered and has no attempt in flight");
        exchange.deadlineTimer.remove();
        requestIds.release(request);
    }

    /** Removes an ordering key that the scheduler has released; its index may be reused. */
    void releaseKey(int key) {
        keyIds.release(key);
    }

    /** Removes the state of ordering keys that are no longer in use. */
    void removeIdleKeys() {
        keyOrder.removeIdleKeys(clock.now());
    }

    /** Checks, at the end of the program, that each accepted request ended once. */
    void checkAllEnded() {
        long ended = 0;
        for (RequestOutcome outcome : RequestOutcome.values()) {
            ended += counters.sum(outcome.counter);
        }
        counters.checkInvariant(counters.sum(ACCEPTED_COUNTER) == ended, "each request ends once");
    }

    private void record(
            EventType event, RequestExchange exchange, long firstValue, long secondValue) {
        counters.recorder().record(event, exchange.id, firstValue, secondValue);
    }
}
