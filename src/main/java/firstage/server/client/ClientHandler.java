package firstage.server.client;

import firstage.config.ManagerConfig;
import firstage.server.ActionGuard;
import firstage.server.Counters;
import firstage.server.InterruptSafeConduits;
import firstage.server.RequestExchange;
import firstage.server.ServerEvents;
import firstage.server.TickClock;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.io.Receiver;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.HttpContinueReadHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.nio.IoThreadTcpServer;

/**
 * HTTP server for the clients: accepts connections, dispatches each call by its path, and reports
 * accepted requests as events. Owned by the I/O thread.
 */
public final class ClientHandler {
    private static final Logger LOG = Logger.getLogger(ClientHandler.class.getName());
    private static final int MAX_STATEMENT_BYTES = 64 * 1024;

    /**
     * Limit on the head of a call; a longer head is answered with 431. A head of more than four
     * times the limit is answered like input that is not HTTP.
     */
    private static final int MAX_HEAD_BYTES = 16 * 1024;

    private static final int ACCEPT_BACKLOG = 512;

    /** Delay before accepting is tried again while the system can't accept connections. */
    private static final int ACCEPT_RETRY_MS = 5;

    /** Maximum time from the end of a call's head to the end of its statement. */
    private static final int MAX_BODY_READ_MS = 2_000;

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
    private final InetSocketAddress listenAddress;
    private final ClientConnections connections;
    private final ClientResponses responses;
    private final PendingCalls pendingCalls;
    private final TrafficClasses trafficClasses;
    private final StatementCallValidator validator;
    private IoThreadTcpServer listener;

    /** Whether the last accept failed, so that connections may still wait to be accepted. */
    private boolean acceptFailing;

    private HttpOpenListener httpListener;

    public ClientHandler(
            XnioIoThread io,
            TickClock clock,
            Counters counters,
            ServerEvents events,
            ActionGuard guard,
            ManagerConfig config) {
        this.io = io;
        this.clock = clock;
        this.counters = counters;
        this.events = events;
        this.guard = guard;
        this.listenAddress = config.listenAddress();
        connections = new ClientConnections(io, counters, config.maxClientConnections());
        responses = new ClientResponses(io, clock, counters, guard, connections);
        pendingCalls = new PendingCalls(counters, config.maxClientBytes());
        trafficClasses = new TrafficClasses(config.settings(), StatementCallValidator.MAX_ESTIMATE);
        validator = new StatementCallValidator(trafficClasses, pendingCalls::isOpen);
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
                                .set(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                                .set(UndertowOptions.ALWAYS_SET_DATE, false)
                                .getMap());
        httpListener.setRootHandler(new HttpContinueReadHandler(this::handle));
        listener = IoThreadTcpServer.listen(io, listenAddress, ACCEPT_BACKLOG, this::acceptPending);
    }

    /** Starts to accept connections; called on the I/O thread. */
    public void startAccepting() {
        listener.resumeAccepts();
        connections.sweep();
        responses.sweepStalledWrites();
    }

