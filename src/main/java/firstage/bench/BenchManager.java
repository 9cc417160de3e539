package firstage.bench;

import firstage.config.IdRegistry;
import firstage.config.MalformedLineException;
import firstage.config.SettingsParser;
import firstage.config.WireFields;
import firstage.overload.BroadcastLoadShedding;
import firstage.policy.WorkloadScheduler;
import firstage.policy.api.AttemptOutcome;
import firstage.policy.api.AttemptProgress;
import firstage.policy.api.AttemptResult;
import firstage.policy.api.Deployment;
import firstage.policy.api.EndpointUpdate;
import firstage.policy.api.IncomingRequest;
import firstage.policy.api.LoadReport;
import firstage.policy.api.PolicyActions;
import firstage.policy.api.SchedulingPolicy;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;

/**
 * One workload manager on the wire: its ids, its pending reply lines, and the host it acts through.
 */
final class BenchManager implements PolicyActions {
    private static final Map<String, AttemptOutcome> OUTCOMES =
            Map.of(
                    "delivered",
                    AttemptOutcome.SUCCEEDED,
                    "app_error",
                    AttemptOutcome.FAILED,
                    "shed",
                    AttemptOutcome.REFUSED,
                    "expired",
                    AttemptOutcome.TIMED_OUT,
                    "dial_failed",
                    AttemptOutcome.CONNECT_FAILED,
                    "dropped",
                    AttemptOutcome.CONNECTION_LOST,
                    "revoked",
                    AttemptOutcome.CANCELLED,
                    "unused",
                    AttemptOutcome.NOT_SENT);

    /** The token of the wake-up for a look at the level; the decisions use others. */
    private static final long LOOK = 1L << 20;

    private final String number;
    private final StringBuilder reply = new StringBuilder();
    private final IdRegistry<String> batches = new IdRegistry<>();
    private final IdRegistry<String> keys = new IdRegistry<>();
    private final IdRegistry<Long> engines = new IdRegistry<>();
    private final SchedulingPolicy manager;

    /** Null where managers may not talk to each other. */
    private final BroadcastLoadShedding circle;

    private boolean looks;

    BenchManager(String number, WireFields setup) {
        this.number = number;
        Deployment deployment = SettingsParser.parse(setup);
        this.manager = new WorkloadScheduler(deployment, this);
        circle =
                !setup.getBoolean("limits.peers")
                        ? null
                        : new BroadcastLoadShedding(
                                deployment.rank(),
                                deployment.shortestLatencyObjective(),
                                manager::onSheddingThreshold);
    }

    private void look(long now) {
        byte[] words = circle.look(now, manager.demand(now));
        if (words.length > 0) {
            line("WRITE_PEER")
                    .append(" dst=all payload=")
                    .append(Base64.getEncoder().encodeToString(words))
                    .append('\n');
        }
        scheduleWakeUp(BroadcastLoadShedding.LOOK, LOOK);
    }

    /** Tells the manager of one event; an unknown one is an error of the caller's line. */
    void tell(long now, String event, WireFields f, Map<Integer, List<WireFields>> lists) {
        switch (event) {
            case "INBOUND" ->
                    manager.onRequest(
                            now,
                            new IncomingRequest(
                                    batches.indexFor(f.require("request_id")),
                                    (int) f.requireLong("tier_class"),
                                    f.getInt("org", 0),
                                    f.has("table") ? keys.indexFor(f.require("table")) : -1,
                                    WireFields.secondsToTicks(f.requireDouble("not_after")),
                                    f.getTicks("plan_cost"),
                                    (int) f.getDouble("mem_mb", 0),
                                    f.getInt("tables", -1),
                                    f.getBoolean("retry"),
                                    false));
            case "SETTLED" -> settled(now, f);
            case "PROGRESS" -> progress(now, f);
            case "TIMED_OUT_CLIENT" -> {
                int batch = batches.findIndex(f.require("request_id"));
                if (batch >= 0) {
                    manager.onClientGone(now, batch);
                }
            }
            case "ENDPOINTS" -> manager.onEndpointsUpdated(now, list(f, lists));
            case "PING_RESULT" ->
                    manager.onProbeResult(
                            now, engines.indexFor(f.requireLong("engine")), outcome(f), report(f));
            case "DATAGRAM" -> {
                if (circle != null) {
                    circle.heard(now, f.getInt("by", 0), words(f.getString("payload", "-")));
                }
            }
            case "WAKE" -> {
                if (f.getLong("nonce", 0) == LOOK) {
                    look(now);
                } else {
                    manager.onWakeUp(now, f.getLong("nonce", 0));
                }
            }
            case "FLOWING" -> {}
            default -> throw new MalformedLineException("unknown event " + event);
        }
    }

    void turn(long now) {
        if (circle != null && !looks) {
            looks = true;
            look(now);
        }
        manager.runPendingActions(now);
    }

    /** The reply lines gathered since the last call. */
    String takeReply() {
        String lines = reply.toString();
        reply.setLength(0);
        return lines;
    }

    private void settled(long now, WireFields f) {
        int batch = batches.findIndex(f.require("request_id"));
        if (batch < 0) {
            return;
        }
        long stats = f.getLong("stats", 0);
        manager.onAttemptResult(
                now,
                new AttemptResult(
                        batch,
                        f.getInt("attempt", 0),
                        engines.indexFor(f.requireLong("engine")),
                        outcome(f),
                        f.getTicks("delay_seen"),
                        (stats >> 12) * 10,
                        (int) (stats & 4095) * 4,
                        f.getBoolean("terminal"),
                        report(f),
                        0));
    }

