package firstage.net.clients;

import firstage.net.Assignment;
import firstage.net.Clock;
import firstage.net.Counters;
import firstage.net.Exchange;
import firstage.net.Tidings;
import firstage.setup.Fields;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.io.Receiver;
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
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/** Where clients come in: reads their calls, answers what can't be used, hands on the rest. */
public final class ClientDoor {
    private static final int MOST_STATEMENT = 64 * 1024;
    /** Answered 431; beyond four times that it is taken for no HTTP. */
    private static final int MOST_HEAD = 16 * 1024;
    private static final int BACKLOG = 512;
    /** Accepted, and not yet handed over. */
    private static final int IN_HAND = 8;
    /** From the end of its head to the end of a statement. */
    private static final int MOST_PARSE_MS = 2_000;
    /** An answer to what can't be read may be read so long; then the connection is closed under what still comes. */
    private static final int LAST_READ_MS = 200;
    private static final String NEWS = "/-/news/";
    private static final HttpString JOB = new HttpString("X-Job-Id");
    private static final HttpString ALLOW = new HttpString("X-Allow-Ms");
    private static final HttpString TEAM = new HttpString("X-Team");
    private static final HttpString SIZE = new HttpString("X-Size-Ms");
    private static final HttpString MEMORY = new HttpString("X-Memory");
    private static final HttpString ITEM = new HttpString("X-Item");
    final XnioIoThread io;
    final Counters counters;
    final Tidings tidings;
    private final Clock clock;
    private final InetSocketAddress address;
    private final List<String> groups = new ArrayList<>();
    private final List<String> customers = new ArrayList<>();
    private final Callers callers;
    private final int mostConnections;
    private AcceptingChannel<StreamConnection> server;
    private HttpOpenListener http;
    /** By the path at which the client may ask. */
    private final Map<String, PendingCall> pending = new HashMap<>();
    private long taken;
    private int unanswered;
    private int writing;
    private boolean closing;

    public ClientDoor(XnioIoThread io, Clock clock, Counters counters, Tidings tidings, Assignment assignment) {
        this.io = io;
        this.clock = clock;
        this.counters = counters;
        this.tidings = tidings;
        this.address = assignment.listen();
        mostConnections = assignment.connectionsEach();
        callers = new Callers(io, counters, mostConnections);
        Fields settings = assignment.settings();
        for (int i = 0; i < settings.index("classes.count", 0); i++) {
            groups.add(settings.text("classes." + i + ".name", ""));
        }
        for (int i = 0; i < settings.index("tenants.count", 0); i++) {
            customers.add(settings.text("tenants." + i + ".name", ""));
        }
    }

    public void listen(XnioWorker worker) throws IOException {
        ByteBufferPool buffers = new DefaultByteBufferPool(true, 16 * 1024, 256, 0);
        http = new HttpOpenListener(buffers, OptionMap.builder()
                .set(UndertowOptions.MAX_HEADER_SIZE, 4 * MOST_HEAD)
                .set(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                .set(UndertowOptions.ALWAYS_SET_DATE, false).getMap());
        http.setRootHandler(new HttpContinueReadHandler(this::call));
        server = worker.createStreamConnectionServer(address, ChannelListeners.openListenerAdapter(this::opened),
                OptionMap.builder().set(Options.REUSE_ADDRESSES, true).set(Options.BACKLOG, BACKLOG)
                        .set(Options.CONNECTION_HIGH_WATER, mostConnections + IN_HAND)
                        .set(Options.CONNECTION_LOW_WATER, mostConnections + IN_HAND - 1)
                        .set(Options.TCP_NODELAY, true).getMap());
        server.resumeAccepts();
        io.execute(callers::sweep);
    }

    private void opened(StreamConnection connection) {
        if (callers.opens(connection)) {
            connection.getSinkChannel().setConduit(new FaultLine(connection.getSinkChannel().getConduit()));
            http.handleEvent(connection);
            callers.watch(connection);
        }
    }

    private static StreamConnection channel(HttpServerExchange x) {
        return ((AbstractServerConnection) x.getConnection()).getChannel();
    }

    /** No new connections; what is open is answered still. */
    public void close() {
        closing = true;
        IoUtils.safeClose(server);
    }

    /** Whether all that was taken is answered, and the answers are written. */
    public boolean idle() {
        return unanswered == 0 && writing == 0;
    }

    void given() {
        unanswered--;
    }

    /** A call that nobody asks for any more. */
    void over(PendingCall call, boolean given) {
        if (pending.remove(call.path(), call) && !given) {
            unanswered--;
        }
    }

    boolean closing() {
        return closing;
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
        x.addExchangeCompleteListener((over, next) -> {
            callers.rests(channel(over));
            next.proceed();
        });
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
            XnioExecutor.Key late = io.executeAfter(() -> IoUtils.safeClose(x.getConnection()), MOST_PARSE_MS,
                    TimeUnit.MILLISECONDS);
            x.getRequestReceiver().setMaxBufferSize(MOST_STATEMENT);
            x.getRequestReceiver().receiveFullBytes(
                    (whole, bytes) -> {
                        late.remove();
                        whole.dispatch(SameThreadExecutor.INSTANCE, () -> take(whole, group, bytes));
                    },
                    (broken, fault) -> {
                        late.remove();
                        counters.count("calls not whole");
                        if (fault instanceof Receiver.RequestToLargeException) {
                            broken.setPersistent(false);
                            turnDown(broken, 413, "statement too long");
                        } else {
                            IoUtils.safeClose(broken.getConnection());
                            broken.endExchange();
                        }
                    });
        }
    }

