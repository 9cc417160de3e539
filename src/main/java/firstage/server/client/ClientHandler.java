package firstage.server.client;

import firstage.config.ManagerConfig;
import firstage.server.ActionGuard;
import firstage.server.ClientWork;
import firstage.server.Counters;
import firstage.server.InterruptSafeConduits;
import firstage.server.IoThreadMonitor;
import firstage.server.RequestExchange;
import firstage.server.ServerEvents;
import firstage.server.TickClock;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.HttpContinueReadHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/**
 * HTTP server for the clients: dispatches each call by its path, and reports accepted requests as
 * events. Owned by the I/O thread.
 */
public final class ClientHandler {
    /**
     * Limit on the head of a call; a longer head is answered with 431. A head of more than four
     * times the limit is answered like input that is not HTTP.
     */
    private static final int MAX_HEAD_BYTES = 16 * 1024;

    /**
     * Limit on the number of fields in a head. A call has some ten; a longer head is answered like
     * input that is not HTTP, after as many fields, since each costs the I/O thread time to parse.
     */
    private static final int MAX_HEAD_FIELDS = 64;

    /**
     * Retry delay sent to a client whose statement can't be kept for lack of memory; much of what
     * is kept is released by then.
     */
    private static final int BUSY_RETRY_AFTER_MS = 500;

    private final XnioIoThread io;
    private final TickClock clock;
    private final Counters counters;
    private final ServerEvents events;
    private final ActionGuard guard;
    private final ClientWork work;
    private final InetSocketAddress listenAddress;
    private final ClientConnections connections;
    private final ClientResponses responses;
    private final PendingCalls pendingCalls;
    private final TrafficClasses trafficClasses;
    private final StatementCallValidator validator;
    private final StatementReceiver statementReceiver;
    private final ClientListener listener;
    private HttpOpenListener httpListener;

    public ClientHandler(
            XnioIoThread io,
            TickClock clock,
            Counters counters,
            ServerEvents events,
            ActionGuard guard,
            ClientWork work,
            IoThreadMonitor monitor,
            ManagerConfig config) {
        this.io = io;
        this.clock = clock;
        this.counters = counters;
        this.events = events;
        this.guard = guard;
        this.work = work;
        this.listenAddress = config.listenAddress();
        connections = new ClientConnections(io, counters, config.maxClientConnections());
        responses = new ClientResponses(io, clock, counters, guard, connections);
        pendingCalls =
                new PendingCalls(counters, config.maxClientBytes(), config.maxSpentRequestIds());
        trafficClasses =
                new TrafficClasses(
                        config.settings(),
                        config.deployment(),
                        StatementCallValidator.MAX_ESTIMATE);
        validator =
                new StatementCallValidator(
                        trafficClasses, pendingCalls::isOpen, pendingCalls::isSpent);
        statementReceiver =
                new StatementReceiver(counters, guard, responses, this::handleStatement);
        listener =
                new ClientListener(
                        io, counters, guard, work, monitor, connections, this::onConnectionOpened);
    }

