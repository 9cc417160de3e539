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
 * Clients of one manager that send statements at a given rate over connections that stay open. A
 * connection has one call at a time. As the protocol requires, a connection is idle for 4 s at
 * most, and a client that receives the path of a poll sends the poll at once.
 */
final class LoadClients implements AutoCloseable {
    /** Longest idle time of a connection, in seconds; clients close one that is idle for longer. */
    static final double MAX_IDLE_S = 4;

    private static final int DEADLINE_MS = 4_000;

    /** Time between two measurements of the delay of the clients' thread. */
    private static final int TICK_INTERVAL_MS = 10;

    private static final long MAX_RECORDED_US = 60_000_000;
    private static final String STATEMENT =
            "SELECT day, count(*) FROM sales_17.orders GROUP BY day";
    private static final String POLL_PREFIX = "{\"poll\":\"";

    private final XnioWorker worker;
    private final XnioIoThread ioThread;
    private final ByteBufferPool buffers = new DefaultByteBufferPool(true, 2 * 1024, 64, 0);
    private final UndertowClient httpClient = UndertowClient.getInstance();
    private final URI managerUri;
    private final String tenant;
    private final List<Caller> callers = new ArrayList<>();
    private final Histogram latencies = new ConcurrentHistogram(MAX_RECORDED_US, 2);
    private final Histogram threadDelays = new ConcurrentHistogram(MAX_RECORDED_US, 2);
    private final AtomicLong returned = new AtomicLong();
    private final AtomicLong rejected = new AtomicLong();
    private final AtomicLong failed = new AtomicLong();
    private final AtomicLong opened = new AtomicLong();
    private volatile boolean closed;

    /** Time between the starts of two statements on a connection, in us. */
    private volatile long statementIntervalUs;

    private long lastRequestId;

    /**
     * Starts the clients' thread, without any connections.
     *
     * @param address address at which the manager listens for clients
     * @param tenant tenant of the statements
     */
    LoadClients(InetSocketAddress address, String tenant) throws IOException {
        managerUri =
                URI.create(
                        "http://"
                                + address.getAddress().getHostAddress()
                                + ":"
                                + address.getPort());
        this.tenant = tenant;
        worker =
                Xnio.getInstance(LoadClients.class.getClassLoader())
                        .createWorker(
                                OptionMap.builder()
                                        .set(Options.WORKER_NAME, "clients")
                                        .set(Options.WORKER_IO_THREADS, 1)
                                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                                        .getMap());
        ioThread = worker.getIoThread();
        measureDelay(System.nanoTime());
    }

    /**
     * Changes the load. Additional connections are opened evenly over one interval between
     * statements.
     *
     * @param rate statements a second over all connections
     */
    void setLoad(int connections, double rate) {
        statementIntervalUs = (long) (connections / rate * 1e6);
        ioThread.execute(
                () -> {
                    int connectionsBefore = callers.size();
                    for (int i = connectionsBefore; i < connections; i++) {
                        Caller caller = new Caller();
                        callers.add(caller);
                        caller.scheduleAfter(
                                statementIntervalUs
                                        * (i - connectionsBefore)
                                        / Math.max(1, connections - connectionsBefore));
                    }
                    while (callers.size() > connections) {
                        callers.remove(callers.size() - 1).disconnect();
                    }
                });
    }

    /** Returns the number of statements whose result was returned. */
    long returned() {
        return returned.get();
    }

    /** Returns the number of statements that the manager rejected. */
    long rejected() {
        return rejected.get();
    }

    /**
     * Returns the number of statements that ended in another way: with an error, without an answer,
     * or without a connection.
     */
    long failed() {
        return failed.get();
    }

    /** Returns the number of connections that were opened so far. */
    long opened() {
        return opened.get();
    }

    /** Returns the times from the start of a statement to its final answer, in us. */
    Histogram latencies() {
        return latencies;
    }

    /**
     * Returns the delays of the clients' thread, in us. The measured latencies contain them, and
     * are no measure of the manager if the delays are long.
     */
    Histogram threadDelays() {
        return threadDelays;
    }

