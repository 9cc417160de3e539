package firstage.server.client;

import firstage.lifecycle.ClientCallStateMachine;
import firstage.server.ActionGuard;
import firstage.server.Counters;
import firstage.server.FlightRecorder.EventType;
import firstage.server.RequestExchange;
import firstage.server.ServerEvents;
import firstage.server.TickClock;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Methods;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Handles a client's request over HTTP: performs the actions of its {@link ClientCallStateMachine}.
 * The connection is read while a call is held, because a client cancels by closing it and Undertow
 * does not read by itself in that time. Owned by the I/O thread; times are ticks.
 */
final class PendingCall
        implements RequestExchange.ResponseActions,
                RequestExchange.ClientPresence,
                ClientCallStateMachine.ClientCallActions {
    private static final byte[] FAILED_BODY =
            "{\"err\":\"Failed\"}\n".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] BUSY_BODY =
            "{\"err\":\"Busy\"}\n".getBytes(StandardCharsets.US_ASCII);

    /** Answer to the request; {@code retryAfter} is 0 if the answer contains no retry delay. */
    private record Answer(int status, long retryAfter, ByteBuffer body) {}

    private static final Answer FAILED = new Answer(500, 0, ByteBuffer.wrap(FAILED_BODY));

    private final TickClock clock;
    private final Counters counters;
    private final ServerEvents events;
    private final ActionGuard guard;
    private final ClientConnections connections;
    private final ClientResponses responses;
    private final PendingCalls pendingCalls;
    private final String id;
    private final String path;
    private final boolean mayRunAgain;
    private final ClientCallStateMachine stateMachine = new ClientCallStateMachine(this);
    private RequestExchange request;

    /**
     * Calls that wait for the answer: one at most, unless the client lost a connection and called
     * again on another.
     */
    private final List<HeldCall> heldCalls = new ArrayList<>();

    /**
     * Connection on which the poll path was sent; null before that, and once the client has polled
     * or closed it.
     */
    private StreamConnection pathConnection;

    private long pathSentAt;

    /**
     * Time at which a connection on which the client waits, or is expected to poll, was last known
     * to be open.
     */
    private long connectionOpenAt;

    private Answer answer;
    private boolean answerSent;
    private XnioExecutor.Key timer;

    PendingCall(
            TickClock clock,
            Counters counters,
            ServerEvents events,
            ActionGuard guard,
            ClientConnections connections,
            ClientResponses responses,
            PendingCalls pendingCalls,
            String id,
            String path,
            boolean mayRunAgain) {
        this.clock = clock;
        this.counters = counters;
        this.events = events;
        this.guard = guard;
        this.connections = connections;
        this.responses = responses;
        this.pendingCalls = pendingCalls;
        this.id = id;
        this.path = path;
        this.mayRunAgain = mayRunAgain;
    }

    String id() {
        return id;
    }

    String path() {
        return path;
    }

    /** Returns the number of bytes kept for this client: its statement and the answer. */
    int keptBytes() {
        return request.statement.length + (answer == null ? 0 : answer.body.remaining());
    }

    /** Returns whether an engine may have run the request, or may still run it. */
    boolean mayHaveRun() {
        return request.mayHaveRun();
    }

    /** Returns whether the request is idempotent without a key that shows a repetition. */
    boolean mayRunAgain() {
        return mayRunAgain;
    }

    void start(RequestExchange acceptedRequest, HttpServerExchange firstCall) {
        request = acceptedRequest;
        heldCalls.add(new HeldCall(firstCall));
        stateMachine.start();
    }

    /** Handles a poll by the client. */
    void poll(HttpServerExchange exchange) {
        clearPathConnection();
        heldCalls.add(new HeldCall(exchange));
        record(EventType.POLLED, "");
        request.onClientReturned();
        stateMachine.onPoll();
    }

    /** Handles the client's DELETE of the poll path, which cancels the request. */
    void cancel() {
        // The client can't have cancelled before it had the path.
        guard.onClientLeft(request, pathSentAt);
        stateMachine.onClientCancelled();
    }

    /** A call that waits for its answer; its connection is read until then. */
    private final class HeldCall {
        private final HttpServerExchange exchange;
        private final AbstractServerConnection connection;

        HeldCall(HttpServerExchange exchange) {
            this.exchange = exchange;
            connection = (AbstractServerConnection) exchange.getConnection();
            connection.getChannel().getSourceChannel().setReadListener(this::onReadable);
            connection.getOriginalSourceConduit().resumeReads();
        }

        /** Stops reading the connection and returns the exchange so that it can be answered. */
        HttpServerExchange release() {
            heldCalls.remove(this);
            connection.getOriginalSourceConduit().suspendReads();
            connection.getChannel().getSourceChannel().setReadListener(null);
            return exchange;
        }

        void close(String reason) {
            release();
            record(EventType.CALL_CLOSED, reason);
            IoUtils.safeClose(connection);
            exchange.endExchange();
        }

        boolean isPoll() {
            return !exchange.getRequestMethod().equals(Methods.POST);
        }

        private void onReadable(ConduitStreamSourceChannel source) {
            readPending();
        }

        /** Reads pending input: the end of the connection, or a call that breaks the protocol. */
        void readPending() {
            try (PooledByteBuffer pooled = connection.getByteBufferPool().allocate()) {
                int bytesRead = connection.getOriginalSourceConduit().read(pooled.getBuffer());
                if (bytesRead < 0) {
                    onConnectionEnded(this);
                } else if (bytesRead > 0) {
                    // A client must not make its next call before this one is answered.
                    responses.refuseAndClose(release(), 400, "one call at a time");
                    guard.onClientLeft(request, connectionOpenAt);
                    stateMachine.onClientCancelled();
                }
            } catch (IOException exception) {
                onConnectionBroken(this, "client reset");
            }
        }
    }

    private void record(EventType event, String reason) {
        counters.recorder().record(event, id, reason, heldCalls.size(), 0);
    }

    /**
     * Handles the end of a call's input. The first call is answered as failed, since its client may
     * have closed only its own side and still read.
     */
    private void onConnectionEnded(HeldCall call) {
        if (call.isPoll()) {
            onConnectionBroken(call, "client closed");
        } else {
            record(EventType.CALL_CLOSED, "client closed");
            respond(call, FAILED, false);
            guard.onClientLeft(request, connectionOpenAt);
            stateMachine.onFirstCallBroken();
        }
    }

    private void onConnectionBroken(HeldCall call, String reason) {
        call.close(reason);
        if (heldCalls.isEmpty()) {
            guard.onClientLeft(request, connectionOpenAt);
        }
        if (!call.isPoll()) {
            stateMachine.onFirstCallBroken();
        } else if (heldCalls.isEmpty()) {
            counters.count("held polls broken");
            stateMachine.onLastPollBroken();
        }
    }

    @Override
    public long confirm(long now) {
        readPending(now);
        return heldCalls.isEmpty() ? pathSentAt : now;
    }

    /** Reads pending input on the connections on which the client waits or is expected to poll. */
    private void readPending(long now) {
        List.copyOf(heldCalls).forEach(HeldCall::readPending);
        if (pathConnection != null) {
            connections.readPending(pathConnection);
        }
        if (!heldCalls.isEmpty() || pathConnection != null) {
            connectionOpenAt = now;
        }
    }

    private void onPathConnectionClosed() {
        pathConnection = null;
        record(EventType.CALL_CLOSED, "client closed after its path");
        guard.onClientLeft(request, connectionOpenAt);
        stateMachine.onPathConnectionClosed();
    }

    private void clearPathConnection() {
        if (pathConnection != null) {
            connections.removeCloseListener(pathConnection);
            pathConnection = null;
        }
    }

    // ---- Actions of the state machine
    @Override
    public void respondWithPollPath() {
        HttpServerExchange exchange = heldCalls.get(0).release();
        pathSentAt = clock.now();
        pathConnection = ClientProtocol.connectionOf(exchange);
        connections.setCloseListener(pathConnection, this::onPathConnectionClosed);
        record(EventType.POLL_PATH_SENT, "");
        responses.send(
                exchange,
                ByteBuffer.wrap(
                        ("{\"poll\":\"" + path + "\"}").getBytes(StandardCharsets.US_ASCII)));
    }

    @Override
    public void respond() {
        if (!answerSent) {
            answerSent = true;
            pendingCalls.onSettled(this);
        }
        answerHeldCalls(answer, !responses.isClosing());
    }

    private void answerHeldCalls(Answer response, boolean keepAlive) {
        for (HeldCall call : List.copyOf(heldCalls)) {
            respond(call, response, keepAlive);
        }
    }

    private void respond(HeldCall call, Answer response, boolean keepAlive) {
        HttpServerExchange exchange = call.release();
        if (response.retryAfter() > 0) {
            exchange.getResponseHeaders()
                    .put(ClientProtocol.RETRY_AFTER_MS, response.retryAfter() / 10);
        }
        exchange.setStatusCode(response.status());
        exchange.setPersistent(exchange.isPersistent() && keepAlive);
        responses.send(exchange, response.body().duplicate());
    }

    @Override
    public void startTimer(long delay) {
        stopTimer();
        timer = guard.executeAfter(delay / 10, this::onTimeout);
    }

    /** Reads the client's connections first: input that arrived in time prevents the timeout. */
    private void onTimeout() {
        XnioExecutor.Key elapsedTimer = timer;
        readPending(clock.now());
        if (timer == elapsedTimer) {
            stateMachine.onTimeout();
        }
    }

    @Override
    public void stopTimer() {
        if (timer != null) {
            timer.remove();
            timer = null;
        }
    }

    @Override
    public void closeHeldCalls() {
        List.copyOf(heldCalls).forEach(call -> call.close("request cancelled"));
    }

    @Override
    public void failHeldCalls() {
        answerHeldCalls(FAILED, false);
    }

    @Override
    public void markClientAbsent() {
        counters.count("clients absent");
        record(EventType.CLIENT_ABSENT, "");
        events.onClientAbsence(request, true);
    }

    @Override
    public void markClientPresent() {
        counters.count("clients present again");
        record(EventType.CLIENT_PRESENT, "");
        events.onClientAbsence(request, false);
    }

    @Override
    public void markClientGone() {
        record(EventType.CLIENT_GONE, "");
        events.onClientGone(request);
    }

    @Override
    public void release() {
        clearPathConnection();
        pendingCalls.release(this, answerSent);
    }

    // ---- Answers to the request
    @Override
    public void respondSucceeded(List<byte[]> pages) {
        setAnswer(new Answer(200, 0, JsonRows.encode(pages)));
    }

    @Override
    public void respondRejected(long retryAfter) {
        setAnswer(new Answer(503, retryAfter, ByteBuffer.wrap(BUSY_BODY)));
    }

    @Override
    public void respondFailed() {
        setAnswer(FAILED);
    }

    private void setAnswer(Answer newAnswer) {
        answer = newAnswer;
        pendingCalls.addKeptBytes(newAnswer.body.remaining());
        stateMachine.onAnswerAvailable();
    }
}
