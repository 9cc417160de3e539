package firstage.emulator;

import firstage.policy.api.AttemptOutcome;
import firstage.policy.api.AttemptProgress;
import firstage.simulation.EngineModel;
import firstage.simulation.EngineModel.RunningAttempt;
import firstage.simulation.EngineModel.State;
import firstage.simulation.FleetPlan;
import firstage.simulation.RandomStreams;
import firstage.simulation.RuleChecker;
import firstage.simulation.RuleChecker.ClientTry;
import firstage.util.Ticks;
import io.undertow.UndertowOptions;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.WeakHashMap;
import java.util.function.Function;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.channels.AcceptingChannel;

/**
 * An emulated engine: runs the simulation's engine model in real time and serves the engines' HTTP
 * protocol. A statement runs until it ends, is deleted, or was not polled for 2 s; a poll without
 * anything to report is answered after 250 ms. Calls are served on the loop's thread.
 */
public final class EmulatedEngine implements AutoCloseable {
    /** Longest time for which a poll is held, in ticks: 250 ms. */
    private static final long LONG_POLL_TIMEOUT = 2_500;

    /** Time after the last poll at which a statement is dropped, in ticks: 2 s. */
    private static final long STATEMENT_EXPIRY = 20_000;

    private static final HttpString TICKET = new HttpString("X-Ticket");
    private static final HttpString GRANT = new HttpString("Grant-Mb");
    private static final HttpString MAX_MS = new HttpString("X-Max-Ms");
    private static final HttpString RANK = new HttpString("Rank");
    private static final HttpString PAGE_COUNT = new HttpString("Page-Count");
    private static final HttpString SHED = new HttpString("X-Shed");
    private static final HttpString REMARK = new HttpString("X-Remark");
    private static final HttpString FIGURE = new HttpString("Figure");
    private static final HttpString METER = new HttpString("X-Meter");

    /**
     * Receives the events of engines, and estimates the delay with which they are read; called on
     * the loop's thread.
     */
    public interface Observer {
        /**
         * Records an attempt that arrived; {@code retry} is false for the first attempt of a client
         * try.
         */
        void onAttempt(ClientTry clientTry, int engine, boolean retry);

        /** Records a probe that arrived. */
        void onProbe(int engine);

        /**
         * Returns whether the link from this manager to this engine may have delayed data recently.
         */
        boolean mayBeDelayed(int manager, int engine);

        /**
         * Returns the longest time, in ticks, for which data that is read now may have waited in
         * this process.
         */
        long recentLateness();
    }

    private final class Statement implements EngineModel.Listener {
        private final String id;
        private final ClientTry clientTry;
        private RunningAttempt runningAttempt;
        private long lastPolledAt;
        private boolean outcomeReported;
        private AttemptOutcome result;
        private AttemptProgress.Kind pendingProgress;
        private double progressValue;
        private HttpServerExchange waitingPoll;
        private int pollCount;

        /** Whether the statement runs on a machine that is cut off. */
        private boolean cutOff;

        private Statement(String id, ClientTry clientTry) {
            this.id = id;
            this.clientTry = clientTry;
        }

        @Override
        public void onEnded(RunningAttempt attempt, AttemptOutcome outcome) {
            result = outcome;
            if (cutOff) {
                reportOutcome(outcome);
            }
            answerPoll();
        }

        /** Cuts the statement's machine off: nothing more is heard of it, and it is not polled. */
        private void cutOff() {
            cutOff = true;
            waitingPoll = null;
            lastPolledAt = loop.now();
            if (result != null) {
                reportOutcome(result);
            }
        }

        @Override
        public void onProgress(RunningAttempt attempt, AttemptProgress.Kind kind, double value) {
            pendingProgress = kind;
            progressValue = value;
            answerPoll();
        }

        @Override
        public boolean isSenderAlive() {
            return !clientTry.abandoned();
        }

        /** Answers a poll at once if there is something to report, and holds it otherwise. */
        private void onPoll(HttpServerExchange exchange) {
            lastPolledAt = loop.now();
            int pollNumber = ++pollCount;
            if (waitingPoll != null) {
                answer(waitingPoll, 202);
            }
            waitingPoll = exchange;
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {});
            if (result != null || pendingProgress != null) {
                answerPoll();
                return;
            }
            loop.events()
                    .schedule(
                            LONG_POLL_TIMEOUT,
                            () -> {
                                if (pollNumber == pollCount && waitingPoll != null) {
                                    lastPolledAt = loop.now();
                                    HttpServerExchange unanswered = waitingPoll;
                                    waitingPoll = null;
                                    answer(unanswered, 202);
                                }
                            });
        }

