package firstage.bench;

import firstage.config.Fields;
import firstage.config.Indices;
import firstage.config.MalformedLine;
import firstage.config.Setup;
import firstage.overload.Circle;
import firstage.policy.Brain;
import firstage.policy.api.Arrival;
import firstage.policy.api.Deployment;
import firstage.policy.api.Ending;
import firstage.policy.api.EngineList;
import firstage.policy.api.Host;
import firstage.policy.api.Note;
import firstage.policy.api.Outcome;
import firstage.policy.api.Report;
import firstage.policy.api.WorkloadManager;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;

/**
 * One workload manager on the wire: its ids, its pending reply lines, and the host it acts through.
 */
final class Seat implements Host {
    private static final Map<String, Outcome> OUTCOMES =
            Map.of(
                    "delivered",
                    Outcome.RETURNED,
                    "app_error",
                    Outcome.ERRORED,
                    "shed",
                    Outcome.TURNED_AWAY,
                    "expired",
                    Outcome.TIMED_OUT,
                    "dial_failed",
                    Outcome.NO_CONNECTION,
                    "dropped",
                    Outcome.BROKEN,
                    "revoked",
                    Outcome.CALLED_OFF,
                    "unused",
                    Outcome.NOT_SENT);

    /** The token of the wake-up for a look at the level; the decisions use others. */
    private static final long LOOK = 1L << 20;

    private final String number;
    private final StringBuilder reply = new StringBuilder();
    private final Indices<String> batches = new Indices<>();
    private final Indices<String> keys = new Indices<>();
    private final Indices<Long> engines = new Indices<>();
    private final WorkloadManager manager;

    /** Null where managers may not talk to each other. */
    private final Circle circle;

    private boolean looks;

    Seat(String number, Fields setup) {
        this.number = number;
        Deployment deployment = Setup.read(setup);
        this.manager = new Brain(deployment, this);
        circle =
                !setup.flag("limits.peers")
                        ? null
                        : new Circle(deployment.rank(), deployment.shortestGoal(), manager::cut);
    }

    private void look(long now) {
        byte[] words = circle.look(now, manager.demand(now));
        if (words.length > 0) {
            line("WRITE_PEER")
                    .append(" dst=all payload=")
                    .append(Base64.getEncoder().encodeToString(words))
                    .append('\n');
        }
        wakeIn(Circle.LOOK, LOOK);
    }

    /** Tells the manager of one event; an unknown one is an error of the caller's line. */
    void tell(long now, String event, Fields f, Map<Integer, List<Fields>> lists) {
        switch (event) {
            case "INBOUND" ->
                    manager.taken(
                            now,
                            new Arrival(
                                    batches.of(f.need("request_id")),
                                    (int) f.needWhole("tier_class"),
                                    f.index("org", 0),
                                    f.has("table") ? keys.of(f.need("table")) : -1,
                                    Fields.tenths(f.needNumber("not_after")),
                                    f.time("plan_cost"),
                                    (int) f.number("mem_mb", 0),
                                    f.index("tables", -1),
                                    f.flag("retry"),
                                    false));
            case "SETTLED" -> settled(now, f);
            case "PROGRESS" -> progress(now, f);
            case "TIMED_OUT_CLIENT" -> {
                int batch = batches.find(f.need("request_id"));
                if (batch >= 0) {
                    manager.clientLeft(now, batch);
                }
            }
            case "ENDPOINTS" -> manager.listed(now, list(f, lists));
            case "PING_RESULT" ->
                    manager.probed(now, engines.of(f.needWhole("engine")), outcome(f), report(f));
            case "DATAGRAM" -> {
                if (circle != null) {
                    circle.heard(now, f.index("by", 0), words(f.text("payload", "-")));
                }
            }
            case "WAKE" -> {
                if (f.whole("nonce", 0) == LOOK) {
                    look(now);
                } else {
                    manager.woken(now, f.whole("nonce", 0));
                }
            }
            case "FLOWING" -> {}
            default -> throw new MalformedLine("unknown event " + event);
        }
    }

    void turn(long now) {
        if (circle != null && !looks) {
            looks = true;
            look(now);
        }
        manager.turn(now);
    }

    /** The reply lines gathered since the last call. */
    String takeReply() {
        String lines = reply.toString();
        reply.setLength(0);
        return lines;
    }

    private void settled(long now, Fields f) {
        int batch = batches.find(f.need("request_id"));
        if (batch < 0) {
            return;
        }
        long stats = f.whole("stats", 0);
        manager.ended(
                now,
                new Ending(
                        batch,
                        f.index("attempt", 0),
                        engines.of(f.needWhole("engine")),
                        outcome(f),
                        f.time("delay_seen"),
                        (stats >> 12) * 10,
                        (int) (stats & 4095) * 4,
                        f.flag("terminal"),
                        report(f),
                        0));
    }

