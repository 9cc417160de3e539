package firstage.server.engine;

import firstage.lifecycle.AttemptStateMachine;
import firstage.lifecycle.AttemptStateMachine.CallFailure;
import firstage.lifecycle.AttemptStateMachine.EngineReply;
import firstage.lifecycle.AttemptStateMachine.HolderConnection;
import firstage.lifecycle.AttemptStateMachine.ReplyOrigin;
import firstage.lifecycle.EndProof;
import firstage.lifecycle.SendGuard;
import firstage.lifecycle.SendGuard.Knowledge;
import firstage.lifecycle.SendGuard.Verdict;
import firstage.policy.api.AttemptOutcome;
import firstage.policy.api.LoadReport;
import firstage.server.AbandonReason;
import firstage.server.EventLog;
import firstage.server.FlightRecorder.EventType;
import firstage.server.RequestExchange;
import firstage.util.Ticks;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Runs an attempt over HTTP: makes the calls that its {@link AttemptStateMachine} requests, and
 * reports the parsed responses to it. All decisions are left to the state machine. Owned by the I/O
 * thread.
 */
final class AttemptRunner
        implements RequestExchange.AttemptHandle, AttemptStateMachine.AttemptActions {
    /**
     * Response timeout of all calls of an attempt except the DELETE. Engines answer within 250 ms
     * and drop a statement that is not polled for 2 s; this timeout leaves time to try another
     * connection before that.
     */
    private static final long POLL_TIMEOUT_MS = 600;

    private static final long DELETE_TIMEOUT_MS = 200;

    private final EngineClients engines;
    private final EngineContext context;
    private final EngineConnectionPool pool;
    private final RequestExchange exchange;
    private final int number;
    private final int engine;
    private final long startedAt;
    private final AttemptStateMachine stateMachine;
    private final StatementHolder holder = new StatementHolder();
    private final ResultPages pages = new ResultPages();
    private boolean countedAsRunning;

    /** Time at which the statement's head was built; the head holds the client's remaining time. */
    private long headBuiltAt;

    /** State of the request on which the last send verdict is based; null before the first. */
    private Knowledge knowledge;

    /** Latest poll or page fetch; null if none is out. */
    private EngineCall pollInFlight;

    /** Ticks from the start of the attempt to the first page of its result; 0 before that. */
    private long duration;

    /** Time at which the statement was written completely; 0 before that. */
    private long sentAt;

    /** Reason of the latest call that failed, for the log. */
    private String lastFailure = "-";

    private int priority;
    private LoadReport loadReport;
    private boolean countedAsLingering;

    AttemptRunner(
            EngineClients engines,
            EngineContext context,
            EngineConnectionPool pool,
            RequestExchange exchange,
            int number,
            int engine) {
        this.engines = engines;
        this.context = context;
        this.pool = pool;
        this.exchange = exchange;
        this.number = number;
        this.engine = engine;
        this.startedAt = context.clock().now();
        this.priority = exchange.priority;
        stateMachine =
                new AttemptStateMachine(
                        this, exchange.orderingKey != null, context.attemptsMayOverlap());
        log("attempt started", () -> " address=" + pool.address);
        // Deferred: the outcome must be a later event than the decision that starts the attempt.
        context.io().execute(stateMachine::start);
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
        return context.clock().now();
    }

    private void log(String event, Supplier<String> details) {
        context.counters()
                .eventLog()
                .log(
                        EventLog.Category.ATTEMPTS,
                        () ->
                                event
                                        + " "
                                        + exchange.describe()
                                        + " attempt="
                                        + number
                                        + " engine="
                                        + pool.engineName
                                        + details.get());
    }

    private void record(EventType event, int detail) {
        context.counters().recorder().record(event, exchange.id, number, detail);
    }

    private void countUnreadableReply() {
        context.counters().count("unreadable engine replies");
    }

    /** Returns whether the connection leads to the process that holds the statement. */
    boolean reachesHolder(EngineConnection connection) {
        return holder.isReachedBy(connection);
    }

    private CallFailure callFailure(EngineCall call, EngineCall.Failure failure) {
        lastFailure = failure.name();
        if (failure == EngineCall.Failure.ENDED_BY_ENGINE) {
            holder.onConnectionEnded(now(), call.connection());
        }
        record(EventType.CALL_FAILED, failure.ordinal());
        return switch (failure) {
            case ENGINE_UNREACHABLE -> CallFailure.ENGINE_UNREACHABLE;
            case CONNECTION_REFUSED -> CallFailure.CONNECTION_REFUSED;
            case CONNECT_TIMEOUT -> CallFailure.CONNECT_TIMEOUT;
            case RESET_BEFORE_SEND -> CallFailure.RESET_BEFORE_SEND;
            case NO_FREE_CONNECTION, SEND_REFUSED -> CallFailure.NOT_SENT;
            case ENDED_BY_ENGINE -> CallFailure.CONNECTION_ENDED;
            case CONNECTION_BROKEN, RESPONSE_TIMEOUT -> CallFailure.REPLY_LOST;
            case MALFORMED_RESPONSE -> CallFailure.REPLY_UNREADABLE;
        };
    }

    @Override
    public void sendStatement() {
        pool.callOnVerifiedConnection(
                new EngineCall(this, EngineProtocol.post(), exchange.statement, POLL_TIMEOUT_MS) {
                    @Override
                    Verdict checkSend() {
                        refreshKnowledge(stateMachine.shouldSendStatement());
                        return SendGuard.decide(now(), knowledge);
                    }

                    @Override
                    Verdict checkRemainder() {
                        refreshKnowledge(stateMachine.isRunning());
                        return SendGuard.decideRest(now(), knowledge, headBuiltAt);
                    }

                    @Override
                    void onRefused(Verdict reason) {
                        context.guard().onSendRefused(exchange, reason, number, engine);
                    }

                    @Override
                    String extraHeaders() {
                        return statementHeaders();
                    }

                    @Override
                    void onWriteStarted() {
                        holder.onStatementWritten(connection());
                        stateMachine.onStatementWritten(now());
                        countedAsRunning = true;
                        exchange.onStatementWritten();
                        pool.onAttemptRunning();
                    }

                    @Override
                    void onWriteCompleted() {
                        context.guard().onStatementSent(exchange, knowledge);
                        record(EventType.STATEMENT_WRITTEN, engine);
                        sentAt = now();
                    }

                    @Override
                    void onResponse(EngineResponse response) {
                        holder.onResponse(connection(), true);
                        interpret(response, 0)
                                .ifPresentOrElse(
                                        reply -> stateMachine.onStatementReply(now(), reply),
                                        () -> {
                                            countUnreadableReply();
                                            stateMachine.onStatementFailed(
                                                    now(), CallFailure.REPLY_UNREADABLE);
                                        });
                    }

                    @Override
                    void onFailure(Failure failure) {
                        stateMachine.onStatementFailed(now(), callFailure(this, failure));
                    }
                });
    }

    private void refreshKnowledge(boolean attemptOpen) {
        knowledge =
                context.guard()
                        .inspect(exchange, attemptOpen, !pool.isDraining() && !pool.isRetired());
    }

    private String statementHeaders() {
        headBuiltAt = now();
        long timeoutMs = Math.max(1, (exchange.deadline - headBuiltAt) / 10);
        return EngineProtocol.statementHeaders(exchange, timeoutMs, priority);
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
        pollInFlight =
                new EngineCall(this, EngineProtocol.get(exchange.id, page), null, POLL_TIMEOUT_MS) {
                    @Override
                    void onResponse(EngineResponse response) {
                        onPollEnded(this);
                        holder.onResponse(connection(), EngineProtocol.knowsStatement(response));
                        ReplyOrigin origin = holder.originOf(connection());
                        interpret(response, page)
                                .ifPresentOrElse(
                                        reply -> stateMachine.onReply(now(), reply, origin),
                                        () -> {
                                            countUnreadableReply();
                                            stateMachine.onCallFailed(
                                                    now(), CallFailure.REPLY_UNREADABLE);
                                        });
                    }

                    @Override
                    void onFailure(Failure failure) {
                        onPollEnded(this);
                        stateMachine.onCallFailed(now(), callFailure(this, failure));
                    }
                };
        pool.call(pollInFlight, onNewConnection);
    }

    private void onPollEnded(EngineCall poll) {
        pollInFlight = poll == pollInFlight ? null : pollInFlight;
    }

    /**
     * Converts a response to an engine reply, keeps its load report and page, and reports progress.
     * Returns empty for a response that no engine sends: it was damaged in transit.
     */
    private Optional<EngineReply> interpret(EngineResponse response, int page) {
        record(EventType.ENGINE_REPLY, response.status());
        boolean running = stateMachine.isRunning();
        if (running) {
            // Overwritten even with null: an older report would pass for the latest at the end.
            loadReport = EngineProtocol.loadReport(response);
        }
        return switch (response.status()) {
            case EngineProtocol.RUNNING -> {
                if (running) {
                    reportProgress(response);
                }
                yield page > 0 && running ? Optional.empty() : Optional.of(EngineReply.PROGRESS);
            }
            // An abandoned attempt only has to end; its pages are not needed.
            case 200 -> running ? addPage(response, page) : Optional.of(EngineReply.LAST_PAGE);
            case 503, 504 ->
                    Optional.of(
                            EngineProtocol.neverRan(response)
                                    ? EngineReply.REFUSED
                                    : EngineReply.FAILED);
            case 500 -> Optional.of(EngineReply.FAILED);
            default -> Optional.empty();
        };
    }

    private Optional<EngineReply> addPage(EngineResponse response, int page) {
        if (page == 0) {
            duration = duration > 0 ? duration : now() - startedAt;
        }
        if (!pages.add(response, page)) {
            return Optional.empty();
        }
        if (pages.isTooLarge()) {
            return Optional.of(EngineReply.FAILED);
        }
        return Optional.of(pages.isComplete() ? EngineReply.LAST_PAGE : EngineReply.PAGE);
    }

    private void reportProgress(EngineResponse response) {
        EngineProtocol.progressKind(response)
                .ifPresent(
                        kind ->
                                context.events()
                                        .onAttemptProgress(
                                                exchange,
                                                this,
                                                kind,
                                                EngineProtocol.progressValue(response)));
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
                    new EngineCall(this, EngineProtocol.put(exchange.id), body, POLL_TIMEOUT_MS) {
                        @Override
                        void onResponse(EngineResponse response) {
                            // Ignored: the attempt continues with or without the new priority.
                        }

                        @Override
                        void onFailure(Failure failure) {
                            // Ignored: the attempt continues with or without the new priority.
                        }
                    },
                    false);
        }
    }

    @Override
    public void abandon(AbandonReason reason) {
        log("attempt abandoned", () -> " reason=" + reason);
        stateMachine.abandon(now(), reason.outcome());
    }

    @Override
    public void sendDelete(boolean onNewConnection) {
        pool.call(
                new EngineCall(this, EngineProtocol.delete(exchange.id), null, DELETE_TIMEOUT_MS) {
                    @Override
                    void onResponse(EngineResponse response) {
                        holder.onResponse(connection(), false);
                        stateMachine.onDeleteAcknowledged(now(), holder.originOf(connection()));
                    }

                    @Override
                    void onFailure(Failure failure) {
                        stateMachine.onDeleteFailed(now(), callFailure(this, failure));
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
            context.io().executeAfter(onTimeout, delay / 10, TimeUnit.MILLISECONDS);
        } else {
            context.io().execute(onTimeout);
        }
    }

    @Override
    public boolean hasOpenConnection() {
        return pool.hasOpenConnection();
    }

    @Override
    public HolderConnection holderConnection() {
        if (pool.hasUsableIdle(holder::isReachedBy)) {
            return HolderConnection.READY;
        }
        if (pool.hasIdle(holder::isReachedBy)) {
            return HolderConnection.QUIET;
        }
        boolean polling =
                pollInFlight != null
                        && pollInFlight.connection() != null
                        && holder.isReachedBy(pollInFlight.connection());
        return polling ? HolderConnection.POLLING : HolderConnection.NONE;
    }

    @Override
    public boolean isEndAwaited() {
        return !exchange.isSettled() || engines.isShuttingDown();
    }

    @Override
    public long deadline() {
        return exchange.deadline;
    }

    @Override
    public void confirmEnd(EndProof proof) {
        log("attempt end confirmed", () -> " proof=" + proof);
        context.events().onAttemptEndConfirmed(exchange, this);
    }

    private String describeEnd(AttemptOutcome outcome, long heldFor, EndProof proof) {
        return " outcome="
                + outcome
                + " proof="
                + proof
                + " lastFailure="
                + lastFailure
                + " heldForMs="
                + Ticks.toMillis(heldFor)
                + " sentAfterMs="
                + (sentAt == 0 ? "-" : Ticks.toMillis(sentAt - startedAt))
                + " durationMs="
                + Ticks.toMillis(now() - startedAt);
    }

    @Override
    public void release() {
        if (countedAsRunning) {
            pool.onAttemptReleased();
        }
    }

    @Override
    public void reportEnd(AttemptOutcome outcome, long heldFor, EndProof proof) {
        log("attempt ended", () -> describeEnd(outcome, heldFor, proof));
        if (countedAsLingering) {
            engines.addLingering(-1);
        }
        if (countedAsRunning && !outcome.mayHaveRun) {
            exchange.onAttemptNeverRan();
        }
        context.events()
                .onAttemptEnded(
                        exchange,
                        this,
                        outcome,
                        duration > 0 ? duration : now() - startedAt,
                        loadReport,
                        pages.pages(),
                        heldFor);
    }
}