        private void answerPoll() {
            if (waitingPoll == null
                    || model.state() == State.HANGING
                    || model.state() == State.SILENT) {
                return;
            }
            HttpServerExchange exchange = waitingPoll;
            waitingPoll = null;
            lastPolledAt = loop.now();
            if (result == null) {
                exchange.getResponseHeaders()
                        .put(
                                REMARK,
                                pendingProgress == AttemptProgress.Kind.FRACTION_DONE
                                        ? "pct"
                                        : pendingProgress == AttemptProgress.Kind.SPILLING
                                                ? "overflow"
                                                : "queued")
                        .put(
                                FIGURE,
                                String.valueOf(
                                        pendingProgress == AttemptProgress.Kind.FRACTION_DONE
                                                        || pendingProgress
                                                                == AttemptProgress.Kind.SPILLING
                                                ? progressValue
                                                : pendingProgress
                                                                == AttemptProgress.Kind
                                                                        .WAITING_FOR_MEMORY
                                                        ? 1
                                                        : 2));
                pendingProgress = null;
                answer(exchange, 202);
                return;
            }
            reportOutcome(result);
            switch (result) {
                case SUCCEEDED -> {
                    exchange.getResponseHeaders().put(PAGE_COUNT, "1");
                    exchange.setStatusCode(200);
                    exchange.getResponseSender().send("a\tb\tc\n");
                }
                case REFUSED -> {
                    statements.remove(id);
                    exchange.getResponseHeaders().put(SHED, "1");
                    answer(exchange, 503);
                }
                default -> answer(exchange, 500);
            }
        }

        private void reportOutcome(AttemptOutcome outcome) {
            if (!outcomeReported) {
                outcomeReported = true;
                rules.onAttemptEnded(loop.now(), clientTry, outcome);
            }
        }

        private void scheduleExpiry() {
            loop.events()
                    .schedule(
                            Math.max(1, lastPolledAt + STATEMENT_EXPIRY - loop.now()),
                            () -> {
                                if (statements.get(id) != this && !cutOff
                                        || outcomeReported && cutOff) {
                                    return;
                                }
                                if (loop.now() - lastPolledAt >= STATEMENT_EXPIRY
                                        && waitingPoll == null) {
                                    discard(AttemptOutcome.TIMED_OUT);
                                } else {
                                    scheduleExpiry();
                                }
                            });
        }