    private void progress(long now, WireFields f) {
        int batch = batches.findIndex(f.require("request_id"));
        double amount = f.getDouble("amount", 0);
        AttemptProgress.Kind kind =
                switch (f.getInt("what", 0)) {
                    case 1 -> AttemptProgress.Kind.FRACTION_DONE;
                    case 2 -> AttemptProgress.Kind.SPILLING;
                    case 3 ->
                            amount == 1
                                    ? AttemptProgress.Kind.WAITING_FOR_MEMORY
                                    : AttemptProgress.Kind.WAITING_FOR_TABLE_LOAD;
                    default -> null;
                };
        if (batch >= 0 && kind != null) {
            manager.onAttemptProgress(
                    now,
                    new AttemptProgress(
                            batch,
                            f.getInt("attempt", 0),
                            engines.indexFor(f.requireLong("engine")),
                            kind,
                            amount));
        }
    }

    private EndpointUpdate list(WireFields f, Map<Integer, List<WireFields>> lists) {
        EndpointUpdate.Kind kind =
                switch (f.require("mode")) {
                    case "incr" -> EndpointUpdate.Kind.DELTA;
                    case "total" -> EndpointUpdate.Kind.SNAPSHOT;
                    case "warm_copy" -> EndpointUpdate.Kind.INITIAL;
                    default -> EndpointUpdate.Kind.FAILED;
                };
        List<EndpointUpdate.Endpoint> entries = new ArrayList<>();
        if (kind != EndpointUpdate.Kind.FAILED) {
            List<WireFields> items = lists.get(f.getInt("ref", 0));
            if (items == null) {
                throw new MalformedLineException(
                        "list " + f.getInt("ref", 0) + " was not declared");
            }
            for (WireFields item : items) {
                long id = item.requireLong("engine");
                EndpointUpdate.Lifecycle standing =
                        switch (item.getString("health", "active")) {
                            case "active" -> EndpointUpdate.Lifecycle.ACTIVE;
                            case "leaving" -> EndpointUpdate.Lifecycle.DRAINING;
                            default -> EndpointUpdate.Lifecycle.GONE;
                        };
                entries.add(
                        new EndpointUpdate.Endpoint(
                                engines.indexFor(id),
                                id,
                                item.getInt("locality", 0),
                                item.getInt("class_of_host", 0),
                                item.getInt("cell", 0),
                                standing,
                                item.getDouble("heft", 1),
                                item.getTicks("since")));
            }
        }
        return new EndpointUpdate(kind, entries);
    }

    private static AttemptOutcome outcome(WireFields f) {
        AttemptOutcome outcome = OUTCOMES.get(f.require("how"));
        if (outcome == null) {
            throw new MalformedLineException("unknown outcome " + f.require("how"));
        }
        return outcome;
    }

    private static LoadReport report(WireFields f) {
        if (!f.has("gauge")) {
            return null;
        }
        WireFields g = new WireFields(" " + f.require("gauge").replace(':', '=').replace(',', ' '));
        return new LoadReport(
                g.getDouble("active", Double.NaN),
                g.getDouble("waiting", Double.NaN),
                g.getDouble("cpu", Double.NaN),
                g.getDouble("x0", Double.NaN),
                g.getDouble("x1", Double.NaN));
    }

    private static byte[] words(String base64) {
        return base64.equals("-") ? new byte[0] : Base64.getDecoder().decode(base64);
    }

    private StringBuilder line(String action) {
        return reply.append(action).append(" i=").append(number);
    }

    private StringBuilder line(String action, int batch) {
        return line(action).append(" request_id=").append(batches.idOf(batch));
    }

    @Override
    public void setGrantAndPriority(int batch, int grantMb, int priority) {
        line("PROVIDE", batch)
                .append(" workspace_mb=")
                .append(grantMb)
                .append(" rank=")
                .append(priority)
                .append('\n');
    }

    @Override
    public void startAttempt(int batch, int engine, long within) {
        line("DISPATCH", batch)
                .append(" engine=")
                .append(engines.idOf(engine))
                .append(" within=")
                .append(WireFields.formatSeconds(within))
                .append('\n');
    }

    @Override
    public void cancelAttempt(int batch, int dispatch) {
        line("UNDO_SEND", batch).append(" attempt=").append(dispatch).append('\n');
    }

    @Override
    public void reject(int batch, long comeBack) {
        line("DENY", batch)
                .append(" come_back=")
                .append(WireFields.formatSeconds(comeBack))
                .append('\n');
    }

    @Override
    public void fail(int batch) {
        line("ERROR", batch).append('\n');
    }

    @Override
    public void releaseRequest(int batch) {
        batches.release(batch);
    }

    @Override
    public void releaseKey(int key) {
        keys.release(key);
    }

    @Override
    public void releaseEngine(int engine) {
        engines.release(engine);
    }

    @Override
    public void probeEngine(int engine) {
        line("TEST").append(" engine=").append(engines.idOf(engine)).append('\n');
    }

    @Override
    public void subscribeToEndpoints() {
        line("LISTEN").append(" enable=1\n");
    }

    @Override
    public void scheduleWakeUp(long delay, long token) {
        line("ARM")
                .append(" in=")
                .append(WireFields.formatSeconds(delay))
                .append(" nonce=")
                .append(token)
                .append('\n');
    }

    @Override
    public void log(String text) {
        line("DEBUG").append(" line=").append(text).append('\n');
    }
}
