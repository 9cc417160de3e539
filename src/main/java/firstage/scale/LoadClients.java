package firstage.scale;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.StringReadChannelListener;
import io.undertow.util.StringWriteChannelListener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * Clients of one manager: so many connections that stay open, each with one call at a time, at so
 * many statements a second in all. Within the protocol page: a connection rests 4 s at most, and
 * asks at once where it is given a path.
 */
final class LoadClients implements AutoCloseable {
    /** A client that rests longer closes its connection. */
    static final double MOST_REST_S = 4;

    private static final int ALLOW_MS = 4_000;
    private static final int TICK_MS = 10;
    private static final long MOST_US = 60_000_000;
    private static final String STATEMENT =
            "SELECT day, count(*) FROM sales_17.orders GROUP BY day";
    private static final String POLL = "{\"poll\":\"";

    private final XnioWorker worker;
    private final XnioIoThread io;
    private final ByteBufferPool buffers = new DefaultByteBufferPool(true, 2 * 1024, 64, 0);
    private final UndertowClient client = UndertowClient.getInstance();
    private final URI manager;
    private final String customer;
    private final List<Caller> callers = new ArrayList<>();
    private final Histogram latency = new ConcurrentHistogram(MOST_US, 2);
    private final Histogram late = new ConcurrentHistogram(MOST_US, 2);
    private final AtomicLong returned = new AtomicLong();
    private final AtomicLong pushedBack = new AtomicLong();
    private final AtomicLong failed = new AtomicLong();
    private final AtomicLong opened = new AtomicLong();
    private volatile boolean over;

    /** Between two calls of a connection, in us. */
    private volatile long pace;

    private long ids;

    /** {@code customer}: whose statements these are. */
    LoadClients(InetSocketAddress at, String customer) throws IOException {
        manager = URI.create("http://" + at.getAddress().getHostAddress() + ":" + at.getPort());
        this.customer = customer;
        worker =
                Xnio.getInstance(LoadClients.class.getClassLoader())
                        .createWorker(
                                OptionMap.builder()
                                        .set(Options.WORKER_NAME, "clients")
                                        .set(Options.WORKER_IO_THREADS, 1)
                                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                                        .getMap());
        io = worker.getIoThread();
        tick(System.nanoTime());
    }

    /**
     * From now on so many connections, and statements a second; more connections than before are
     * opened evenly.
     */
    void play(int connections, double rate) {
        pace = (long) (connections / rate * 1e6);
        io.execute(
                () -> {
                    int before = callers.size();
                    for (int c = before; c < connections; c++) {
                        Caller caller = new Caller();
                        callers.add(caller);
                        caller.at(pace * (c - before) / Math.max(1, connections - before));
                    }
                    while (callers.size() > connections) {
                        callers.remove(callers.size() - 1).leaves();
                    }
                });
    }

    long returned() {
        return returned.get();
    }

    long pushedBack() {
        return pushedBack.get();
    }

    /** Calls that ended in another way: errored, not answered, no connection. */
    long failed() {
        return failed.get();
    }

    /** Connections that were opened so far. */
    long opened() {
        return opened.get();
    }

    /** From a call's first byte to its last answer, in us. */
    Histogram latency() {
        return latency;
    }

    /** How late this thread came, in us: one that has no time for it proves nothing. */
    Histogram late() {
        return late;
    }

