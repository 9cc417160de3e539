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
    private static final int MOST_STATEMENT = 64 * 1024;

    /** Answered 431; beyond four times that it is taken for no HTTP. */
    private static final int MOST_HEAD = 16 * 1024;

    private static final int BACKLOG = 512;

    /** Accepted, and not yet handed over. */
    private static final int IN_HAND = 8;

    /** From the end of its head to the end of a statement. */
    private static final int MOST_PARSE_MS = 2_000;

    /**
     * After the last answer on a connection so much is read off for so long: a close at once could
     * take it back.
     */
    private static final int READ_OFF_MS = 300;

    private static final int MOST_READ_OFF = 256 * 1024;

    /** A client that reads has a whole result in milliseconds; one on a bad path in seconds. */
    private static final int MOST_UNREAD_MS = 10_000;

    private static final int MOST_UNREAD_CLOSING_MS = 1_000;
    private static final int SWEEP_MS = 250;

    /**
     * A client that finds no room should stay away: a good part of what is kept is over by then.
     */
    private static final int BUSY_MS = 500;

    /** Work in ms or memory in MB: a year on one core, and a thousand engines' memory. */
    private static final double MOST_FIGURE = 3e10;

    /** Times its group's time limit: so long no client waits; clocks and rounding need far less. */
    private static final double PAST_LIMIT = 1.5;

    private static final Pattern FIGURE = Pattern.compile("[0-9]{1,15}(\\.[0-9]{1,15})?");
    private static final String NEWS = "/-/news/";
    private static final HttpString JOB = new HttpString("X-Job-Id");
    private static final HttpString ALLOW = new HttpString("X-Allow-Ms");
    private static final HttpString TEAM = new HttpString("X-Team");
    private static final HttpString SIZE = new HttpString("X-Size-Ms");
    private static final HttpString MEMORY = new HttpString("X-Memory");
    private static final HttpString ITEM = new HttpString("X-Item");
    final XnioIoThread io;
    final Counters counters;
    final ServerEvents tidings;
    private final TickClock clock;
    private final InetSocketAddress address;
    private final List<String> groups = new ArrayList<>();
    private final List<String> customers = new ArrayList<>();
    private final ClientConnections callers;
    private final int mostConnections;
    private final long mostBytes;
    private AcceptingChannel<StreamConnection> server;
    private HttpOpenListener http;

    /** By the path at which the client may ask. */
    private final Map<String, PendingCall> pending = new HashMap<>();

    /** The ids of batches whose clients are owed an answer. */
    private final Set<String> ids = new HashSet<>();

    /** Time limits of the groups in ms, by index. */
    private final List<Double> limits = new ArrayList<>();

    private long taken;
    private int unanswered;

    /** Answers that are not all written yet, and since when; oldest first. */
    private final Map<HttpServerExchange, Long> writes = new LinkedHashMap<>();

    /** Statements and answers that are kept for clients. */
    private long bytes;

    private long closingSince;
    private boolean closing;

    public ClientHandler(
            XnioIoThread io,
            TickClock clock,
            Counters counters,
            ServerEvents tidings,
            ManagerConfig assignment) {
        this.io = io;
        this.clock = clock;
        this.counters = counters;
        this.tidings = tidings;
        this.address = assignment.listenAddress();
        mostConnections = assignment.maxClientConnections();
        mostBytes = assignment.maxClientBytes();
        callers = new ClientConnections(io, counters, mostConnections);
        WireFields settings = assignment.settings();
        for (int i = 0; i < settings.getInt("classes.count", 0); i++) {
            groups.add(settings.getString("classes." + i + ".name", ""));
            double limit = settings.getDouble("classes." + i + ".deadline", 0) * 1_000;
            limits.add(limit > 0 ? limit : MOST_FIGURE);
        }
        for (int i = 0; i < settings.getInt("tenants.count", 0); i++) {
            customers.add(settings.getString("tenants." + i + ".name", ""));
        }
    }

    public void listen(XnioWorker worker) throws IOException {
        ByteBufferPool buffers = new DefaultByteBufferPool(true, 16 * 1024, 256, 0);
        http =
                new HttpOpenListener(
                        buffers,
                        OptionMap.builder()
                                .set(UndertowOptions.MAX_HEADER_SIZE, 4 * MOST_HEAD)
                                .set(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                                .set(UndertowOptions.ALWAYS_SET_DATE, false)
                                .getMap());
        http.setRootHandler(new HttpContinueReadHandler(this::call));
        server =
                IoThreadTcpServer.listen(
                        worker,
                        address,
                        this::acceptAll,
                        OptionMap.builder()
                                .set(Options.REUSE_ADDRESSES, true)
                                .set(Options.BACKLOG, BACKLOG)
                                .set(Options.CONNECTION_HIGH_WATER, mostConnections + IN_HAND)
                                .set(Options.CONNECTION_LOW_WATER, mostConnections + IN_HAND - 1)
                                .set(Options.TCP_NODELAY, true)
                                .getMap());
    }

    /** Connections are taken in from here on; on the thread itself. */
    public void accept() {
        server.resumeAccepts();
        callers.sweep();
        sweepWrites();
    }

    /**
     * All that wait: XNIO's own listener takes one a look, and a batch on the others would be read
     * looks later.
     */
    private void acceptAll(AcceptingChannel<StreamConnection> from) {
        try {
            for (StreamConnection next = from.accept(); next != null; next = from.accept()) {
                opened(next);
            }
        } catch (IOException fault) {
            counters.count("connections not accepted");
        }
    }

    private void opened(StreamConnection connection) {
        if (callers.opens(connection)) {
            connection
                    .getSinkChannel()
                    .setConduit(new BadRequestResponse(connection.getSinkChannel().getConduit()));
            http.handleEvent(connection);
            callers.watch(connection);
        }
    }

    private static StreamConnection channel(HttpServerExchange x) {
        return ((AbstractServerConnection) x.getConnection()).getChannel();
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
        acceptAll(server);
    }

    /** No new connections, once all that was taken is answered; what is open is answered still. */
    public void close() {
        if (server.isOpen()) {
            acceptAll(server);
            IoUtils.safeClose(server);
        }
    }

    /**
     * Whether all that was taken is answered, and the answers are written. A client that does not
     * read its answer is waited for no longer than one that does needs: it must not keep a closing
     * manager from ending.
     */
    public boolean idle() {
        endUnread(closing ? MOST_UNREAD_CLOSING_MS : MOST_UNREAD_MS);
        return unanswered == 0 && writes.isEmpty();
    }

    /** Ends the connections of answers that are written for so long; the oldest stand first. */
    private void endUnread(long atMostMs) {
        while (!writes.isEmpty()) {
            Map.Entry<HttpServerExchange, Long> oldest = writes.entrySet().iterator().next();
            if (clock.now() - Math.max(oldest.getValue(), closingSince) <= atMostMs * 10) {
                return;
            }
            counters.count("answers not read");
            writes.remove(oldest.getKey());
            IoUtils.safeClose(oldest.getKey().getConnection());
        }
    }

    private void sweepWrites() {
        endUnread(MOST_UNREAD_MS);
        io.executeAfter(this::sweepWrites, SWEEP_MS, TimeUnit.MILLISECONDS);
    }

    void given(PendingCall call) {
        ids.remove(call.id());
        unanswered--;
    }

    /** A call that nobody asks for any more. */
    void over(PendingCall call, boolean given) {
        if (pending.remove(call.path(), call)) {
            kept(-call.bytes());
            if (!given) {
                given(call);
            }
        }
    }

    /** More bytes are kept for a client, or fewer. */
    void kept(int more) {
        bytes += more;
        counters.peak("most bytes kept for clients", bytes);
        counters.hold(
                bytes >= 0 && (bytes == 0 || !pending.isEmpty()),
                "bytes are kept for calls that are open");
    }

    long now() {
        return clock.now();
    }

    boolean closing() {
        return closing;
    }

    /** Whether there is one way only to tell where the call's body ends. */
    private static boolean framed(HttpServerExchange x) {
        HeaderValues lengths = x.getRequestHeaders().get(Headers.CONTENT_LENGTH);
        HeaderValues encodings = x.getRequestHeaders().get(Headers.TRANSFER_ENCODING);
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
    private static boolean crowded(HttpServerExchange x) {
        return ((AbstractServerConnection) x.getConnection()).getExtraBytes() != null;
    }

    private static int headSize(HttpServerExchange x) {
        int size = x.getRequestURI().length();
        for (HeaderValues values : x.getRequestHeaders()) {
            for (String value : values) {
                size += values.getHeaderName().length() + value.length();
            }
        }
        return size;
    }

    private void call(HttpServerExchange x) {
        callers.calls(channel(x));
        x.addExchangeCompleteListener(
                (over, next) -> {
                    callers.rests(channel(over));
                    next.proceed();
                });
        if (!framed(x)) {
            // One body might hide another call behind its end; nothing on this connection can be
            // trusted.
            endWith(x, 400, "length not usable");
            return;
        }
        if (headSize(x) > MOST_HEAD) {
            turnDown(x, 431, "head too long");
            return;
        }
        String path = x.getRequestPath();
        if (path.equals("/alive")) {
            if (x.getRequestMethod().equals(Methods.GET)) {
                x.setStatusCode(200);
                x.endExchange();
            } else {
                turnDown(x, 405, "GET only");
            }
            return;
        }
        if (path.startsWith(NEWS)) {
            news(x, pending.get(path));
            return;
        }
        String group = path.substring(path.lastIndexOf('/') + 1);
        if (group.isEmpty() || path.indexOf('/', 1) < 0) {
            turnDown(x, 404, "no such path");
        } else if (!x.getRequestMethod().equals(Methods.POST)) {
            turnDown(x, 405, "POST only");
        } else if (x.getRequestContentLength() > MOST_STATEMENT) {
            turnDown(x, 413, "statement too long");
        } else {
            // A client that stops within a statement would hold its connection for ever.
            XnioExecutor.Key late =
                    io.executeAfter(
                            () -> IoUtils.safeClose(x.getConnection()),
                            MOST_PARSE_MS,
                            TimeUnit.MILLISECONDS);
            x.getRequestReceiver().setMaxBufferSize(MOST_STATEMENT);
            x.getRequestReceiver()
                    .receiveFullBytes(
                            (whole, bytes) -> {
                                late.remove();
                                whole.dispatch(
                                        SameThreadExecutor.INSTANCE,
                                        () -> take(whole, group, bytes));
                            },
                            (broken, fault) -> {
                                late.remove();
                                counters.count("calls not whole");
                                if (fault instanceof Receiver.RequestToLargeException) {
                                    endWith(broken, 413, "statement too long");
                                } else {
                                    IoUtils.safeClose(broken.getConnection());
                                    broken.endExchange();
                                }
                            });
        }
    }

    private void news(HttpServerExchange x, PendingCall call) {
        if (crowded(x)) {
            endWith(x, 400, "one call at a time");
        } else if (call == null) {
            turnDown(x, 404, "no such path");
        } else if (x.getRequestMethod().equals(Methods.GET)) {
            x.dispatch(SameThreadExecutor.INSTANCE, () -> call.asked(x));
        } else if (x.getRequestMethod().equals(Methods.DELETE)) {
            call.gaveUp();
            x.setStatusCode(204);
            x.endExchange();
        } else {
            turnDown(x, 405, "GET or DELETE only");
        }
    }

    /** An answer to what can't be used; it never reached an engine. */
    void turnDown(HttpServerExchange x, int status, String why) {
        if (!x.isRequestComplete()) {
            endWith(x, status, why);
            return;
        }
        counters.count("calls answered " + status);
        x.setStatusCode(status);
        send(x, line(why));
    }

    /**
     * The same, and the connection ends with it. Of what still comes little is read: Undertow would
     * drain a body first, for as long as a client that never ends it sends, on the one thread that
     * serves all others.
     */
    void endWith(HttpServerExchange x, int status, String why) {
        counters.count("calls answered " + status);
        x.setStatusCode(status);
        x.setPersistent(false);
        x.getResponseHeaders().put(Headers.CONNECTION, "close");
        StreamConnection channel = channel(x);
        callers.rests(channel);
        send(
                x,
                line(why),
                new IoCallback() {
                    @Override
                    public void onComplete(HttpServerExchange over, Sender sender) {
                        readOff((AbstractServerConnection) over.getConnection());
                    }

                    @Override
                    public void onException(
                            HttpServerExchange over, Sender sender, IOException fault) {
                        IoUtils.safeClose(over.getConnection());
                    }
                });
    }

    private void readOff(AbstractServerConnection connection) {
        int[] left = {MOST_READ_OFF};
        io.executeAfter(() -> IoUtils.safeClose(connection), READ_OFF_MS, TimeUnit.MILLISECONDS);
        connection
                .getChannel()
                .getSourceChannel()
                .setReadListener(
                        source -> {
                            try (PooledByteBuffer pooled =
                                    connection.getByteBufferPool().allocate()) {
                                int n =
                                        connection
                                                .getOriginalSourceConduit()
                                                .read(pooled.getBuffer());
                                left[0] -= n;
                                if (n < 0 || left[0] <= 0) {
                                    IoUtils.safeClose(connection);
                                }
                            } catch (IOException fault) {
                                IoUtils.safeClose(connection);
                            }
                        });
        connection.getOriginalSourceConduit().resumeReads();
    }

    private static ByteBuffer line(String why) {
        return ByteBuffer.wrap(("{\"err\":\"" + why + "\"}\n").getBytes(StandardCharsets.US_ASCII));
    }

    void send(HttpServerExchange x, ByteBuffer body) {
        send(x, body, IoCallback.END_EXCHANGE);
    }

    private void send(HttpServerExchange x, ByteBuffer body, IoCallback then) {
        writes.put(x, clock.now());
        x.addExchangeCompleteListener(
                (over, next) -> {
                    writes.remove(over);
                    next.proceed();
                });
        x.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        x.getResponseHeaders().put(Headers.CONTENT_LENGTH, body.remaining());
        x.getResponseSender().send(body, then);
    }

    private void take(HttpServerExchange x, String group, byte[] statement) {
        long now = clock.now();
        String id = field(x, JOB);
        double allow = number(x, ALLOW, -1);
        double estimate = number(x, SIZE, 0);
        double memory = number(x, MEMORY, 0);
        String key = field(x, ITEM);
        int customer = customers.isEmpty() ? 0 : customers.indexOf(field(x, TEAM));
        int index = groups.indexOf(group);
        if (crowded(x)) {
            endWith(x, 400, "one call at a time");
        } else if (index < 0) {
            turnDown(x, 400, "unknown service group");
        } else if (id == null || !id.matches("[0-9a-fA-F]{16}")) {
            turnDown(x, 400, "X-Job-Id is missing or not usable");
        } else if (ids.contains(id)) {
            // Engines know a batch by its id: another statement under it would get this one's
            // answer.
            turnDown(x, 409, "X-Job-Id is of an open batch");
        } else if (!(allow > 0 && allow <= limits.get(index) * PAST_LIMIT)) {
            turnDown(x, 400, "X-Allow-Ms is missing or not usable");
        } else if (!(estimate >= 0 && estimate < MOST_FIGURE)) {
            turnDown(x, 400, "X-Size-Ms is not usable");
        } else if (!(memory >= 0 && memory < MOST_FIGURE)) {
            turnDown(x, 400, "X-Memory is not usable");
        } else if (key != null && !key.matches("[!-~]{1,64}")) {
            turnDown(x, 400, "X-Item is not usable");
        } else if (statement.length == 0) {
            turnDown(x, 400, "no statement");
        } else if (customer < 0) {
            turnDown(x, 400, "X-Team is missing or unknown");
        } else if (bytes + statement.length > mostBytes) {
            // Nothing of it is taken: more would end the program, and all that it holds with it.
            x.getResponseHeaders().put(PendingCall.WAIT, BUSY_MS);
            turnDown(x, 503, "Busy");
        } else {
            ids.add(id);
            PendingCall call = new PendingCall(this, id, NEWS + taken++ + "-" + id);
            // What lay there while the process was stopped has that much less time: counted from
            // when it is read, its
            // answer would come after its client has gone.
            long notAfter = now + (long) (allow * 10) - tidings.stoodStill();
            RequestExchange batch = new RequestExchange(id, group, statement, notAfter, call);
            batch.connectionAge = callers.age(channel(x));
            pending.put(call.path(), call);
            kept(statement.length);
            unanswered++;
            call.start(batch, x);
            tidings.taken(
                    batch,
                    index,
                    customer,
                    key,
                    (long) (estimate * 10),
                    (int) memory,
                    StatementTables.group(statement));
        }
    }

    /** A header; null without it, and empty, which no field may be, where it is told twice. */
    private static String field(HttpServerExchange x, HttpString header) {
        HeaderValues values = x.getRequestHeaders().get(header);
        return values == null ? null : values.size() == 1 ? values.getFirst().trim() : "";
    }

    /** A figure in a header, as people write it; not a number where it can't be read. */
    private static double number(HttpServerExchange x, HttpString header, double absent) {
        String text = field(x, header);
        return text == null
                ? absent
                : FIGURE.matcher(text).matches() ? Double.parseDouble(text) : Double.NaN;
    }
}