    /**
     * Binds the address and listens; connections are accepted once {@link #startAccepting} is
     * called.
     *
     * @throws IOException if the address is in use
     */
    public void listen() throws IOException {
        ByteBufferPool bufferPool = new DefaultByteBufferPool(true, 16 * 1024, 256, 0);
        httpListener =
                new HttpOpenListener(
                        bufferPool,
                        OptionMap.builder()
                                .set(UndertowOptions.MAX_HEADER_SIZE, 4 * MAX_HEAD_BYTES)
                                .set(UndertowOptions.MAX_HEADERS, MAX_HEAD_FIELDS)
                                .set(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                                .set(UndertowOptions.ALWAYS_SET_DATE, false)
                                .getMap());
        httpListener.setRootHandler(new HttpContinueReadHandler(this::handle));
        listener.bind(listenAddress);
    }

    /** Starts to accept connections; called on the I/O thread. */
    public void startAccepting() {
        listener.start();
        connections.sweep();
        responses.sweepStalledWrites();
    }

    /** Returns whether connections may wait that currently can't be accepted. */
    public boolean isAcceptFailing() {
        return listener.isAcceptFailing();
    }

    private void onConnectionOpened(StreamConnection connection) {
        InterruptSafeConduits.installOn(connection);
        ClientInput input = ClientInput.installOn(connection, work, guard::earliestArrival);
        if (connections.tryAdd(connection, input)) {
            connection
                    .getSinkChannel()
                    .setConduit(new BadRequestResponse(connection.getSinkChannel().getConduit()));
            httpListener.handleEvent(connection);
            connections.watchClose(connection);
        }
    }

    /**
     * Starts the last phase of a shutdown, in which the front sends no more requests and each
     * connection is closed after its next answer. New connections are still accepted: a client
     * whose connection broke must be able to fetch its answer or to cancel.
     */
    public void onFrontStopped(long now) {
        responses.startClosing(now);
        // This manager is responsible for requests on all connections that the kernel has accepted,
        // including those that this thread has not accepted yet.
        listener.acceptPending();
    }

    /** Accepts the waiting connections and then no more; calls on open ones are still answered. */
    public void stopAccepting() {
        listener.stop();
    }

    /**
     * Reads all connections and closes those without an open call. Once none is open, no more
     * requests can arrive.
     */
    public void closeIdleConnections() {
        connections.closeIdle();
    }

    /** Returns whether all accepted requests are answered and all answers are written. */
    public boolean isIdle() {
        return pendingCalls.allAnswered() && responses.isIdle();
    }

    /** Returns whether calls that were read, or input that arrived, are not handled yet. */
    public boolean hasQueuedCalls() {
        return !work.isEmpty();
    }

    private void handle(HttpServerExchange exchange) {
        StreamConnection connection = ClientProtocol.connectionOf(exchange);
        ClientInput input = connections.input(connection);
        connections.onCallStarted(connection);
        exchange.addExchangeCompleteListener(
                (completed, next) -> {
                    connections.onCallEnded(ClientProtocol.connectionOf(completed));
                    next.proceed();
                });
        Optional<PendingCall> polled = pendingCalls.find(exchange.getRequestPath());
        if (polled.isPresent() && hasHeadOnly(exchange)) {
            // Polls and cancellations are cheap, and each tells whether a client is still there.
            handlePoll(exchange, polled.get());
        } else if (work.calls().mayRunNow()) {
            work.calls().runNow(() -> handleCall(exchange, input, input.earliestArrival()));
        } else {
            long arrivedNotBefore = input.earliestArrival();
            exchange.dispatch(
                    work.calls()::defer,
                    (HttpHandler) deferred -> handleCall(deferred, input, arrivedNotBefore));
        }
    }

    /** Returns whether a call has a valid head and no body. */
    private static boolean hasHeadOnly(HttpServerExchange exchange) {
        return exchange.isRequestComplete()
                && ClientProtocol.hasUnambiguousLength(exchange)
                && ClientProtocol.headBytes(exchange) <= MAX_HEAD_BYTES;
    }

    private void handleCall(HttpServerExchange exchange, ClientInput input, long arrivedNotBefore) {
        if (!ClientProtocol.hasUnambiguousLength(exchange)) {
            // The body might hide another call, so nothing on this connection can be trusted.
            responses.refuseAndClose(exchange, 400, "length not usable");
            return;
        }
        if (ClientProtocol.headBytes(exchange) > MAX_HEAD_BYTES) {
            responses.refuse(exchange, 431, "head too long");
            return;
        }
        String path = exchange.getRequestPath();
        if (path.equals(ClientProtocol.ALIVE_PATH)) {
            handleAlive(exchange);
        } else if (path.startsWith(ClientProtocol.POLL_PATH_PREFIX)) {
            refusePoll(exchange, pendingCalls.find(path).isPresent());
        } else {
            handleSubmission(exchange, path, input, arrivedNotBefore);
        }
    }

    private void refusePoll(HttpServerExchange exchange, boolean pathExists) {
        if (pathExists) {
            responses.refuse(exchange, 400, "body not allowed");
        } else {
            responses.refuse(exchange, 404, "no such path");
        }
    }

    private void handleAlive(HttpServerExchange exchange) {
        if (!exchange.getRequestMethod().equals(Methods.GET)) {
            responses.refuse(exchange, 405, "GET only");
        } else if (!exchange.isRequestComplete()) {
            responses.refuse(exchange, 400, "body not allowed");
        } else if (ClientProtocol.isPipelined(exchange)) {
            responses.refuseAndClose(exchange, 400, "one call at a time");
        } else {
            exchange.setStatusCode(200);
            exchange.setPersistent(exchange.isPersistent() && !responses.isClosing());
            exchange.endExchange();
        }
    }

    private void handleSubmission(
            HttpServerExchange exchange, String path, ClientInput input, long arrivedNotBefore) {
        String trafficClass = path.substring(path.lastIndexOf('/') + 1);
        if (trafficClass.isEmpty() || path.indexOf('/', 1) < 0) {
            responses.refuse(exchange, 404, "no such path");
        } else if (!exchange.getRequestMethod().equals(Methods.POST)) {
            responses.refuse(exchange, 405, "POST only");
        } else if (exchange.getRequestContentLength() > StatementReceiver.MAX_STATEMENT_BYTES) {
            responses.refuse(exchange, 413, "statement too long");
        } else {
            statementReceiver.receive(exchange, trafficClass, input, arrivedNotBefore);
        }
    }

    private void handlePoll(HttpServerExchange exchange, PendingCall call) {
        if (ClientProtocol.isPipelined(exchange)) {
            responses.refuseAndClose(exchange, 400, "one call at a time");
        } else if (exchange.getRequestMethod().equals(Methods.GET)) {
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> call.poll(exchange));
        } else if (exchange.getRequestMethod().equals(Methods.DELETE)) {
            call.cancel();
            exchange.setStatusCode(204);
            exchange.endExchange();
        } else {
            responses.refuse(exchange, 405, "GET or DELETE only");
        }
    }