    private void tick(long due) {
        if (!over) {
            late.recordValue(Math.min(MOST_US, Math.max(0, (System.nanoTime() - due) / 1_000)));
            long next = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TICK_MS);
            io.executeAfter(() -> tick(next), TICK_MS, TimeUnit.MILLISECONDS);
        }
    }

    private interface Body {
        void is(String text) throws IOException;
    }

    private final class Caller {
        private ClientConnection connection;
        private boolean left;

        /**
         * Due in us of the monotonic clock: a call that took long is followed sooner by the next.
         */
        private long due = System.nanoTime() / 1_000;

        private long from;

        private void at(long us) {
            due += us;
            long wait = Math.max(0, due - System.nanoTime() / 1_000) / 1_000;
            io.executeAfter(
                    this::call,
                    Math.min(wait, (long) (MOST_REST_S * 1_000)),
                    TimeUnit.MILLISECONDS);
        }

        private void leaves() {
            left = true;
            IoUtils.safeClose(connection);
        }

        private void call() {
            if (over || left) {
                return;
            }
            from = System.nanoTime();
            if (connection != null && connection.isOpen()) {
                post();
                return;
            }
            client.connect(
                    new ClientCallback<>() {
                        @Override
                        public void completed(ClientConnection up) {
                            opened.incrementAndGet();
                            connection = up;
                            post();
                        }

                        @Override
                        public void failed(IOException fault) {
                            ends(LoadClients.this.failed);
                        }
                    },
                    manager,
                    io,
                    buffers,
                    OptionMap.create(Options.TCP_NODELAY, true));
        }

        private void post() {
            ClientRequest request =
                    new ClientRequest().setMethod(Methods.POST).setPath("/ops/lookup");
            request.getRequestHeaders()
                    .put(Headers.HOST, manager.getAuthority())
                    .put(Headers.CONTENT_LENGTH, STATEMENT.length())
                    .put(new HttpString("X-Job-Id"), String.format("%016x", ++ids))
                    .put(new HttpString("X-Allow-Ms"), ALLOW_MS)
                    .put(new HttpString("X-Team"), customer)
                    .put(new HttpString("X-Size-Ms"), "20")
                    .put(new HttpString("X-Memory"), "30");
            send(request, STATEMENT);
        }

        private void send(ClientRequest request, String body) {
            connection.sendRequest(
                    request,
                    new ClientCallback<>() {
                        @Override
                        public void completed(ClientExchange x) {
                            if (!body.isEmpty()) {
                                new StringWriteChannelListener(body).setup(x.getRequestChannel());
                            }
                            x.setResponseListener(
                                    new ClientCallback<>() {
                                        @Override
                                        public void completed(ClientExchange answered) {
                                            text(
                                                    answered,
                                                    text ->
                                                            took(
                                                                    answered.getResponse()
                                                                            .getResponseCode(),
                                                                    text));
                                        }

                                        @Override
                                        public void failed(IOException fault) {
                                            broken();
                                        }
                                    });
                        }

                        @Override
                        public void failed(IOException fault) {
                            broken();
                        }
                    });
        }

        private void text(ClientExchange x, Body then) {
            new StringReadChannelListener(buffers) {
                @Override
                protected void stringDone(String text) {
                    // The exchange is over once this returns: the next call goes after it.
                    io.execute(
                            () -> {
                                try {
                                    then.is(text);
                                } catch (IOException fault) {
                                    broken();
                                }
                            });
                }

                @Override
                protected void error(IOException fault) {
                    broken();
                }
            }.setup(x.getResponseChannel());
        }

        private void took(int status, String text) {
            if (text.startsWith(POLL)) {
                ClientRequest request =
                        new ClientRequest()
                                .setMethod(Methods.GET)
                                .setPath(
                                        text.substring(
                                                POLL.length(), text.indexOf('"', POLL.length())));
                request.getRequestHeaders().put(Headers.HOST, manager.getAuthority());
                send(request, "");
                return;
            }
            latency.recordValue(Math.min(MOST_US, (System.nanoTime() - from) / 1_000));
            ends(status == 200 ? returned : status == 429 || status == 503 ? pushedBack : failed);
        }

        private void broken() {
            IoUtils.safeClose(connection);
            ends(failed);
        }

        private void ends(AtomicLong how) {
            if (!over && !left) {
                how.incrementAndGet();
            }
            at(pace);
        }
    }

    @Override
    public void close() {
        over = true;
        io.execute(() -> callers.forEach(Caller::leaves));
        worker.shutdown();
    }
}