    private void measureDelay(long dueNs) {
        if (!closed) {
            threadDelays.recordValue(
                    Math.min(MAX_RECORDED_US, Math.max(0, (System.nanoTime() - dueNs) / 1_000)));
            long nextNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TICK_INTERVAL_MS);
            ioThread.executeAfter(
                    () -> measureDelay(nextNs), TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    private interface BodyHandler {
        void accept(String text) throws IOException;
    }

    /** A client with one connection; it runs on the clients' thread. */
    private final class Caller {
        private ClientConnection connection;
        private boolean disconnected;

        /**
         * Time at which the next statement is due, in us of the monotonic clock. Due times are
         * evenly spaced, so after a long statement the next one follows sooner.
         */
        private long nextStatementUs = System.nanoTime() / 1_000;

        private long startNs;

        private void scheduleAfter(long delayUs) {
            nextStatementUs += delayUs;
            long delayMs = Math.max(0, nextStatementUs - System.nanoTime() / 1_000) / 1_000;
            ioThread.executeAfter(
                    this::startStatement,
                    Math.min(delayMs, (long) (MAX_IDLE_S * 1_000)),
                    TimeUnit.MILLISECONDS);
        }

        private void disconnect() {
            disconnected = true;
            IoUtils.safeClose(connection);
        }

        private void startStatement() {
            if (closed || disconnected) {
                return;
            }
            startNs = System.nanoTime();
            if (connection != null && connection.isOpen()) {
                post();
                return;
            }
            httpClient.connect(
                    new ClientCallback<>() {
                        @Override
                        public void completed(ClientConnection newConnection) {
                            opened.incrementAndGet();
                            connection = newConnection;
                            post();
                        }

                        @Override
                        public void failed(IOException fault) {
                            finish(LoadClients.this.failed);
                        }
                    },
                    managerUri,
                    ioThread,
                    buffers,
                    OptionMap.create(Options.TCP_NODELAY, true));
        }

        private void post() {
            ClientRequest request =
                    new ClientRequest().setMethod(Methods.POST).setPath("/ops/lookup");
            request.getRequestHeaders()
                    .put(Headers.HOST, managerUri.getAuthority())
                    .put(Headers.CONTENT_LENGTH, STATEMENT.length())
                    .put(new HttpString("X-Job-Id"), String.format("%016x", ++lastRequestId))
                    .put(new HttpString("X-Allow-Ms"), DEADLINE_MS)
                    .put(new HttpString("X-Team"), tenant)
                    .put(new HttpString("X-Size-Ms"), "20")
                    .put(new HttpString("X-Memory"), "30");
            send(request, STATEMENT);
        }

        private void send(ClientRequest request, String body) {
            connection.sendRequest(
                    request,
                    new ClientCallback<>() {
                        @Override
                        public void completed(ClientExchange exchange) {
                            if (!body.isEmpty()) {
                                new StringWriteChannelListener(body)
                                        .setup(exchange.getRequestChannel());
                            }
                            exchange.setResponseListener(
                                    new ClientCallback<>() {
                                        @Override
                                        public void completed(ClientExchange answered) {
                                            readBody(
                                                    answered,
                                                    text ->
                                                            onAnswer(
                                                                    answered.getResponse()
                                                                            .getResponseCode(),
                                                                    text));
                                        }

                                        @Override
                                        public void failed(IOException fault) {
                                            onConnectionBroken();
                                        }
                                    });
                        }

                        @Override
                        public void failed(IOException fault) {
                            onConnectionBroken();
                        }
                    });
        }

        private void readBody(ClientExchange exchange, BodyHandler handler) {
            new StringReadChannelListener(buffers) {
                @Override
                protected void stringDone(String text) {
                    // The next call must start after the exchange, which ends on return from here.
                    ioThread.execute(
                            () -> {
                                try {
                                    handler.accept(text);
                                } catch (IOException fault) {
                                    onConnectionBroken();
                                }
                            });
                }

                @Override
                protected void error(IOException fault) {
                    onConnectionBroken();
                }
            }.setup(exchange.getResponseChannel());
        }

        private void onAnswer(int status, String text) {
            if (text.startsWith(POLL_PREFIX)) {
                ClientRequest request =
                        new ClientRequest()
                                .setMethod(Methods.GET)
                                .setPath(
                                        text.substring(
                                                POLL_PREFIX.length(),
                                                text.indexOf('"', POLL_PREFIX.length())));
                request.getRequestHeaders().put(Headers.HOST, managerUri.getAuthority());
                send(request, "");
                return;
            }
            latencies.recordValue(Math.min(MAX_RECORDED_US, (System.nanoTime() - startNs) / 1_000));
            finish(status == 200 ? returned : status == 429 || status == 503 ? rejected : failed);
        }

        private void onConnectionBroken() {
            IoUtils.safeClose(connection);
            finish(failed);
        }

        private void finish(AtomicLong counter) {
            if (!closed && !disconnected) {
                counter.incrementAndGet();
            }
            scheduleAfter(statementIntervalUs);
        }
    }

    @Override
    public void close() {
        closed = true;
        ioThread.execute(() -> callers.forEach(Caller::disconnect));
        worker.shutdown();
    }
}
