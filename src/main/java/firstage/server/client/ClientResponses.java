package firstage.server.client;

import firstage.server.ActionGuard;
import firstage.server.Counters;
import firstage.server.EventLog;
import firstage.server.TickClock;
import firstage.util.Ticks;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;
import org.xnio.XnioIoThread;

/**
 * Writes answers to clients, and closes the connections of clients that do not read their answer.
 * Owned by the I/O thread.
 */
final class ClientResponses {
    /**
     * Time for which input is read and discarded after the last answer on a connection. Closing the
     * connection at once could reset it and destroy the answer.
     */
    private static final int DRAIN_MS = 300;

    /** Maximum amount of input that is discarded before the connection is closed. */
    private static final int MAX_DRAIN_BYTES = 256 * 1024;

    /**
     * Time in which a client has to read an answer. A result is read in milliseconds, or in seconds
     * over a bad network path.
     */
    private static final int MAX_WRITE_MS = 10_000;

    /**
     * Time to read an answer in the last phase of a shutdown; enough for a client that reads at
     * all.
     */
    private static final int MAX_WRITE_CLOSING_MS = 1_000;

    private static final int WRITE_SWEEP_PERIOD_MS = 250;

    private final XnioIoThread io;
    private final TickClock clock;
    private final Counters counters;
    private final ActionGuard guard;
    private final ClientConnections connections;

    /** Calls whose answers are not completely written, and since when; oldest first. */
    private final Map<HttpServerExchange, Long> writeStartedAt = new LinkedHashMap<>();

    private long closingSince;
    private boolean closeAfterAnswer;

    ClientResponses(
            XnioIoThread io,
            TickClock clock,
            Counters counters,
            ActionGuard guard,
            ClientConnections connections) {
        this.io = io;
        this.clock = clock;
        this.counters = counters;
        this.guard = guard;
        this.connections = connections;
    }

    /** Starts the last phase of a shutdown, in which each connection ends with its next answer. */
    void startClosing(long now) {
        closeAfterAnswer = true;
        closingSince = now;
    }

    boolean isClosing() {
        return closeAfterAnswer;
    }

    /** Returns whether all answers are written, or given up because their clients did not read. */
    boolean isIdle() {
        return writeStartedAt.isEmpty();
    }

    /**
     * Closes the connections of clients that did not read their answer in time; repeats itself
     * periodically. Such a client must not keep the process from ending.
     */
    void sweepStalledWrites() {
        if (isOldestWriteStalled()) {
            // Clients may have read while this process was paused; pending output is written first.
            guard.runAfterPendingReads(this::closeStalledWrites);
        }
        io.executeAfter(this::sweepStalledWrites, WRITE_SWEEP_PERIOD_MS, TimeUnit.MILLISECONDS);
    }

    private boolean isOldestWriteStalled() {
        long maxMs = closeAfterAnswer ? MAX_WRITE_CLOSING_MS : MAX_WRITE_MS;
        return !writeStartedAt.isEmpty()
                && clock.now() - Math.max(writeStartedAt.values().iterator().next(), closingSince)
                        > Ticks.ofMillis(maxMs);
    }

    private void closeStalledWrites() {
        while (isOldestWriteStalled()) {
            HttpServerExchange oldest = writeStartedAt.keySet().iterator().next();
            counters.count("responses not read");
            writeStartedAt.remove(oldest);
            counters.eventLog()
                    .log(
                            EventLog.Category.CONNECTIONS,
                            () ->
                                    "client connection closed peer="
                                            + oldest.getConnection().getPeerAddress()
                                            + " cause=response not read");
            IoUtils.safeClose(oldest.getConnection());
        }
    }

