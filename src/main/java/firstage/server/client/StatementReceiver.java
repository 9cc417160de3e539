package firstage.server.client;

import firstage.server.ActionGuard;
import firstage.server.Counters;
import io.undertow.io.Receiver;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;

/** Receives the statements of calls, of limited size and within limited time. */
final class StatementReceiver {
    /** Handles statements that were received completely. */
    interface StatementHandler {
        /**
         * Handles a statement.
         *
         * @param arrivedNotBefore earliest time, in ticks, at which its last byte can have arrived
         */
        void onStatement(
                HttpServerExchange exchange,
                String trafficClass,
                byte[] statement,
                long arrivedNotBefore);
    }

    static final int MAX_STATEMENT_BYTES = 64 * 1024;

    /** Maximum time from the end of a call's head to the end of its statement. */
    private static final int MAX_BODY_READ_MS = 2_000;

    private final Counters counters;
    private final ActionGuard guard;
    private final ClientResponses responses;
    private final StatementHandler handler;

    StatementReceiver(
            Counters counters,
            ActionGuard guard,
            ClientResponses responses,
            StatementHandler handler) {
        this.counters = counters;
        this.guard = guard;
        this.responses = responses;
        this.handler = handler;
    }

    /** A statement that is being received. */
    private final class Reception {
        private final HttpServerExchange exchange;
        private final String trafficClass;
        private final ClientInput input;

        /** Earliest arrival of the bytes that are there already. */
        private final long availableNotBefore;

        private XnioExecutor.Key timeout;
        private boolean waitsForBytes;

        private Reception(
                HttpServerExchange exchange,
                String trafficClass,
                ClientInput input,
                long availableNotBefore) {
            this.exchange = exchange;
            this.trafficClass = trafficClass;
            this.input = input;
            this.availableNotBefore = availableNotBefore;
        }

        private void start() {
            // A client that stops in the middle of a statement would hold its connection forever.
            timeout = guard.executeAfter(MAX_BODY_READ_MS, this::onTimeout);
            exchange.getRequestReceiver().setMaxBufferSize(MAX_STATEMENT_BYTES);
            exchange.getRequestReceiver()
                    .receiveFullBytes(
                            (received, statement) -> onReceived(statement),
                            (failed, exception) -> onNotReceived(exception));
            waitsForBytes = true;
        }

        private void onTimeout() {
            counters.count("statements not ended in time");
            IoUtils.safeClose(exchange.getConnection());
        }

        private void onReceived(byte[] statement) {
            timeout.remove();
            long arrivedNotBefore = waitsForBytes ? input.earliestArrival() : availableNotBefore;
            exchange.dispatch(
                    SameThreadExecutor.INSTANCE,
                    () -> handler.onStatement(exchange, trafficClass, statement, arrivedNotBefore));
        }

        private void onNotReceived(IOException exception) {
            timeout.remove();
            counters.count("incomplete client calls");
            if (exception instanceof Receiver.RequestToLargeException) {
                responses.refuseAndClose(exchange, 413, "statement too long");
            } else {
                IoUtils.safeClose(exchange.getConnection());
                exchange.endExchange();
            }
        }
    }

    /**
     * Receives the statement of a call.
     *
     * @param input input of the call's connection
     * @param availableNotBefore earliest time, in ticks, at which those bytes can have arrived that
     *     can be read now
     */
    void receive(
            HttpServerExchange exchange,
            String trafficClass,
            ClientInput input,
            long availableNotBefore) {
        new Reception(exchange, trafficClass, input, availableNotBefore).start();
    }
}