    private void handleStatement(
            HttpServerExchange exchange,
            String trafficClass,
            byte[] statement,
            long arrivedNotBefore) {
        if (ClientProtocol.isPipelined(exchange)) {
            responses.refuseAndClose(exchange, 400, "one call at a time");
            return;
        }
        StatementCall call = StatementCall.read(exchange, trafficClass, statement, trafficClasses);
        Optional<StatementCallValidator.Refusal> refusal = validator.check(call);
        if (refusal.isPresent()) {
            responses.refuse(exchange, refusal.get().status(), refusal.get().reason());
        } else if (!pendingCalls.hasCapacity(statement.length)) {
            // Keeping more could exhaust the memory, which ends the process and all requests.
            exchange.getResponseHeaders().put(ClientProtocol.RETRY_AFTER_MS, BUSY_RETRY_AFTER_MS);
            responses.refuse(exchange, 503, "Busy");
        } else {
            acceptRequest(exchange, call, arrivedNotBefore);
        }
    }

    private void acceptRequest(
            HttpServerExchange exchange, StatementCall call, long arrivedNotBefore) {
        PendingCall pending =
                new PendingCall(
                        clock,
                        counters,
                        events,
                        guard,
                        connections,
                        responses,
                        pendingCalls,
                        call.requestId(),
                        pendingCalls.newPollPath(call.requestId()),
                        trafficClasses.mayRunAgain(call.trafficClassIndex()));
        // The timeout counts from the earliest possible arrival: a call that waited unread during a
        // pause of the process, or behind other calls, would otherwise be answered after its client
        // has given up.
        long deadline = arrivedNotBefore + (long) (call.timeoutMs() * 10);
        RequestExchange request =
                new RequestExchange(
                        call.requestId(),
                        call.trafficClass(),
                        call.statement(),
                        deadline,
                        pending,
                        pending);
        request.connectionAgeMs = connections.ageMs(ClientProtocol.connectionOf(exchange));
        pendingCalls.add(pending, call.statement().length);
        pending.start(request, exchange);
        events.onRequest(
                request,
                call.trafficClassIndex(),
                call.tenant(),
                call.orderingKey(),
                (long) (call.estimateMs() * 10),
                (int) call.memoryMb(),
                StatementTables.tableGroup(call.statement()));
    }
}