    /**
     * Answers an unusable call with an error; the call has not reached an engine. The connection is
     * closed if the client sends more than this call, or if the manager shuts down.
     */
    void refuse(HttpServerExchange exchange, int status, String reason) {
        if (!exchange.isRequestComplete() || ClientProtocol.isPipelined(exchange)) {
            refuseAndClose(exchange, status, reason);
            return;
        }
        boolean crowded = connections.isCrowded();
        exchange.setPersistent(exchange.isPersistent() && !closeAfterAnswer && !crowded);
        recordRefusal(exchange, status, reason);
        exchange.setStatusCode(status);
        if (crowded) {
            closeOnceWritten(exchange);
        }
        send(exchange, errorBody(reason));
    }

    private void recordRefusal(HttpServerExchange exchange, int status, String reason) {
        counters.count("client calls refused with " + status);
        counters.eventLog()
                .log(
                        EventLog.Category.REQUESTS,
                        () ->
                                "client call refused peer="
                                        + exchange.getConnection().getPeerAddress()
                                        + " status="
                                        + status
                                        + " reason=\""
                                        + reason
                                        + '"');
    }

    /**
     * Closes the connection as soon as the answer is written: nothing of the call is left to read,
     * and until the client's end was read the connection would keep another one out.
     */
    private void closeOnceWritten(HttpServerExchange exchange) {
        counters.count("client connections closed after a refusal");
        exchange.addExchangeCompleteListener(
                (completed, next) -> {
                    IoUtils.safeClose(completed.getConnection());
                    next.proceed();
                });
    }

    /**
     * Answers an unusable call with an error, reads a limited amount of further input and closes
     * the connection. Undertow by itself would first read the complete body, so a client that never
     * ends its body would occupy the one thread that serves all clients.
     */
    void refuseAndClose(HttpServerExchange exchange, int status, String reason) {
        recordRefusal(exchange, status, reason);
        exchange.setStatusCode(status);
        exchange.setPersistent(false);
        exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
        connections.onCallEnded(ClientProtocol.connectionOf(exchange));
        send(
                exchange,
                errorBody(reason),
                new IoCallback() {
                    @Override
                    public void onComplete(HttpServerExchange completed, Sender sender) {
                        drainAndClose((AbstractServerConnection) completed.getConnection());
                    }

                    @Override
                    public void onException(
                            HttpServerExchange failed, Sender sender, IOException exception) {
                        IoUtils.safeClose(failed.getConnection());
                    }
                });
    }

    private void drainAndClose(AbstractServerConnection connection) {
        int[] bytesLeft = {MAX_DRAIN_BYTES};
        guard.executeAfter(DRAIN_MS, () -> IoUtils.safeClose(connection));
        connection
                .getChannel()
                .getSourceChannel()
                .setReadListener(source -> drain(connection, bytesLeft));
        connection.getOriginalSourceConduit().resumeReads();
    }

    private static void drain(AbstractServerConnection connection, int[] bytesLeft) {
        try (PooledByteBuffer pooled = connection.getByteBufferPool().allocate()) {
            int bytesRead = connection.getOriginalSourceConduit().read(pooled.getBuffer());
            bytesLeft[0] -= bytesRead;
            if (bytesRead < 0 || bytesLeft[0] <= 0) {
                IoUtils.safeClose(connection);
            }
        } catch (IOException exception) {
            IoUtils.safeClose(connection);
        }
    }

    private static ByteBuffer errorBody(String reason) {
        return ByteBuffer.wrap(
                ("{\"err\":\"" + reason + "\"}\n").getBytes(StandardCharsets.US_ASCII));
    }

    /** Sends a JSON answer with the status code of the exchange. */
    void send(HttpServerExchange exchange, ByteBuffer body) {
        send(exchange, body, IoCallback.END_EXCHANGE);
    }

    private void send(HttpServerExchange exchange, ByteBuffer body, IoCallback callback) {
        writeStartedAt.put(exchange, clock.now());
        exchange.addExchangeCompleteListener(
                (completed, next) -> {
                    writeStartedAt.remove(completed);
                    next.proceed();
                });
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, body.remaining());
        exchange.getResponseSender().send(body, callback);
    }
}
