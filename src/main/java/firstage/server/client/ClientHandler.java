package firstage.server.client;

import firstage.config.ManagerConfig;
import firstage.config.WireFields;
import firstage.server.Counters;
import firstage.server.RequestExchange;
import firstage.server.ServerEvents;
import firstage.server.TickClock;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.io.IoCallback;
import io.undertow.io.Receiver;
import io.undertow.io.Sender;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.HttpContinueReadHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;
import org.xnio.nio.IoThreadTcpServer;

/** Where clients come in: reads their calls, answers what can't be used, hands on the rest. */
public final class ClientHandler {
    private static final int MAX_STATEMENT_BYTES = 64 * 1024;

    /** Answered 431; beyond four times that it is taken for no HTTP. */
    private static final int MAX_HEAD_BYTES = 16 * 1024;

    private static final int ACCEPT_BACKLOG = 512;

    /** Accepted, and not yet handed over. */
    private static final int ACCEPT_MARGIN = 8;

    /** From the end of its head to the end of a statement. */
    private static final int MAX_BODY_READ_MS = 2_000;

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

    /**
     * A client that finds no room should stay away: a good part of what is kept is over by then.
     */
    private static final int BUSY_RETRY_AFTER_MS = 500;

    /** Work in ms or memory in MB: a year on one core, and a thousand engines' memory. */
    private static final double MAX_ESTIMATE = 3e10;

    /** Times its group's time limit: so long no client waits; clocks and rounding need far less. */
    private static final double MAX_DEADLINE_FACTOR = 1.5;

