package firstage.server.client;

import firstage.config.ManagerConfig;
import firstage.server.ActionGuard;
import firstage.server.Counters;
import firstage.server.InterruptedCalls;
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
 * The server side of the clients' HTTP: accepts connections, sends each call to where it belongs,
 * and hands accepted requests on as events. Owned by the I/O thread.
 */
public final class ClientHandler {
    private static final Logger LOG = Logger.getLogger(ClientHandler.class.getName());
    private static final int MAX_STATEMENT_BYTES = 64 * 1024;

    /** Answered 431; a head of more than four times that is answered as no HTTP. */
    private static final int MAX_HEAD_BYTES = 16 * 1024;

    private static final int ACCEPT_BACKLOG = 512;

    /** Between tries to accept what waits, where the system can't for the moment. */
    private static final int ACCEPT_RETRY_MS = 5;

    /** From the end of its head to the end of a statement. */
    private static final int MAX_BODY_READ_MS = 2_000;

    /** For a client that finds no capacity: much of what is kept is released by then. */
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

    /** Connections wait that could not be accepted for the moment. */
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
     * Binds and listens; connections are accepted from {@link #accept} on.
     *
     * @throws IOException where the address is taken
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

    /** Accepts connections from here on; on the I/O thread. */
    public void accept() {
        listener.resumeAccepts();
        connections.sweep();
        responses.sweepStalledWrites();
    }

    /**
     * Accepts all connections that wait: else a request on the others would be read passes later.
     * Where the system can't, for the moment, they are tried again.
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

    /** Whether connections wait that can't be accepted for the moment. */
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
            InterruptedCalls.shield(connection);
            connection
                    .getSinkChannel()
                    .setConduit(new BadRequestResponse(connection.getSinkChannel().getConduit()));
            httpListener.handleEvent(connection);
            connections.watchClose(connection);
        }
    }

    /**
     * The front sends nothing more. New connections are accepted still: a client whose connection
     * broke must be able to fetch its answer, or to cancel.
     */
    public void onFrontStopped(long now) {
        responses.closing(now);
        // A request on a connection that the kernel accepted is ours, also where the thread had no
        // time for it yet.
        acceptPending();
    }

    /** Accepts no more connections; what comes on the open ones is answered still. */
    public void close() {
        acceptPending();
        IoUtils.safeClose(listener);
    }

    /**
     * Closes all connections without an open call, after reading them: nothing can be accepted any
     * more once none is open.
     */
    public void closeIdleConnections() {
        connections.closeIdle();
    }

    /** Whether all accepted requests are answered, and the answers are written. */
    public boolean isIdle() {
        return pendingCalls.allAnswered() && responses.isIdle();
    }

    private void handle(HttpServerExchange exchange) {
        connections.onCallStarted(ClientProtocol.connectionOf(exchange));
        exchange.addExchangeCompleteListener(
                (over, next) -> {
                    connections.onCallEnded(ClientProtocol.connectionOf(over));
                    next.proceed();
                });
        if (!ClientProtocol.hasUnambiguousLength(exchange)) {
            // One body might hide another call behind its end; nothing on this connection can be
            // trusted.
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
        // A client that stops within a statement would hold its connection for ever.
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
            // Nothing of it is kept: more would end the program, and all requests with it.
            exchange.getResponseHeaders().put(ClientProtocol.RETRY_AFTER_MS, BUSY_RETRY_AFTER_MS);
            responses.refuse(exchange, 503, "Busy");
        } else {
            accept(exchange, call);
        }
    }

    private void accept(HttpServerExchange exchange, StatementCall call) {
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
        // What may have lain unread during a pause has that much less time: counted from when it is
        // read, its answer would come after its client has gone.
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
