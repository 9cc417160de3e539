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
 * All engines of a scale run behind one listener: each statement takes the time its head tells and
 * returns one row, whatever else runs. They answer probes, and hold a call for news as the protocol
 * page has it.
 */
final class HollowEngines implements AutoCloseable {
    private static final long HOLDS_MS = 250;
    private static final long FORGETS_MS = 2_000;
    private static final HttpString TICKET = new HttpString("X-Ticket");
    private static final HttpString PAGE_COUNT = new HttpString("Page-Count");
    private static final HttpString METER = new HttpString("X-Meter");

    /** By id, when each is over, in ms; on the listener's one thread. */
    private final Map<String, Long> statements = new HashMap<>();

    private final AtomicLong taken = new AtomicLong();
    private final AtomicLong probes = new AtomicLong();
    private final long workMs;
    private final Undertow server;

    /** {@code workMs}: of each statement. */
    HollowEngines(InetSocketAddress at, long workMs) {
        this.workMs = workMs;
        server =
                Undertow.builder()
                        .addHttpListener(at.getPort(), at.getAddress().getHostAddress())
                        .setIoThreads(1)
                        .setWorkerThreads(1)
                        .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                        .setHandler(this::call)
                        .build();
        server.start();
    }

    private static long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** Statements that came so far; any thread. */
    long taken() {
        return taken.get();
    }

    /** Probes that came so far; any thread. */
    long probes() {
        return probes.get();
    }

    private void call(HttpServerExchange x) {
        String method = x.getRequestMethod().toString();
        String[] path = x.getRequestPath().split("/");
        if (method.equals("POST")) {
            x.getRequestReceiver()
                    .receiveFullBytes(
                            (whole, body) -> {
                                String id = whole.getRequestHeaders().getFirst(TICKET);
                                statements.put(id, now() + workMs);
                                taken.incrementAndGet();
                                whole.getIoThread()
                                        .executeAfter(
                                                () -> statements.remove(id),
                                                workMs + FORGETS_MS,
                                                TimeUnit.MILLISECONDS);
                                news(whole, statements.get(id));
                            });
        } else if (method.equals("GET") && path.length == 4) {
            news(x, statements.get(path[2]));
        } else if (method.equals("GET")) {
            probes.incrementAndGet();
            x.getResponseHeaders().put(METER, "waiting:0");
            answer(x, 200);
        } else if (method.equals("DELETE") && path.length > 2) {
            statements.remove(path[2]);
            answer(x, 204);
        } else {
            answer(x, 204);
        }
    }

    private static void news(HttpServerExchange x, Long due) {
        long left = due == null ? 0 : due - now();
        if (due == null) {
            answer(x, 500);
        } else if (left <= 0) {
            row(x);
        } else {
            boolean ends = left <= HOLDS_MS;
            x.dispatch(
                    SameThreadExecutor.INSTANCE,
                    () ->
                            x.getIoThread()
                                    .executeAfter(
                                            () -> {
                                                if (ends) {
                                                    row(x);
                                                } else {
                                                    answer(x, 202);
                                                }
                                            },
                                            ends ? left : HOLDS_MS,
                                            TimeUnit.MILLISECONDS));
        }
    }

    private static void row(HttpServerExchange x) {
        x.getResponseHeaders().put(PAGE_COUNT, "1");
        x.setStatusCode(200);
        x.getResponseSender().send("a\tb\tc\n");
    }

    private static void answer(HttpServerExchange x, int status) {
        x.setStatusCode(status);
        x.endExchange();
    }

    @Override
    public void close() {
        server.stop();
    }
}