        private void discard(AttemptOutcome outcome) {
            statements.remove(id, this);
            if (runningAttempt != null) {
                model.cancel(runningAttempt);
            }
            reportOutcome(outcome);
            if (waitingPoll != null) {
                answer(waitingPoll, 500);
                waitingPoll = null;
            }
        }
    }

    private final RealTimeLoop loop;
    private final RuleChecker rules;
    private final Function<String, ClientTry> triesById;
    private final Observer observer;
    private final FleetPlan plan;
    private final EngineModel model;
    private final int number;
    private final AcceptingChannel<StreamConnection> server;
    private final Map<String, Statement> statements = new HashMap<>();

    /** Number of the process that accepted each connection. */
    private final Map<StreamConnection, Integer> acceptedBy = new WeakHashMap<>();

    /** Number of processes that replaced a machine that was cut off. */
    private int processNumber;

    /**
     * Creates an engine that listens on its own address.
     *
     * @param number index of the engine in the plan
     * @param address address at which the engine listens
     * @param triesById returns the client try with an id; null if no client sent that id
     */
    public EmulatedEngine(
            RealTimeLoop loop,
            FleetPlan plan,
            int number,
            InetSocketAddress address,
            RandomStreams streams,
            RuleChecker rules,
            Function<String, ClientTry> triesById,
            Observer observer)
            throws IOException {
        this.loop = loop;
        this.plan = plan;
        this.rules = rules;
        this.triesById = triesById;
        this.observer = observer;
        this.number = number;
        model = new EngineModel(number, plan, loop.events(), streams, rules);
        HttpOpenListener http =
                new HttpOpenListener(
                        new DefaultByteBufferPool(true, 8 * 1024, 256, 0),
                        OptionMap.builder()
                                .set(UndertowOptions.ALWAYS_SET_DATE, false)
                                .set(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                                .getMap());
        http.setRootHandler(
                exchange -> {
                    loop.events().runUntil(loop.now());
                    onCall(exchange);
                });
        server =
                loop.worker()
                        .createStreamConnectionServer(
                                address,
                                (ChannelListener<AcceptingChannel<StreamConnection>>)
                                        channel -> {
                                            try {
                                                for (StreamConnection connection = channel.accept();
                                                        connection != null;
                                                        connection = channel.accept()) {
                                                    acceptedBy.put(connection, processNumber);
                                                    http.handleEvent(connection);
                                                }
                                            } catch (IOException acceptFailed) {
                                                // The next connection may succeed.
                                            }
                                        },
                                OptionMap.builder()
                                        .set(Options.TCP_NODELAY, true)
                                        .set(Options.BACKLOG, 512)
                                        .set(Options.REUSE_ADDRESSES, true)
                                        .getMap());
        server.resumeAccepts();
    }

    public EngineModel model() {
        return model;
    }

    /**
     * Sets the state; an engine that goes down or silent loses its statements. Must be called on
     * the loop's thread.
     */
    public void setState(State newState) {
        boolean losesStatements = newState == State.DOWN || newState == State.SILENT;
        model.setState(newState);
        if (losesStatements) {
            statements
                    .values()
                    .forEach(statement -> statement.reportOutcome(AttemptOutcome.CONNECTION_LOST));
            statements.clear();
        }
    }

    /**
     * Cuts the engine's machine off, which runs on until its statements end or are dropped, and
     * starts another process at its address. Connections to the old one stay open and silent; the
     * new one knows no statement. Must be called on the loop's thread.
     */
    public void replaceProcess() {
        processNumber++;
        statements.values().forEach(Statement::cutOff);
        statements.clear();
    }

    private boolean isCutOff(HttpServerExchange exchange) {
        StreamConnection connection =
                ((AbstractServerConnection) exchange.getConnection()).getChannel();
        return acceptedBy.getOrDefault(connection, processNumber) != processNumber;
    }

    private static void answer(HttpServerExchange exchange, int status) {
        exchange.setStatusCode(status);
        exchange.endExchange();
    }

    private void onCall(HttpServerExchange exchange) {
        String path = exchange.getRequestPath();
        String method = exchange.getRequestMethod().toString();
        if (isCutOff(exchange)
                || model.state() == State.SILENT
                || model.state() == State.HANGING && !method.equals("POST")) {
            // Keeps the connection open and never answers.
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {});
            return;
        }
        if (path.equals("/busy")) {
            observer.onProbe(number);
            exchange.getResponseHeaders().put(METER, "waiting:" + model.memoryQueueLength());
            answer(exchange, 200);
        } else if (method.equals("POST")) {
            exchange.getRequestReceiver()
                    .receiveFullBytes(
                            (received, body) -> {
                                if (isCutOff(received)) {
                                    received.dispatch(SameThreadExecutor.INSTANCE, () -> {});
                                } else {
                                    onSubmit(received);
                                }
                            });
        } else {
            String[] parts = path.split("/");
            Statement statement = parts.length > 2 ? statements.get(parts[2]) : null;
            switch (method) {
                case "DELETE" -> {
                    if (statement != null) {
                        statement.discard(AttemptOutcome.CANCELLED);
                    }
                    answer(exchange, 204);
                }
                case "PUT" ->
                        exchange.getRequestReceiver()
                                .receiveFullString(
                                        (received, priority) -> {
                                            if (statement != null
                                                    && statement.runningAttempt != null) {
                                                model.setPriority(
                                                        statement.runningAttempt,
                                                        Integer.parseInt(priority.trim()));
                                            }
                                            answer(received, 204);
                                        });
                default -> {
                    if (statement == null) {
                        answer(exchange, 500);
                    } else {
                        statement.onPoll(exchange);
                    }
                }
            }
        }
    }

    private void onSubmit(HttpServerExchange exchange) {
        String id = exchange.getRequestHeaders().getFirst(TICKET);
        ClientTry clientTry = id == null ? null : triesById.apply(id);
        if (clientTry == null || statements.containsKey(id)) {
            answer(exchange, 500);
            return;
        }
        boolean retry = clientTry.attempted();
        observer.onAttempt(clientTry, number, retry);
        rules.onAttemptSent(
                loop.now(), clientTry, number, observer.mayBeDelayed(clientTry.manager, number));
        checkTimes(exchange, clientTry);
        Statement statement = new Statement(id, clientTry);
        statements.put(id, statement);
        double grant = Double.parseDouble(header(exchange, GRANT, "0"));
        FleetPlan.TrafficClassPlan trafficClass =
                plan.trafficClasses().get(clientTry.request.trafficClass);
        statement.runningAttempt =
                new RunningAttempt(
                        clientTry.request,
                        trafficClass,
                        statement,
                        clientTry.manager,
                        grant > 0 ? grant : clientTry.request.estimatedMemoryMb * 1.25,
                        Integer.parseInt(header(exchange, RANK, "1")));
        statement.onPoll(exchange);
        statement.scheduleExpiry();
        model.start(statement.runningAttempt);
    }

    /**
     * Checks the start and the deadline of an attempt. A delay on the link or by this process is
     * not counted as a violation: attempts on links that may be delayed are not checked, and the
     * lateness of this process is deducted.
     */
    private void checkTimes(HttpServerExchange exchange, ClientTry clientTry) {
        if (observer.mayBeDelayed(clientTry.manager, number)) {
            return;
        }
        long startedAt = loop.now() - observer.recentLateness();
        long maxMs = Long.parseLong(header(exchange, MAX_MS, "0"));
        rules.checkAttemptTimes(startedAt, clientTry, startedAt + Ticks.ofMillis(maxMs));
    }

    private static String header(
            HttpServerExchange exchange, HttpString name, String defaultValue) {
        String value = exchange.getRequestHeaders().getFirst(name);
        return value == null ? defaultValue : value;
    }

    @Override
    public void close() {
        IoUtils.safeClose(server);
    }
}
