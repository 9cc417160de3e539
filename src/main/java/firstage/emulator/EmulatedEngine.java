package firstage.emulator;

import firstage.policy.api.AttemptOutcome;
import firstage.policy.api.AttemptProgress;
import firstage.simulation.EngineModel;
import firstage.simulation.EngineModel.RunningAttempt;
import firstage.simulation.EngineModel.State;
import firstage.simulation.FleetPlan;
import firstage.simulation.RandomStreams;
import firstage.simulation.RuleChecker;
import firstage.simulation.RuleChecker.ClientTry;
import io.undertow.UndertowOptions;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.channels.AcceptingChannel;

/**
 * An engine behind a socket: the fleet model's engine on the wall clock, spoken to by the
 * platform's protocol. A statement runs until it ends, is deleted, or was not asked for in 2 s; a
 * call for news is held for 250 ms.
 */
public final class EmulatedEngine implements AutoCloseable {
    private static final long HOLDS = 2_500;
    private static final long FORGETS = 20_000;
    private static final HttpString TICKET = new HttpString("X-Ticket");
    private static final HttpString GRANT = new HttpString("Grant-Mb");
    private static final HttpString RANK = new HttpString("Rank");
    private static final HttpString PAGE_COUNT = new HttpString("Page-Count");
    private static final HttpString SHED = new HttpString("X-Shed");
    private static final HttpString REMARK = new HttpString("X-Remark");
    private static final HttpString FIGURE = new HttpString("Figure");
    private static final HttpString METER = new HttpString("X-Meter");

    /** Told of what comes here. */
    public interface Witness {
        /** A statement came whole: a batch's first dispatch, or a further one. */
        void dispatched(ClientTry t, int engine, boolean further);

        void probed(int engine);

        /**
         * Whether the way from this manager to this engine may have kept something back of late.
         */
        boolean heldBack(int manager, int engine);
    }

    private final class Statement implements EngineModel.Listener {
        private final String id;
        private final ClientTry is;
        private RunningAttempt job;
        private long asked;
        private boolean told;
        private AttemptOutcome end;
        private AttemptProgress.Kind note;
        private double amount;
        private HttpServerExchange held;
        private int calls;

        private Statement(String id, ClientTry is) {
            this.id = id;
            this.is = is;
        }

        @Override
        public void onEnded(RunningAttempt ended, AttemptOutcome how) {
            end = how;
            give();
        }

        @Override
        public void onProgress(RunningAttempt noted, AttemptProgress.Kind kind, double much) {
            note = kind;
            amount = much;
            give();
        }

        @Override
        public boolean isSenderAlive() {
            return !is.abandoned();
        }

        /** A call that wants news. */
        private void asks(HttpServerExchange x) {
            asked = stage.now();
            int mine = ++calls;
            if (held != null) {
                answer(held, 202);
            }
            held = x;
            x.dispatch(SameThreadExecutor.INSTANCE, () -> {});
            if (end != null || note != null) {
                give();
                return;
            }
            stage.calendar()
                    .in(
                            HOLDS,
                            () -> {
                                if (mine == calls && held != null) {
                                    asked = stage.now();
                                    HttpServerExchange empty = held;
                                    held = null;
                                    answer(empty, 202);
                                }
                            });
        }

        private void give() {
            if (held == null || model.state() == State.HANGING || model.state() == State.SILENT) {
                return;
            }
            HttpServerExchange x = held;
            held = null;
            asked = stage.now();
            if (end == null) {
                x.getResponseHeaders()
                        .put(
                                REMARK,
                                note == AttemptProgress.Kind.FRACTION_DONE
                                        ? "pct"
                                        : note == AttemptProgress.Kind.SPILLING
                                                ? "overflow"
                                                : "queued")
                        .put(
                                FIGURE,
                                String.valueOf(
                                        note == AttemptProgress.Kind.FRACTION_DONE
                                                        || note == AttemptProgress.Kind.SPILLING
                                                ? amount
                                                : note == AttemptProgress.Kind.WAITING_FOR_MEMORY
                                                        ? 1
                                                        : 2));
                note = null;
                answer(x, 202);
                return;
            }
            over(end);
            switch (end) {
                case SUCCEEDED -> {
                    x.getResponseHeaders().put(PAGE_COUNT, "1");
                    x.setStatusCode(200);
                    x.getResponseSender().send("a\tb\tc\n");
                }
                case REFUSED -> {
                    statements.remove(id);
                    x.getResponseHeaders().put(SHED, "1");
                    answer(x, 503);
                }
                default -> answer(x, 500);
            }
        }

        private void over(AttemptOutcome how) {
            if (!told) {
                told = true;
                rules.onAttemptEnded(stage.now(), is, how);
            }
        }

        private void forgetLater() {
            stage.calendar()
                    .in(
                            Math.max(1, asked + FORGETS - stage.now()),
                            () -> {
                                if (statements.get(id) != this) {
                                    return;
                                }
                                if (stage.now() - asked >= FORGETS && held == null) {
                                    gone(AttemptOutcome.TIMED_OUT);
                                } else {
                                    forgetLater();
                                }
                            });
        }

        private void gone(AttemptOutcome how) {
            statements.remove(id, this);
            if (job != null) {
                model.cancel(job);
            }
            over(how);
            if (held != null) {
                answer(held, 500);
                held = null;
            }
        }
    }

