package firstage.server.client;

import firstage.server.ActionGuard;
import firstage.server.Counters;
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
 * Writes answers to clients, and ends the connections of clients that do not read theirs. Owned by
 * the I/O thread.
 */
final class ClientResponses {
    /**
     * After the last answer on a connection so much is read off for so long: a close at once could
     * take it back.
     */
    private static final int DRAIN_MS = 300;

    private static final int MAX_DRAIN_BYTES = 256 * 1024;

    /** A client that reads has a whole result in milliseconds; one on a bad path in seconds. */
    private static final int MAX_WRITE_MS = 10_000;

    private static final int MAX_WRITE_CLOSING_MS = 1_000;
    private static final int WRITE_SWEEP_PERIOD_MS = 250;

    private final XnioIoThread io;
    private final TickClock clock;
    private final Counters counters;
    private final ActionGuard guard;
    private final ClientConnections connections;

    /** Answers that are not all written yet, and since when; oldest first. */
    private final Map<HttpServerExchange, Long> writesSince = new LinkedHashMap<>();

    private long closingSince;
    private boolean closing;

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

    /** The program shuts down: connections end with their answers from here on. */
    void closing(long now) {
        closing = true;
        closingSince = now;
    }

    boolean isClosing() {
        return closing;
    }

    /** Whether all answers are written, or their clients have not read them in time. */
    boolean isIdle() {
        return writesSince.isEmpty();
    }

    /**
     * Ends the connections of answers that were not read in time; runs on by itself. A client that
     * does not read its answer is waited for no longer than one that does needs: it must not keep
     * the program from ending.
     */
    void sweepStalledWrites() {
        if (isOldestWriteStalled()) {
            // What was read during a pause has made room, and is written first.
            guard.runAfterPendingReads(this::closeStalledWrites);
        }
        io.executeAfter(this::sweepStalledWrites, WRITE_SWEEP_PERIOD_MS, TimeUnit.MILLISECONDS);
    }

    private boolean isOldestWriteStalled() {
        long maxMs = closing ? MAX_WRITE_CLOSING_MS : MAX_WRITE_MS;
        return !writesSince.isEmpty()
                && clock.now() - Math.max(writesSince.values().iterator().next(), closingSince)
                        > Ticks.ofMillis(maxMs);
    }

    private void closeStalledWrites() {
        while (isOldestWriteStalled()) {
            HttpServerExchange oldest = writesSince.keySet().iterator().next();
            counters.count("responses not read");
            writesSince.remove(oldest);
            IoUtils.safeClose(oldest.getConnection());
        }
    }

    /** Answers a call that can't be used; it never reached an engine. */
    void refuse(HttpServerExchange exchange, int status, String reason) {
        if (!exchange.isRequestComplete()) {
            refuseAndClose(exchange, status, reason);
            return;
        }
        counters.count("client calls refused with " + status);
        exchange.setStatusCode(status);
        send(exchange, errorBody(reason));
    }

    /**
     * The same, and the connection ends with it. Of what still comes little is read: Undertow would
     * drain a body first, for as long as a client that never ends it sends, on the one thread that
     * serves all others.
     */
    void refuseAndClose(HttpServerExchange exchange, int status, String reason) {
        counters.count("client calls refused with " + status);
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

    /** Sends a JSON answer under the status that the exchange has. */
    void send(HttpServerExchange exchange, ByteBuffer body) {
        send(exchange, body, IoCallback.END_EXCHANGE);
    }

    private void send(HttpServerExchange exchange, ByteBuffer body, IoCallback then) {
        writesSince.put(exchange, clock.now());
        exchange.addExchangeCompleteListener(
                (completed, next) -> {
                    writesSince.remove(completed);
                    next.proceed();
                });
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, body.remaining());
        exchange.getResponseSender().send(body, then);
    }
}