    private void progress(long now, Fields f) {
        int batch = batches.find(f.need("request_id"));
        double amount = f.number("amount", 0);
        Note.Kind kind =
                switch (f.index("what", 0)) {
                    case 1 -> Note.Kind.DONE;
                    case 2 -> Note.Kind.SPILLS;
                    case 3 -> amount == 1 ? Note.Kind.WAITS_FOR_MEMORY : Note.Kind.WAITS_FOR_LOAD;
                    default -> null;
                };
        if (batch >= 0 && kind != null) {
            manager.noted(
                    now,
                    new Note(
                            batch,
                            f.index("attempt", 0),
                            engines.of(f.needWhole("engine")),
                            kind,
                            amount));
        }
    }

    private EngineList list(Fields f, Map<Integer, List<Fields>> lists) {
        EngineList.Kind kind =
                switch (f.need("mode")) {
                    case "incr" -> EngineList.Kind.CHANGES;
                    case "total" -> EngineList.Kind.WHOLE;
                    case "warm_copy" -> EngineList.Kind.REMEMBERED;
                    default -> EngineList.Kind.FAILED;
                };
        List<EngineList.Entry> entries = new ArrayList<>();
        if (kind != EngineList.Kind.FAILED) {
            List<Fields> items = lists.get(f.index("ref", 0));
            if (items == null) {
                throw new MalformedLine("list " + f.index("ref", 0) + " was not declared");
            }
            for (Fields item : items) {
                long id = item.needWhole("engine");
                EngineList.Standing standing =
                        switch (item.text("health", "active")) {
                            case "active" -> EngineList.Standing.ACTIVE;
                            case "leaving" -> EngineList.Standing.LEAVING;
                            default -> EngineList.Standing.LEFT;
                        };
                entries.add(
                        new EngineList.Entry(
                                engines.of(id),
                                id,
                                item.index("locality", 0),
                                item.index("class_of_host", 0),
                                item.index("cell", 0),
                                standing,
                                item.number("heft", 1),
                                item.time("since")));
            }
        }
        return new EngineList(kind, entries);
    }

    private static Outcome outcome(Fields f) {
        Outcome outcome = OUTCOMES.get(f.need("how"));
        if (outcome == null) {
            throw new MalformedLine("unknown outcome " + f.need("how"));
        }
        return outcome;
    }

    private static Report report(Fields f) {
        if (!f.has("gauge")) {
            return null;
        }
        Fields g = new Fields(" " + f.need("gauge").replace(':', '=').replace(',', ' '));
        return new Report(
                g.number("active", Double.NaN),
                g.number("waiting", Double.NaN),
                g.number("cpu", Double.NaN),
                g.number("x0", Double.NaN),
                g.number("x1", Double.NaN));
    }

    private static byte[] words(String base64) {
        return base64.equals("-") ? new byte[0] : Base64.getDecoder().decode(base64);
    }

    private StringBuilder line(String action) {
        return reply.append(action).append(" i=").append(number);
    }

    private StringBuilder line(String action, int batch) {
        return line(action).append(" request_id=").append(batches.id(batch));
    }

    @Override
    public void provide(int batch, int grantMb, int priority) {
        line("PROVIDE", batch)
                .append(" workspace_mb=")
                .append(grantMb)
                .append(" rank=")
                .append(priority)
                .append('\n');
    }

    @Override
    public void dispatch(int batch, int engine, long within) {
        line("DISPATCH", batch)
                .append(" engine=")
                .append(engines.id(engine))
                .append(" within=")
                .append(Fields.seconds(within))
                .append('\n');
    }

    @Override
    public void callOff(int batch, int dispatch) {
        line("UNDO_SEND", batch).append(" attempt=").append(dispatch).append('\n');
    }

    @Override
    public void pushBack(int batch, long comeBack) {
        line("DENY", batch).append(" come_back=").append(Fields.seconds(comeBack)).append('\n');
    }

    @Override
    public void error(int batch) {
        line("ERROR", batch).append('\n');
    }

    @Override
    public void forgetBatch(int batch) {
        batches.release(batch);
    }

    @Override
    public void forgetKey(int key) {
        keys.release(key);
    }

    @Override
    public void forgetEngine(int engine) {
        engines.release(engine);
    }

    @Override
    public void probe(int engine) {
        line("TEST").append(" engine=").append(engines.id(engine)).append('\n');
    }

    @Override
    public void subscribe() {
        line("LISTEN").append(" enable=1\n");
    }

    @Override
    public void wakeIn(long delay, long token) {
        line("ARM")
                .append(" in=")
                .append(Fields.seconds(delay))
                .append(" nonce=")
                .append(token)
                .append('\n');
    }

    @Override
    public void log(String text) {
        line("DEBUG").append(" line=").append(text).append('\n');
    }
}
