package firstage.server.client;

import firstage.lifecycle.ClientCallStateMachine;
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
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * A client's request over HTTP: carries out what its {@link ClientCallStateMachine} decides. The
 * connection is read while a call is held, which Undertow does not do by itself: a client that
 * cancels closes it. Owned by the I/O thread.
 */
final class PendingCall
        implements RequestExchange.ResponseActions, ClientCallStateMachine.ClientCallActions {
    private static final byte[] FAILED_BODY =
            "{\"err\":\"Failed\"}\n".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] BUSY_BODY =
            "{\"err\":\"Busy\"}\n".getBytes(StandardCharsets.US_ASCII);

    private record Answer(int status, long retryAfter, ByteBuffer body) {}

    private final XnioIoThread io;
    private final TickClock clock;
    private final Counters counters;
    private final ServerEvents events;
    private final ClientResponses responses;
    private final PendingCalls pendingCalls;
    private final String id;
    private final String path;
    private final ClientCallStateMachine stateMachine = new ClientCallStateMachine(this);
    private RequestExchange request;

    /** The calls that are held: one, unless the client lost a connection and called on another. */
    private final List<HeldCall> heldCalls = new ArrayList<>();

    private Answer answer;
    private boolean answerSent;
    private XnioExecutor.Key timer;

    PendingCall(
            XnioIoThread io,
            TickClock clock,
            Counters counters,
            ServerEvents events,
            ClientResponses responses,
            PendingCalls pendingCalls,
            String id,
            String path) {
        this.io = io;
        this.clock = clock;
        this.counters = counters;
        this.events = events;
        this.responses = responses;
        this.pendingCalls = pendingCalls;
        this.id = id;
        this.path = path;
    }

    String id() {
        return id;
    }

    String path() {
        return path;
    }

    /** Bytes that are kept for this client: its statement until it is answered, and the answer. */
    int keptBytes() {
        return request.statement.length + (answer == null ? 0 : answer.body.remaining());
    }

    void start(RequestExchange started, HttpServerExchange first) {
        request = started;
        heldCalls.add(new HeldCall(first));
        stateMachine.start();
    }

    /** The client polls. */
    void poll(HttpServerExchange exchange) {
        heldCalls.add(new HeldCall(exchange));
        record(EventType.POLLED, "");
        request.clientConnected();
        stateMachine.onPoll();
    }

    /** The client cancels by a DELETE of the path. */
    void cancel() {
        stateMachine.onClientCancelled();
    }

    /** A call that waits for its answer, and its connection, which is read meanwhile. */
    private final class HeldCall {
        private final HttpServerExchange exchange;
        private final AbstractServerConnection connection;

        HeldCall(HttpServerExchange exchange) {
            this.exchange = exchange;
            connection = (AbstractServerConnection) exchange.getConnection();
            connection.getChannel().getSourceChannel().setReadListener(this::onReadable);
            connection.getOriginalSourceConduit().resumeReads();
        }

        /** Ends the wait; the exchange can be answered. */
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
            try (PooledByteBuffer pooled = connection.getByteBufferPool().allocate()) {
                int bytesRead = connection.getOriginalSourceConduit().read(pooled.getBuffer());
                if (bytesRead < 0) {
                    onConnectionBroken(this, "client closed");
                } else if (bytesRead > 0) {
                    // The next call came before the answer to this one: that breaks the protocol.
                    responses.refuseAndClose(release(), 400, "one call at a time");
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

    private void onConnectionBroken(HeldCall call, String reason) {
        call.close(reason);
        if (heldCalls.isEmpty()) {
            request.clientDisconnected(clock.now());
        }
        if (!call.isPoll()) {
            stateMachine.onFirstCallBroken();
        } else if (heldCalls.isEmpty()) {
            counters.count("held polls broken");
            stateMachine.onLastPollBroken();
        }
    }

    // ---- Actions of the state machine.
    @Override
    public void respondWithPollPath() {
        HttpServerExchange exchange = heldCalls.get(0).release();
        request.clientDisconnected(clock.now());
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
            pendingCalls.onAnswerSent(this);
        }
        answerHeldCalls(answer, !responses.isClosing());
    }

    private void answerHeldCalls(Answer response, boolean keepAlive) {
        for (HeldCall call : List.copyOf(heldCalls)) {
            HttpServerExchange exchange = call.release();
            if (response.retryAfter() > 0) {
                exchange.getResponseHeaders()
                        .put(ClientProtocol.RETRY_AFTER_MS, response.retryAfter() / 10);
            }
            exchange.setStatusCode(response.status());
            exchange.setPersistent(exchange.isPersistent() && keepAlive);
            responses.send(exchange, response.body().duplicate());
        }
    }

    @Override
    public void startTimer(long delay) {
        stopTimer();
        timer = io.executeAfter(stateMachine::onTimeout, delay / 10, TimeUnit.MILLISECONDS);
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
        answerHeldCalls(new Answer(500, 0, ByteBuffer.wrap(FAILED_BODY)), false);
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
        pendingCalls.release(this, answerSent);
    }

    // ---- The request's answer.
    @Override
    public void respondSucceeded(List<byte[]> pages) {
        answer(new Answer(200, 0, JsonRows.encode(pages)));
    }

    @Override
    public void respondRejected(long retryAfter) {
        answer(new Answer(503, retryAfter, ByteBuffer.wrap(BUSY_BODY)));
    }

    @Override
    public void respondFailed() {
        answer(new Answer(500, 0, ByteBuffer.wrap(FAILED_BODY)));
    }

    private void answer(Answer newAnswer) {
        answer = newAnswer;
        pendingCalls.addKeptBytes(newAnswer.body.remaining());
        stateMachine.onAnswerAvailable();
    }
}
