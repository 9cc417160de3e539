package firstage.scale;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Emulates all engines of a scale run behind one listener. Each statement takes the same time and
 * returns one row, regardless of the load. The engines answer probes, and hold the answer to a
 * statement or a poll until the statement ends or the hold time is over.
 */
final class HollowEngines implements AutoCloseable {
    /** Longest time for which an answer is held. */
    private static final long MAX_HOLD_MS = 250;

    /** Time for which the result of a statement can be read after the end of the statement. */
    private static final long RESULT_RETENTION_MS = 2_000;

    private static final HttpString TICKET = new HttpString("X-Ticket");
    private static final HttpString PAGE_COUNT = new HttpString("Page-Count");
    private static final HttpString LOAD_REPORT = new HttpString("X-Meter");

    /** Times in ms at which the statements end, by id; only used on the listener's one thread. */
    private final Map<String, Long> endTimes = new HashMap<>();

    private final AtomicLong statementsReceived = new AtomicLong();
    private final AtomicLong probes = new AtomicLong();
    private final long workMs;
    private final Undertow server;

    /**
     * Starts the listener.
     *
     * @param workMs time in ms that each statement takes
     */
    HollowEngines(InetSocketAddress address, long workMs) {
        this.workMs = workMs;
        server =
                Undertow.builder()
                        .addHttpListener(address.getPort(), address.getAddress().getHostAddress())
                        .setIoThreads(1)
                        .setWorkerThreads(1)
                        .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                        .setHandler(this::handle)
                        .build();
        server.start();
    }

    private static long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** Returns the number of statements received so far. Any thread may call it. */
    long statementsReceived() {
        return statementsReceived.get();
    }

    /** Returns the number of probes received so far. Any thread may call it. */
    long probes() {
        return probes.get();
    }

    private void handle(HttpServerExchange exchange) {
        String method = exchange.getRequestMethod().toString();
        String[] path = exchange.getRequestPath().split("/");
        if (method.equals("POST")) {
            exchange.getRequestReceiver()
                    .receiveFullBytes(
                            (received, body) -> {
                                String id = received.getRequestHeaders().getFirst(TICKET);
                                endTimes.put(id, nowMs() + workMs);
                                statementsReceived.incrementAndGet();
                                received.getIoThread()
                                        .executeAfter(
                                                () -> endTimes.remove(id),
                                                workMs + RESULT_RETENTION_MS,
                                                TimeUnit.MILLISECONDS);
                                answerWhenDone(received, endTimes.get(id));
                            });
        } else if (method.equals("GET") && path.length == 4) {
            answerWhenDone(exchange, endTimes.get(path[2]));
        } else if (method.equals("GET")) {
            probes.incrementAndGet();
            exchange.getResponseHeaders().put(LOAD_REPORT, "waiting:0");
            sendStatus(exchange, 200);
        } else if (method.equals("DELETE") && path.length > 2) {
            endTimes.remove(path[2]);
            sendStatus(exchange, 204);
        } else {
            sendStatus(exchange, 204);
        }
    }

    /**
     * Answers with the row of a statement, with status 202 if the statement does not end within the
     * hold time, or with status 500 if the statement is unknown.
     */
    private static void answerWhenDone(HttpServerExchange exchange, Long endMs) {
        long remainingMs = endMs == null ? 0 : endMs - nowMs();
        if (endMs == null) {
            sendStatus(exchange, 500);
        } else if (remainingMs <= 0) {
            sendRow(exchange);
        } else {
            boolean endsWithinHold = remainingMs <= MAX_HOLD_MS;
            exchange.dispatch(
                    SameThreadExecutor.INSTANCE,
                    () ->
                            exchange.getIoThread()
                                    .executeAfter(
                                            () -> {
                                                if (endsWithinHold) {
                                                    sendRow(exchange);
                                                } else {
                                                    sendStatus(exchange, 202);
                                                }
                                            },
                                            endsWithinHold ? remainingMs : MAX_HOLD_MS,
                                            TimeUnit.MILLISECONDS));
        }
    }

    private static void sendRow(HttpServerExchange exchange) {
        exchange.getResponseHeaders().put(PAGE_COUNT, "1");
        exchange.setStatusCode(200);
        exchange.getResponseSender().send("a\tb\tc\n");
    }

    private static void sendStatus(HttpServerExchange exchange, int status) {
        exchange.setStatusCode(status);
        exchange.endExchange();
    }

    @Override
    public void close() {
        server.stop();
    }
}