    private void news(HttpServerExchange x, PendingCall call) {
        if (call == null) {
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
        counters.count("calls answered " + status);
        x.setStatusCode(status);
        send(x, ByteBuffer.wrap(("{\"err\":\"" + why + "\"}\n").getBytes(StandardCharsets.US_ASCII)));
    }

    void send(HttpServerExchange x, ByteBuffer body) {
        writing++;
        x.addExchangeCompleteListener((over, next) -> {
            writing--;
            next.proceed();
        });
        x.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        x.getResponseHeaders().put(Headers.CONTENT_LENGTH, body.remaining());
        x.getResponseSender().send(body);
    }

    private void take(HttpServerExchange x, String group, byte[] statement) {
        long now = clock.now();
        String id = x.getRequestHeaders().getFirst(JOB);
        double allow = number(x, ALLOW, -1);
        double estimate = number(x, SIZE, 0);
        double memory = number(x, MEMORY, 0);
        String team = x.getRequestHeaders().getFirst(TEAM);
        int customer = customers.isEmpty() ? 0 : customers.indexOf(team);
        if (groups.indexOf(group) < 0) {
            turnDown(x, 400, "unknown service group");
        } else if (id == null || !id.matches("[0-9a-fA-F]{16}")) {
            turnDown(x, 400, "X-Job-Id is missing or not usable");
        } else if (!(allow > 0 && allow < 1e9)) {
            turnDown(x, 400, "X-Allow-Ms is missing or not usable");
        } else if (!(estimate >= 0 && estimate < 1e12)) {
            turnDown(x, 400, "X-Size-Ms is not usable");
        } else if (!(memory >= 0 && memory < 1e9)) {
            turnDown(x, 400, "X-Memory is not usable");
        } else if (customer < 0) {
            turnDown(x, 400, "X-Team is missing or unknown");
        } else {
            PendingCall call = new PendingCall(this, NEWS + taken++ + "-" + id);
            Exchange batch = new Exchange(id, group, statement, now + (long) (allow * 10), call);
            pending.put(call.path(), call);
            unanswered++;
            call.start(batch, x);
            tidings.taken(batch, groups.indexOf(group), customer, x.getRequestHeaders().getFirst(ITEM),
                    (long) (estimate * 10), (int) memory, Statement.group(statement));
        }
    }

    /** A figure in a header; NaN where it can't be read. */
    private static double number(HttpServerExchange x, HttpString header, double absent) {
        String text = x.getRequestHeaders().getFirst(header);
        try {
            return text == null ? absent : Double.parseDouble(text.trim());
        } catch (NumberFormatException fault) {
            return Double.NaN;
        }
    }
}