    /**
     * Accepts all waiting connections; if only some were accepted, requests on the others would be
     * read several selector passes later. While the system can't accept any, tries again every
     * {@link #ACCEPT_RETRY_MS}.
     */
    private void acceptPending() {
        if (!listener.isOpen()) {
            acceptFailing = false;
            return;
        }
        try {
            for (SocketChannel next = listener.accept(); next != null; next = listener.accept()) {
                register(next);
            }
            if (acceptFailing) {
                acceptFailing = false;
                listener.resumeAccepts();
            }
        } catch (IOException exception) {
            counters.count("connections not accepted");
            if (!acceptFailing) {
                LOG.warning("connections not accepted cause=" + exception.getMessage());
                acceptFailing = true;
                guard.onAcceptFailed();
            }
            listener.suspendAccepts();
            io.executeAfter(this::acceptPending, ACCEPT_RETRY_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Returns whether the system currently can't accept waiting connections. */
    public boolean isAcceptFailing() {
        return acceptFailing;
    }

    private void register(SocketChannel accepted) {
        try {
            onConnectionOpened(listener.register(accepted));
        } catch (IOException exception) {
            LOG.warning("connection ended as it was accepted cause=" + exception.getMessage());
            counters.count("connections ended as they were accepted");
        }
    }

    private void onConnectionOpened(StreamConnection connection) {
        if (connections.tryAdd(connection)) {
            InterruptSafeConduits.installOn(connection);
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
        acceptPending();
    }

    /** Accepts the waiting connections and then no more; calls on open ones are still answered. */
    public void stopAccepting() {
        acceptPending();
        IoUtils.safeClose(listener);
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

    private void handle(HttpServerExchange exchange) {
        connections.onCallStarted(ClientProtocol.connectionOf(exchange));
        exchange.addExchangeCompleteListener(
                (completed, next) -> {
                    connections.onCallEnded(ClientProtocol.connectionOf(completed));
                    next.proceed();
                });
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
            handlePoll(exchange, pendingCalls.find(path));
        } else {
            handleSubmission(exchange, path);
        }
    }

    private void handleAlive(HttpServerExchange exchange) {
        if (exchange.getRequestMethod().equals(Methods.GET)) {
            exchange.setStatusCode(200);
            exchange.endExchange();
        } else {
            responses.refuse(exchange, 405, "GET only");
        }
    }

    private void handleSubmission(HttpServerExchange exchange, String path) {
        String trafficClass = path.substring(path.lastIndexOf('/') + 1);
        if (trafficClass.isEmpty() || path.indexOf('/', 1) < 0) {
            responses.refuse(exchange, 404, "no such path");
        } else if (!exchange.getRequestMethod().equals(Methods.POST)) {
            responses.refuse(exchange, 405, "POST only");
        } else if (exchange.getRequestContentLength() > MAX_STATEMENT_BYTES) {
            responses.refuse(exchange, 413, "statement too long");
        } else {
            receiveStatement(exchange, trafficClass);
        }
    }

    private void receiveStatement(HttpServerExchange exchange, String trafficClass) {
        // A client that stops in the middle of a statement would hold its connection forever.
        XnioExecutor.Key bodyTimeout =
                guard.executeAfter(
                        MAX_BODY_READ_MS,
                        () -> {
                            counters.count("statements not ended in time");
                            IoUtils.safeClose(exchange.getConnection());
                        });
        exchange.getRequestReceiver().setMaxBufferSize(MAX_STATEMENT_BYTES);
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (received, statement) -> {
                            bodyTimeout.remove();
                            received.dispatch(
                                    SameThreadExecutor.INSTANCE,
                                    () -> handleStatement(received, trafficClass, statement));
                        },
                        (failed, exception) -> {
                            bodyTimeout.remove();
                            onStatementNotReceived(failed, exception);
                        });
    }

    private void onStatementNotReceived(HttpServerExchange exchange, IOException exception) {
        counters.count("incomplete client calls");
        if (exception instanceof Receiver.RequestToLargeException) {
            responses.refuseAndClose(exchange, 413, "statement too long");
        } else {
            IoUtils.safeClose(exchange.getConnection());
            exchange.endExchange();
        }
    }

    private void handlePoll(HttpServerExchange exchange, Optional<PendingCall> call) {
        if (ClientProtocol.isPipelined(exchange)) {
            responses.refuseAndClose(exchange, 400, "one call at a time");
        } else if (call.isEmpty()) {
            responses.refuse(exchange, 404, "no such path");
        } else if (exchange.getRequestMethod().equals(Methods.GET)) {
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> call.get().poll(exchange));
        } else if (exchange.getRequestMethod().equals(Methods.DELETE)) {
            call.get().cancel();
            exchange.setStatusCode(204);
            exchange.endExchange();
        } else {
            responses.refuse(exchange, 405, "GET or DELETE only");
        }
    }

    private void handleStatement(
            HttpServerExchange exchange, String trafficClass, byte[] statement) {
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
            acceptRequest(exchange, call);
        }
    }

    private void acceptRequest(HttpServerExchange exchange, StatementCall call) {
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
                        pendingCalls.newPollPath(call.requestId()));
        // The timeout counts from the earliest possible arrival: a call that waited unread during a
        // pause of the process would otherwise be answered after its client has given up.
        long deadline = guard.earliestArrival() + (long) (call.timeoutMs() * 10);
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