    private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,15}(\\.[0-9]{1,15})?");
    private static final String POLL_PATH_PREFIX = "/-/news/";
    private static final HttpString REQUEST_ID = new HttpString("X-Job-Id");
    private static final HttpString DEADLINE_MS = new HttpString("X-Allow-Ms");
    private static final HttpString TENANT = new HttpString("X-Team");
    private static final HttpString ESTIMATE_MS = new HttpString("X-Size-Ms");
    private static final HttpString MEMORY_MB = new HttpString("X-Memory");
    private static final HttpString ORDERING_KEY = new HttpString("X-Item");
    final XnioIoThread io;
    final Counters counters;
    final ServerEvents events;
    private final TickClock clock;
    private final InetSocketAddress listenAddress;
    private final List<String> trafficClasses = new ArrayList<>();
    private final List<String> tenants = new ArrayList<>();
    private final ClientConnections connections;
    private final int maxConnections;
    private final long maxKeptBytes;
    private AcceptingChannel<StreamConnection> listener;
    private HttpOpenListener httpListener;

    /** By the path at which the client may ask. */
    private final Map<String, PendingCall> callsByPollPath = new HashMap<>();

    /** The ids of batches whose clients are owed an answer. */
    private final Set<String> openRequestIds = new HashSet<>();

    /** Time limits of the groups in ms, by index. */
    private final List<Double> deadlinesMs = new ArrayList<>();

    private long acceptedRequests;
    private int unansweredRequests;

    /** Answers that are not all written yet, and since when; oldest first. */
    private final Map<HttpServerExchange, Long> writesSince = new LinkedHashMap<>();

    /** Statements and answers that are kept for clients. */
    private long keptBytes;

    private long closingSince;
    private boolean closing;

    public ClientHandler(
            XnioIoThread io,
            TickClock clock,
            Counters counters,
            ServerEvents events,
            ManagerConfig config) {
        this.io = io;
        this.clock = clock;
        this.counters = counters;
        this.events = events;
        this.listenAddress = config.listenAddress();
        maxConnections = config.maxClientConnections();
        maxKeptBytes = config.maxClientBytes();
        connections = new ClientConnections(io, counters, maxConnections);
        WireFields settings = config.settings();
        for (int i = 0; i < settings.getInt("classes.count", 0); i++) {
            trafficClasses.add(settings.getString("classes." + i + ".name", ""));
            double deadlineMs = settings.getDouble("classes." + i + ".deadline", 0) * 1_000;
            deadlinesMs.add(deadlineMs > 0 ? deadlineMs : MAX_ESTIMATE);
        }
        for (int i = 0; i < settings.getInt("tenants.count", 0); i++) {
            tenants.add(settings.getString("tenants." + i + ".name", ""));
        }
    }

    public void listen(XnioWorker worker) throws IOException {
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
        listener =
                IoThreadTcpServer.listen(
                        worker,
                        listenAddress,
                        this::acceptPending,
                        OptionMap.builder()
                                .set(Options.REUSE_ADDRESSES, true)
                                .set(Options.BACKLOG, ACCEPT_BACKLOG)
                                .set(Options.CONNECTION_HIGH_WATER, maxConnections + ACCEPT_MARGIN)
                                .set(
                                        Options.CONNECTION_LOW_WATER,
                                        maxConnections + ACCEPT_MARGIN - 1)
                                .set(Options.TCP_NODELAY, true)
                                .getMap());
    }

    /** Connections are taken in from here on; on the thread itself. */
    public void accept() {
        listener.resumeAccepts();
        connections.sweep();
        sweepStalledWrites();
    }

    /**
     * All that wait: XNIO's own listener takes one a look, and a batch on the others would be read
     * looks later.
     */
    private void acceptPending(AcceptingChannel<StreamConnection> from) {
        try {
            for (StreamConnection next = from.accept(); next != null; next = from.accept()) {
                onConnectionOpened(next);
            }
        } catch (IOException fault) {
            counters.count("connections not accepted");
        }
    }

    private void onConnectionOpened(StreamConnection connection) {
        if (connections.tryAdd(connection)) {
            connection
                    .getSinkChannel()
                    .setConduit(new BadRequestResponse(connection.getSinkChannel().getConduit()));
            httpListener.handleEvent(connection);
            connections.watchClose(connection);
        }
    }

    private static StreamConnection connectionOf(HttpServerExchange exchange) {
        return ((AbstractServerConnection) exchange.getConnection()).getChannel();
    }

    /**
     * The front sends nothing more. New connections are taken still: the harm prevented is a client
     * whose connection broke, or that gives up, and that is refused where its answer lies or its
     * word is waited for.
     */
    public void closing(long now) {
        closing = true;
        closingSince = now;
        // A batch on a connection that the machine took is ours, also where the thread had no time
        // for it yet.
        acceptPending(listener);
    }

    /** No new connections, once all that was taken is answered; what is open is answered still. */
    public void close() {
        if (listener.isOpen()) {
            acceptPending(listener);
            IoUtils.safeClose(listener);
        }
    }

    /**
     * Whether all that was taken is answered, and the answers are written. A client that does not
     * read its answer is waited for no longer than one that does needs: it must not keep a closing
     * manager from ending.
     */
    public boolean isIdle() {
        closeStalledWrites(closing ? MAX_WRITE_CLOSING_MS : MAX_WRITE_MS);
        return unansweredRequests == 0 && writesSince.isEmpty();
    }

    /** Ends the connections of answers that are written for so long; the oldest stand first. */
    private void closeStalledWrites(long maxMs) {
        while (!writesSince.isEmpty()) {
            Map.Entry<HttpServerExchange, Long> oldest = writesSince.entrySet().iterator().next();
            if (clock.now() - Math.max(oldest.getValue(), closingSince) <= maxMs * 10) {
                return;
            }
            counters.count("answers not read");
            writesSince.remove(oldest.getKey());
            IoUtils.safeClose(oldest.getKey().getConnection());
        }
    }

    private void sweepStalledWrites() {
        closeStalledWrites(MAX_WRITE_MS);
        io.executeAfter(this::sweepStalledWrites, WRITE_SWEEP_PERIOD_MS, TimeUnit.MILLISECONDS);
    }

    void onAnswerSent(PendingCall call) {
        openRequestIds.remove(call.id());
        unansweredRequests--;
    }

    /** A call that nobody asks for any more. */
    void releaseCall(PendingCall call, boolean answerSent) {
        if (callsByPollPath.remove(call.path(), call)) {
            addKeptBytes(-call.keptBytes());
            if (!answerSent) {
                onAnswerSent(call);
            }
        }
    }

    /** More bytes are kept for a client, or fewer. */
    void addKeptBytes(int difference) {
        keptBytes += difference;
        counters.peak("most bytes kept for clients", keptBytes);
        counters.checkInvariant(
                keptBytes >= 0 && (keptBytes == 0 || !callsByPollPath.isEmpty()),
                "bytes are kept for calls that are open");
    }

    long now() {
        return clock.now();
    }

    boolean closing() {
        return closing;
    }

    /** Whether there is one way only to tell where the call's body ends. */
    private static boolean hasUnambiguousLength(HttpServerExchange exchange) {
        HeaderValues lengths = exchange.getRequestHeaders().get(Headers.CONTENT_LENGTH);
        HeaderValues encodings = exchange.getRequestHeaders().get(Headers.TRANSFER_ENCODING);
        if (encodings != null) {
            return lengths == null
                    && encodings.size() == 1
                    && encodings.getFirst().equalsIgnoreCase("chunked");
        }
        return lengths == null || lengths.size() == 1 && lengths.getFirst().matches("[0-9]{1,18}");
    }

    /**
     * Whether the next call came before the answer to this one: a client makes one call at a time.
     */
    private static boolean isPipelined(HttpServerExchange exchange) {
        return ((AbstractServerConnection) exchange.getConnection()).getExtraBytes() != null;
    }

    private static int headBytes(HttpServerExchange exchange) {
        int size = exchange.getRequestURI().length();
        for (HeaderValues values : exchange.getRequestHeaders()) {
            for (String value : values) {
                size += values.getHeaderName().length() + value.length();
            }
        }
        return size;
    }

    private void handle(HttpServerExchange exchange) {
        connections.onCallStarted(connectionOf(exchange));
        exchange.addExchangeCompleteListener(
                (over, next) -> {
                    connections.onCallEnded(connectionOf(over));
                    next.proceed();
                });
        if (!hasUnambiguousLength(exchange)) {
            // One body might hide another call behind its end; nothing on this connection can be
            // trusted.
            refuseAndClose(exchange, 400, "length not usable");
            return;
        }
        if (headBytes(exchange) > MAX_HEAD_BYTES) {
            refuse(exchange, 431, "head too long");
            return;
        }
        String path = exchange.getRequestPath();
        if (path.equals("/alive")) {
            if (exchange.getRequestMethod().equals(Methods.GET)) {
                exchange.setStatusCode(200);
                exchange.endExchange();
            } else {
                refuse(exchange, 405, "GET only");
            }
            return;
        }
        if (path.startsWith(POLL_PATH_PREFIX)) {
            handlePoll(exchange, callsByPollPath.get(path));
            return;
        }
        String trafficClass = path.substring(path.lastIndexOf('/') + 1);
        if (trafficClass.isEmpty() || path.indexOf('/', 1) < 0) {
            refuse(exchange, 404, "no such path");
        } else if (!exchange.getRequestMethod().equals(Methods.POST)) {
            refuse(exchange, 405, "POST only");
        } else if (exchange.getRequestContentLength() > MAX_STATEMENT_BYTES) {
            refuse(exchange, 413, "statement too long");
        } else {
            // A client that stops within a statement would hold its connection for ever.
            XnioExecutor.Key bodyTimeout =
                    io.executeAfter(
                            () -> IoUtils.safeClose(exchange.getConnection()),
                            MAX_BODY_READ_MS,
                            TimeUnit.MILLISECONDS);
            exchange.getRequestReceiver().setMaxBufferSize(MAX_STATEMENT_BYTES);
            exchange.getRequestReceiver()
                    .receiveFullBytes(
                            (whole, bytes) -> {
                                bodyTimeout.remove();
                                whole.dispatch(
                                        SameThreadExecutor.INSTANCE,
                                        () -> handleStatement(whole, trafficClass, bytes));
                            },
                            (broken, fault) -> {
                                bodyTimeout.remove();
                                counters.count("calls not whole");
                                if (fault instanceof Receiver.RequestToLargeException) {
                                    refuseAndClose(broken, 413, "statement too long");
                                } else {
                                    IoUtils.safeClose(broken.getConnection());
                                    broken.endExchange();
                                }
                            });
        }
    }

    private void handlePoll(HttpServerExchange exchange, PendingCall call) {
        if (isPipelined(exchange)) {
            refuseAndClose(exchange, 400, "one call at a time");
        } else if (call == null) {
            refuse(exchange, 404, "no such path");
        } else if (exchange.getRequestMethod().equals(Methods.GET)) {
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> call.poll(exchange));
        } else if (exchange.getRequestMethod().equals(Methods.DELETE)) {
            call.cancel();
            exchange.setStatusCode(204);
            exchange.endExchange();
        } else {
            refuse(exchange, 405, "GET or DELETE only");
        }
    }

    /** An answer to what can't be used; it never reached an engine. */
    void refuse(HttpServerExchange exchange, int status, String reason) {
        if (!exchange.isRequestComplete()) {
            refuseAndClose(exchange, status, reason);
            return;
        }
        counters.count("calls answered " + status);
        exchange.setStatusCode(status);
        send(exchange, errorBody(reason));
    }

    /**
     * The same, and the connection ends with it. Of what still comes little is read: Undertow would
     * drain a body first, for as long as a client that never ends it sends, on the one thread that
     * serves all others.
     */
    void refuseAndClose(HttpServerExchange exchange, int status, String reason) {
        counters.count("calls answered " + status);
        exchange.setStatusCode(status);
        exchange.setPersistent(false);
        exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
        StreamConnection channel = connectionOf(exchange);
        connections.onCallEnded(channel);
        send(
                exchange,
                errorBody(reason),
                new IoCallback() {
                    @Override
                    public void onComplete(HttpServerExchange over, Sender sender) {
                        drainAndClose((AbstractServerConnection) over.getConnection());
                    }

                    @Override
                    public void onException(
                            HttpServerExchange over, Sender sender, IOException fault) {
                        IoUtils.safeClose(over.getConnection());
                    }
                });
    }

    private void drainAndClose(AbstractServerConnection connection) {
        int[] bytesLeft = {MAX_DRAIN_BYTES};
        io.executeAfter(() -> IoUtils.safeClose(connection), DRAIN_MS, TimeUnit.MILLISECONDS);
        connection
                .getChannel()
                .getSourceChannel()
                .setReadListener(
                        source -> {
                            try (PooledByteBuffer pooled =
                                    connection.getByteBufferPool().allocate()) {
                                int bytesRead =
                                        connection
                                                .getOriginalSourceConduit()
                                                .read(pooled.getBuffer());
                                bytesLeft[0] -= bytesRead;
                                if (bytesRead < 0 || bytesLeft[0] <= 0) {
                                    IoUtils.safeClose(connection);
                                }
                            } catch (IOException fault) {
                                IoUtils.safeClose(connection);
                            }
                        });
        connection.getOriginalSourceConduit().resumeReads();
    }

    private static ByteBuffer errorBody(String reason) {
        return ByteBuffer.wrap(
                ("{\"err\":\"" + reason + "\"}\n").getBytes(StandardCharsets.US_ASCII));
    }

    void send(HttpServerExchange exchange, ByteBuffer body) {
        send(exchange, body, IoCallback.END_EXCHANGE);
    }

    private void send(HttpServerExchange exchange, ByteBuffer body, IoCallback then) {
        writesSince.put(exchange, clock.now());
        exchange.addExchangeCompleteListener(
                (over, next) -> {
                    writesSince.remove(over);
                    next.proceed();
                });
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, body.remaining());
        exchange.getResponseSender().send(body, then);
    }

    private void handleStatement(
            HttpServerExchange exchange, String trafficClass, byte[] statement) {
        long now = clock.now();
        String id = headerText(exchange, REQUEST_ID);
        double allowMs = headerNumber(exchange, DEADLINE_MS, -1);
        double estimateMs = headerNumber(exchange, ESTIMATE_MS, 0);
        double memoryMb = headerNumber(exchange, MEMORY_MB, 0);
        String key = headerText(exchange, ORDERING_KEY);
        int tenant = tenants.isEmpty() ? 0 : tenants.indexOf(headerText(exchange, TENANT));
        int trafficClassIndex = trafficClasses.indexOf(trafficClass);
        if (isPipelined(exchange)) {
            refuseAndClose(exchange, 400, "one call at a time");
        } else if (trafficClassIndex < 0) {
            refuse(exchange, 400, "unknown service group");
        } else if (id == null || !id.matches("[0-9a-fA-F]{16}")) {
            refuse(exchange, 400, "X-Job-Id is missing or not usable");
        } else if (openRequestIds.contains(id)) {
            // Engines know a batch by its id: another statement under it would get this one's
            // answer.
            refuse(exchange, 409, "X-Job-Id is of an open batch");
        } else if (!(allowMs > 0
                && allowMs <= deadlinesMs.get(trafficClassIndex) * MAX_DEADLINE_FACTOR)) {
            refuse(exchange, 400, "X-Allow-Ms is missing or not usable");
        } else if (!(estimateMs >= 0 && estimateMs < MAX_ESTIMATE)) {
            refuse(exchange, 400, "X-Size-Ms is not usable");
        } else if (!(memoryMb >= 0 && memoryMb < MAX_ESTIMATE)) {
            refuse(exchange, 400, "X-Memory is not usable");
        } else if (key != null && !key.matches("[!-~]{1,64}")) {
            refuse(exchange, 400, "X-Item is not usable");
        } else if (statement.length == 0) {
            refuse(exchange, 400, "no statement");
        } else if (tenant < 0) {
            refuse(exchange, 400, "X-Team is missing or unknown");
        } else if (keptBytes + statement.length > maxKeptBytes) {
            // Nothing of it is taken: more would end the program, and all that it holds with it.
            exchange.getResponseHeaders()
                    .put(PendingCall.RETRY_AFTER_MS_HEADER, BUSY_RETRY_AFTER_MS);
            refuse(exchange, 503, "Busy");
        } else {
            openRequestIds.add(id);
            PendingCall call =
                    new PendingCall(this, id, POLL_PATH_PREFIX + acceptedRequests++ + "-" + id);
            // What lay there while the process was stopped has that much less time: counted from
            // when it is read, its
            // answer would come after its client has gone.
            long deadline = now + (long) (allowMs * 10) - events.recentPause();
            RequestExchange request =
                    new RequestExchange(id, trafficClass, statement, deadline, call);
            request.connectionAgeMs = connections.ageMs(connectionOf(exchange));
            callsByPollPath.put(call.path(), call);
            addKeptBytes(statement.length);
            unansweredRequests++;
            call.start(request, exchange);
            events.onRequest(
                    request,
                    trafficClassIndex,
                    tenant,
                    key,
                    (long) (estimateMs * 10),
                    (int) memoryMb,
                    StatementTables.tableGroup(statement));
        }
    }

    /** A header; null without it, and empty, which no field may be, where it is told twice. */
    private static String headerText(HttpServerExchange exchange, HttpString header) {
        HeaderValues values = exchange.getRequestHeaders().get(header);
        return values == null ? null : values.size() == 1 ? values.getFirst().trim() : "";
    }

    /** A figure in a header, as people write it; not a number where it can't be read. */
    private static double headerNumber(
            HttpServerExchange exchange, HttpString header, double absent) {
        String text = headerText(exchange, header);
        return text == null
                ? absent
                : DECIMAL.matcher(text).matches() ? Double.parseDouble(text) : Double.NaN;
    }
}
