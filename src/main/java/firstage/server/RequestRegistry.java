package firstage.server;

import firstage.config.IdRegistry;
import firstage.lifecycle.KeyOrderMonitor;
import firstage.policy.api.AttemptOutcome;
import firstage.server.FlightRecorder.EventType;

/**
 * The requests that are open and the attempts in flight: their indices, the indices of their
 * ordering keys, their counts, and the invariants that hold over them. It decides nothing and
 * starts nothing. Owned by the I/O thread.
 */
final class RequestRegistry {
    /** How a request ended; each is counted under its name. */
    enum End {
        SUCCEEDED("requests succeeded"),
        REJECTED("requests rejected"),
        FAILED("requests failed"),
        FAILED_AT_DEADLINE("requests failed at their deadline"),
        CLIENT_GONE("requests left by their clients");

        private final String counter;

        End(String counter) {
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

    /** Requests whose clients have no answer yet. */
    int openRequests() {
        return openRequests;
    }

    /** Attempts that were started and did not end. */
    int attemptsInFlight() {
        return attemptsInFlight;
    }

    /** The request with this index. */
    RequestExchange find(int request) {
        return requestIds.idOf(request);
    }

    /** The index of an ordering key; -1 where the request has none. */
    int keyIndex(String orderingKey) {
        return orderingKey == null ? -1 : keyIds.indexFor(orderingKey);
    }

    /** The request was read whole. */
    void onAccepted(RequestExchange exchange) {
        counters.count(ACCEPTED_COUNTER);
        openRequests++;
        record(EventType.READ, exchange, exchange.connectionAgeMs, 0);
    }

    /** The request goes to the scheduler: it gets its index here. */
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

    /** The scheduler starts an attempt. */
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

    /** An attempt ended; its engine may hold the statement for {@code heldFor} more. */
    void onAttemptEnded(
            RequestExchange exchange,
            RequestExchange.AttemptHandle attempt,
            AttemptOutcome outcome,
            long heldFor) {
        counters.checkInvariant(exchange.attemptsInFlight.remove(attempt), "an attempt ends once");
        attemptsInFlight--;
        counters.count("attempts ended " + outcome);
        record(EventType.ATTEMPT_ENDED, exchange, outcome.ordinal(), heldFor / 10);
        if (exchange.orderingKey != null) {
            keyOrder.onAttemptEnded(clock.now(), exchange.orderingKey, exchange.id, heldFor);
        }
    }

    /** The client has its answer, or is owed none. Called once a request. */
    void onRequestEnded(End end, RequestExchange exchange) {
        counters.count(end.counter);
        openRequests--;
        counters.recorder().record(EventType.REQUEST_ENDED, exchange.id, end.name(), 0, 0);
        if (exchange.orderingKey != null) {
            keyOrder.onRequestEnded(exchange.orderingKey, exchange.id);
        }
    }

    /** The scheduler knows the request no more: its index may serve again. */
    void releaseRequest(int request) {
        RequestExchange exchange = requestIds.idOf(request);
        counters.checkInvariant(
                exchange.isSettled() && exchange.attemptsInFlight.isEmpty(),
                "a request that is released is answered and has no attempt in flight");
        exchange.deadlineTimer.remove();
        requestIds.release(request);
    }

    /** The scheduler knows the key no more: its index may serve again. */
    void releaseKey(int key) {
        keyIds.release(key);
    }

    /** Drops what is kept of keys that nobody uses any more. */
    void removeIdleKeys() {
        keyOrder.removeIdleKeys(clock.now());
    }

    /** At the end of the program: each request that was accepted ended once. */
    void checkAllEnded() {
        long ended = 0;
        for (End end : End.values()) {
            ended += counters.sum(end.counter);
        }
        counters.checkInvariant(counters.sum(ACCEPTED_COUNTER) == ended, "each request ends once");
    }

    private void record(
            EventType event, RequestExchange exchange, long firstValue, long secondValue) {
        counters.recorder().record(event, exchange.id, firstValue, secondValue);
    }
}