    private final RealTimeLoop stage;
    private final RuleChecker rules;
    private final Function<String, ClientTry> tickets;
    private final Witness witness;
    private final FleetPlan plan;
    private final EngineModel model;
    private final int number;
    private final AcceptingChannel<StreamConnection> server;
    private final Map<String, Statement> statements = new HashMap<>();

    /** {@code tickets}: the try that an id belongs to; null where no client sent it. */
    public EmulatedEngine(
            RealTimeLoop stage,
            FleetPlan plan,
            int number,
            InetSocketAddress at,
            RandomStreams streams,
            RuleChecker rules,
            Function<String, ClientTry> tickets,
            Witness witness)
            throws IOException {
        this.stage = stage;
        this.plan = plan;
        this.rules = rules;
        this.tickets = tickets;
        this.witness = witness;
        this.number = number;
        model = new EngineModel(number, plan, stage.calendar(), streams, rules);
        HttpOpenListener http =
                new HttpOpenListener(
                        new DefaultByteBufferPool(true, 8 * 1024, 256, 0),
                        OptionMap.builder()
                                .set(UndertowOptions.ALWAYS_SET_DATE, false)
                                .set(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                                .getMap());
        http.setRootHandler(
                x -> {
                    stage.calendar().play(stage.now());
                    call(x);
                });
        server =
                stage.worker()
                        .createStreamConnectionServer(
                                at,
                                (ChannelListener<AcceptingChannel<StreamConnection>>)
                                        from -> {
                                            try {
                                                for (StreamConnection c = from.accept();
                                                        c != null;
                                                        c = from.accept()) {
                                                    http.handleEvent(c);
                                                }
                                            } catch (IOException gone) {
                                                // The next one may come in.
                                            }
                                        },
                                OptionMap.builder()
                                        .set(Options.TCP_NODELAY, true)
                                        .set(Options.BACKLOG, 512)
                                        .set(Options.REUSE_ADDRESSES, true)
                                        .getMap());
        server.resumeAccepts();
    }

    public EngineModel model() {
        return model;
    }

    /** Dies, goes silent, hangs, drains or is back; on the stage's thread. */
    public void becomes(State next) {
        boolean loses = next == State.DOWN || next == State.SILENT;
        model.setState(next);
        if (loses) {
            statements.values().forEach(s -> s.over(AttemptOutcome.CONNECTION_LOST));
            statements.clear();
        }
    }

    private static void answer(HttpServerExchange x, int status) {
        x.setStatusCode(status);
        x.endExchange();
    }

    private void call(HttpServerExchange x) {
        String path = x.getRequestPath();
        String method = x.getRequestMethod().toString();
        if (model.state() == State.SILENT
                || model.state() == State.HANGING && !method.equals("POST")) {
            // Its connections stay open, and nobody is there.
            x.dispatch(SameThreadExecutor.INSTANCE, () -> {});
            return;
        }
        if (path.equals("/busy")) {
            witness.probed(number);
            x.getResponseHeaders().put(METER, "waiting:" + model.waitingForMemory());
            answer(x, 200);
        } else if (method.equals("POST")) {
            x.getRequestReceiver().receiveFullBytes((whole, body) -> post(whole));
        } else {
            String[] parts = path.split("/");
            Statement s = parts.length > 2 ? statements.get(parts[2]) : null;
            switch (method) {
                case "DELETE" -> {
                    if (s != null) {
                        s.gone(AttemptOutcome.CANCELLED);
                    }
                    answer(x, 204);
                }
                case "PUT" ->
                        x.getRequestReceiver()
                                .receiveFullString(
                                        (whole, rank) -> {
                                            if (s != null && s.job != null) {
                                                model.setPriority(
                                                        s.job, Integer.parseInt(rank.trim()));
                                            }
                                            answer(whole, 204);
                                        });
                default -> {
                    if (s == null) {
                        answer(x, 500);
                    } else {
                        s.asks(x);
                    }
                }
            }
        }
    }

    private void post(HttpServerExchange x) {
        String id = x.getRequestHeaders().getFirst(TICKET);
        ClientTry t = id == null ? null : tickets.apply(id);
        if (t == null || statements.containsKey(id)) {
            answer(x, 500);
            return;
        }
        boolean further = t.attempted();
        witness.dispatched(t, number, further);
        rules.onAttemptSent(stage.now(), t, number, witness.heldBack(t.manager, number));
        Statement s = new Statement(id, t);
        statements.put(id, s);
        double grant = Double.parseDouble(header(x, GRANT, "0"));
        FleetPlan.TrafficClassPlan group = plan.trafficClasses().get(t.request.trafficClass);
        s.job =
                new RunningAttempt(
                        t.request,
                        group,
                        s,
                        t.manager,
                        grant > 0 ? grant : t.request.estimatedMemoryMb * 1.25,
                        Integer.parseInt(header(x, RANK, "1")));
        s.asks(x);
        s.forgetLater();
        model.start(s.job);
    }

    private static String header(HttpServerExchange x, HttpString name, String absent) {
        String value = x.getRequestHeaders().getFirst(name);
        return value == null ? absent : value;
    }

    @Override
    public void close() {
        IoUtils.safeClose(server);
    }
}
