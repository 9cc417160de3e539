package firstage.server.engine;

import firstage.lifecycle.AttemptStateMachine;
import firstage.lifecycle.AttemptStateMachine.CallFailure;
import firstage.lifecycle.AttemptStateMachine.EngineReply;
import firstage.policy.api.AttemptOutcome;
import firstage.policy.api.AttemptProgress;
import firstage.policy.api.LoadReport;
import firstage.server.FlightRecorder.EventType;
import firstage.server.RequestExchange;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Carries a dispatch's life over HTTP: its calls, and what their answers say. It decides nothing.
 */
final class AttemptRunner
        implements RequestExchange.AttemptHandle, AttemptStateMachine.AttemptActions {
    /**
     * Engines answer within 250 ms; another connection is tried well before they drop it after 2 s.
     */
    private static final long POLL_TIMEOUT_MS = 600;

    private static final long DELETE_TIMEOUT_MS = 200;
    private static final int MAX_PAGES = 64;

    /**
     * Tenths of a millisecond; by the users' term nothing is sent so long after its client left.
     * For the counters.
     */
    private static final long LATE_SEND_THRESHOLD = 1_000;

    /** Some five times what a result may hold. */
    private static final int MAX_RESULT_BYTES = 256 * 1024;

    private final EngineClients engines;
    private final EngineConnectionPool pool;
    private final RequestExchange exchange;
    private final int number;
    private final int engine;
    private final long startedAt;
    private final AttemptStateMachine stateMachine;
    private final List<byte[]> pages = new ArrayList<>();
    private int pageCount;
    private boolean countedAsRunning;
    private int resultBytes;
    private long duration;
    private int priority;
    private LoadReport loadReport;
    private boolean countedAsLingering;

    AttemptRunner(
            EngineClients engines,
            EngineConnectionPool pool,
            RequestExchange exchange,
            int number,
            int engine) {
        this.engines = engines;
        this.pool = pool;
        this.exchange = exchange;
        this.number = number;
        this.engine = engine;
        this.startedAt = engines.clock.now();
        this.priority = exchange.priority;
        stateMachine = new AttemptStateMachine(this, exchange.orderingKey != null);
        // Not within the decision that sends it: its outcome is news of a later moment.
        engines.io.execute(stateMachine::start);
    }

    @Override
    public int number() {
        return number;
    }

    @Override
    public int engine() {
        return engine;
    }

    private long now() {
        return engines.clock.now();
    }

    private void note(EventType what, int figure) {
        if (exchange.orderingKey != null) {
            engines.counters.recorder().record(what, exchange.id, number, figure);
        }
    }

    private CallFailure callFailure(EngineCall.Failure failure) {
        note(EventType.CALL_FAILED, failure.ordinal());
        return switch (failure) {
            case CONNECTION_REFUSED -> CallFailure.CONNECTION_REFUSED;
            case CONNECT_TIMEOUT -> CallFailure.CONNECT_TIMEOUT;
            case RESET_BEFORE_SEND -> CallFailure.RESET_BEFORE_SEND;
            case NO_FREE_CONNECTION, NO_LONGER_WANTED -> CallFailure.NOT_SENT;
            case CONNECTION_BROKEN, RESPONSE_TIMEOUT -> CallFailure.REPLY_LOST;
            case MALFORMED_RESPONSE -> CallFailure.REPLY_UNREADABLE;
        };
    }

    @Override
    public void sendStatement() {
        pool.startCall(
                new EngineCall("POST /x", exchange.statement, POLL_TIMEOUT_MS) {
                    @Override
                    boolean shouldSend() {
                        // An engine may begin to drain, or the client leave, while the connection
                        // comes up.
                        return stateMachine.shouldSendStatement()
                                && !pool.isDraining()
                                && !exchange.clientAbsent;
                    }

                    @Override
                    String extraHeaders() {
                        long now = now();
                        long absent = exchange.disconnectedFor(now);
                        if (absent > 0) {
                            engines.counters.peak(
                                    "latest statement after its client left, us", absent * 100);
                        }
                        if (absent > LATE_SEND_THRESHOLD) {
                            engines.counters.count(
                                    "statements sent later than 0.1 s after their client left");
                        }
                        stateMachine.onStatementWritten(now);
                        countedAsRunning = true;
                        pool.onAttemptRunning();
                        note(EventType.STATEMENT_WRITTEN, engine);
                        long left = Math.max(1, (exchange.deadline - now) / 10);
                        return "X-Ticket: "
                                + exchange.id
                                + "\r\nX-Queue: "
                                + exchange.trafficClass
                                + "\r\nX-Max-Ms: "
                                + left
                                + "\r\n"
                                + (exchange.grantMb > 0
                                        ? "Grant-Mb: " + exchange.grantMb + "\r\n"
                                        : "")
                                + "Rank: "
                                + priority
                                + "\r\n";
                    }

                    @Override
                    void onResponse(EngineResponse response) {
                        EngineReply reply = interpret(response, 0);
                        if (reply != null) {
                            stateMachine.onStatementReply(now(), reply);
                        } else {
                            engines.counters.count("answers that can't be used");
                            stateMachine.onStatementFailed(now(), CallFailure.REPLY_UNREADABLE);
                        }
                    }

                    @Override
                    void onFailure(Failure failure) {
                        stateMachine.onStatementFailed(now(), callFailure(failure));
                    }
                });
    }

    @Override
    public void poll(boolean onNewConnection) {
        callGet(0, onNewConnection);
    }

    @Override
    public void fetchPage(int page, boolean onNewConnection) {
        callGet(page, onNewConnection);
    }

    private void callGet(int page, boolean onNewConnection) {
        pool.call(
                new EngineCall("GET /x/" + exchange.id + "/" + page, null, POLL_TIMEOUT_MS) {
                    @Override
                    void onResponse(EngineResponse response) {
                        EngineReply reply = interpret(response, page);
                        if (reply != null) {
                            stateMachine.onReply(now(), reply);
                        } else {
                            engines.counters.count("answers that can't be used");
                            stateMachine.onCallFailed(now(), CallFailure.REPLY_UNREADABLE);
                        }
                    }

                    @Override
                    void onFailure(Failure failure) {
                        stateMachine.onCallFailed(now(), callFailure(failure));
                    }
                },
                onNewConnection);
    }

    /**
     * What an answer says, and keeps of it what goes on; null where it can't be one of an engine's.
     */
    private EngineReply interpret(EngineResponse response, int page) {
        note(EventType.ENGINE_REPLY, response.status());
        boolean running = stateMachine.isRunning();
        if (running) {
            // The latest word only: an earlier one would pass for news when the dispatch ends.
            loadReport = EngineClients.report(response);
        }
        return switch (response.status()) {
            case 202 -> {
                if (running) {
                    note(response);
                }
                yield page > 0 && running ? null : EngineReply.PROGRESS;
            }
            // Of what is given up only its end counts, not its pages.
            case 200 -> running ? addPage(response, page) : EngineReply.LAST_PAGE;
            case 503, 504 -> response.neverRan() ? EngineReply.REFUSED : EngineReply.FAILED;
            case 500 -> EngineReply.FAILED;
            // Engines say nothing else: it was spoilt on its way.
            default -> null;
        };
    }

    private EngineReply addPage(EngineResponse response, int page) {
        if (page == 0) {
            duration = duration > 0 ? duration : now() - startedAt;
            pageCount = response.intHeader("page-count", 0);
        }
        boolean usable =
                pageCount > 0
                        && pageCount <= MAX_PAGES
                        && response.isPage()
                        && pages.size() == page
                        && (page == 0 || response.intHeader("page-no", -1) == page);
        if (!usable) {
            return null;
        }
        pages.add(response.body());
        resultBytes += response.body().length;
        return resultBytes > MAX_RESULT_BYTES
                ? EngineReply.FAILED
                : pages.size() >= pageCount ? EngineReply.LAST_PAGE : EngineReply.PAGE;
    }

    private void note(EngineResponse response) {
        double figure = response.numberHeader("figure", 0);
        AttemptProgress.Kind kind =
                switch (response.headers().getOrDefault("x-remark", "")) {
                    case "pct" -> AttemptProgress.Kind.FRACTION_DONE;
                    case "overflow" -> AttemptProgress.Kind.SPILLING;
                    case "queued" ->
                            figure == 1
                                    ? AttemptProgress.Kind.WAITING_FOR_MEMORY
                                    : AttemptProgress.Kind.WAITING_FOR_TABLE_LOAD;
                    default -> null;
                };
        if (kind != null) {
            engines.events.onAttemptProgress(exchange, this, kind, figure);
        }
    }

    @Override
    public void updatePriority(int newPriority) {
        if (newPriority == priority || stateMachine.isEnded()) {
            return;
        }
        priority = newPriority;
        if (stateMachine.isRunning()) {
            byte[] body = String.valueOf(newPriority).getBytes(StandardCharsets.US_ASCII);
            pool.call(
                    new EngineCall("PUT /x/" + exchange.id, body, POLL_TIMEOUT_MS) {
                        @Override
                        void onResponse(EngineResponse response) {
                            // Nothing depends on it.
                        }

                        @Override
                        void onFailure(Failure failure) {
                            // Nothing depends on it.
                        }
                    },
                    false);
        }
    }

    @Override
    public void abandon(AttemptOutcome outcome) {
        stateMachine.abandon(now(), outcome);
    }

    @Override
    public void sendDelete(boolean onNewConnection) {
        pool.call(
                new EngineCall("DELETE /x/" + exchange.id, null, DELETE_TIMEOUT_MS) {
                    @Override
                    void onResponse(EngineResponse response) {
                        stateMachine.onDeleteAcknowledged(now());
                    }

                    @Override
                    void onFailure(Failure failure) {
                        stateMachine.onDeleteFailed(now(), callFailure(failure));
                    }
                },
                onNewConnection,
                true);
    }

    @Override
    public void startTimer(long delay, AttemptStateMachine.Timeout timeout) {
        Runnable onTimeout =
                () -> {
                    stateMachine.onTimeout(now(), timeout);
                    if (stateMachine.isLingering() && !countedAsLingering) {
                        countedAsLingering = true;
                        engines.addLingering(1);
                    }
                };
        if (delay > 0) {
            engines.io.executeAfter(onTimeout, delay / 10, TimeUnit.MILLISECONDS);
        } else {
            engines.io.execute(onTimeout);
        }
    }

    @Override
    public boolean hasOpenConnection() {
        return pool.hasOpenConnection();
    }

    @Override
    public boolean isResultAwaited() {
        return !exchange.isSettled() || engines.isShuttingDown();
    }

    @Override
    public long deadline() {
        return exchange.deadline;
    }

    @Override
    public void release() {
        if (countedAsRunning) {
            pool.onAttemptReleased();
        }
    }

    @Override
    public void reportEnd(AttemptOutcome outcome, long heldFor) {
        if (countedAsLingering) {
            engines.addLingering(-1);
        }
        engines.events.onAttemptEnded(
                exchange,
                this,
                outcome,
                duration > 0 ? duration : now() - startedAt,
                loadReport,
                pages,
                heldFor);
    }
}
