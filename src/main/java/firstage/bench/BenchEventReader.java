package firstage.bench;

import firstage.config.InvalidInputException;
import firstage.config.WireFields;
import firstage.policy.api.AttemptOutcome;
import firstage.policy.api.AttemptProgress;
import firstage.policy.api.AttemptResult;
import firstage.policy.api.EndpointUpdate;
import firstage.policy.api.IncomingRequest;
import firstage.policy.api.LoadReport;
import firstage.util.Ticks;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;

/**
 * Translates the fields of the simulator's events into the messages of the scheduling policy.
 * Throws {@link InvalidInputException} if a field can't be read.
 */
final class BenchEventReader {
    private static final Map<String, AttemptOutcome> OUTCOMES =
            Map.of(
                    "delivered", AttemptOutcome.SUCCEEDED,
                    "app_error", AttemptOutcome.FAILED,
                    "shed", AttemptOutcome.REFUSED,
                    "expired", AttemptOutcome.TIMED_OUT,
                    "dial_failed", AttemptOutcome.CONNECT_FAILED,
                    "dropped", AttemptOutcome.CONNECTION_LOST,
                    "revoked", AttemptOutcome.CANCELLED,
                    "unused", AttemptOutcome.NOT_SENT);

    private static final int ABSENT = -1;

    // The actual cost is the sum of 4096 times the work in milliseconds and the memory in steps of
    // 4 MB.
    private static final int COST_MEMORY_BITS = 12;
    private static final int COST_MEMORY_MASK = (1 << COST_MEMORY_BITS) - 1;
    private static final int COST_MEMORY_STEP_MB = 4;

    private static final int PROGRESS_FRACTION_DONE = 1;
    private static final int PROGRESS_SPILLING = 2;
    private static final int PROGRESS_WAITING = 3;
    private static final double WAITING_FOR_MEMORY = 1;

    private final BenchIds ids;

    BenchEventReader(BenchIds ids) {
        this.ids = ids;
    }

    /**
     * Returns the index of the request that an event names, or -1 if the request is closed already.
     */
    int findOpenRequest(WireFields event) {
        return ids.requests().findIndex(event.require(BenchWire.REQUEST));
    }

    int engineIndex(WireFields event) {
        return ids.engines().indexFor(event.requireLong(BenchWire.ENGINE));
    }

    IncomingRequest incomingRequest(WireFields event) {
        return new IncomingRequest(
                ids.requests().indexFor(event.require(BenchWire.REQUEST)),
                (int) event.requireLong(BenchWire.TRAFFIC_CLASS),
                event.getInt(BenchWire.TENANT, 0),
                event.has(BenchWire.ORDERING_KEY)
                        ? ids.orderingKeys().indexFor(event.require(BenchWire.ORDERING_KEY))
                        : ABSENT,
                WireFields.secondsToTicks(event.requireDouble(BenchWire.DEADLINE)),
                event.getTicks(BenchWire.ESTIMATED_WORK),
                (int) event.getDouble(BenchWire.ESTIMATED_MEMORY_MB, 0),
                event.getInt(BenchWire.TABLE_GROUP, ABSENT),
                event.getBoolean(BenchWire.IS_RETRY),
                false);
    }

    AttemptResult attemptResult(int request, WireFields event) {
        long actualCost = event.getLong(BenchWire.ACTUAL_COST, 0);
        return new AttemptResult(
                request,
                event.getInt(BenchWire.ATTEMPT, 0),
                engineIndex(event),
                outcome(event),
                event.getTicks(BenchWire.DURATION),
                Ticks.ofMillis(actualCost >> COST_MEMORY_BITS),
                (int) (actualCost & COST_MEMORY_MASK) * COST_MEMORY_STEP_MB,
                event.getBoolean(BenchWire.REQUEST_CLOSED),
                loadReport(event),
                0);
    }

    /** Returns the kind of progress that an event reports, or null for an unknown kind. */
    AttemptProgress.Kind progressKind(WireFields event) {
        return switch (event.getInt(BenchWire.PROGRESS_KIND, 0)) {
            case PROGRESS_FRACTION_DONE -> AttemptProgress.Kind.FRACTION_DONE;
            case PROGRESS_SPILLING -> AttemptProgress.Kind.SPILLING;
            case PROGRESS_WAITING ->
                    event.getDouble(BenchWire.PROGRESS_AMOUNT, 0) == WAITING_FOR_MEMORY
                            ? AttemptProgress.Kind.WAITING_FOR_MEMORY
                            : AttemptProgress.Kind.WAITING_FOR_TABLE_LOAD;
            default -> null;
        };
    }

    AttemptProgress attemptProgress(int request, AttemptProgress.Kind kind, WireFields event) {
        return new AttemptProgress(
                request,
                event.getInt(BenchWire.ATTEMPT, 0),
                engineIndex(event),
                kind,
                event.getDouble(BenchWire.PROGRESS_AMOUNT, 0));
    }

    /** Returns an update with the entries of the list that the event refers to. */
    EndpointUpdate endpointUpdate(WireFields event, Map<Integer, List<WireFields>> lists) {
        EndpointUpdate.Kind kind =
                switch (event.require(BenchWire.UPDATE_KIND)) {
                    case "incr" -> EndpointUpdate.Kind.DELTA;
                    case "total" -> EndpointUpdate.Kind.SNAPSHOT;
                    case "warm_copy" -> EndpointUpdate.Kind.INITIAL;
                    default -> EndpointUpdate.Kind.FAILED;
                };
        List<EndpointUpdate.Endpoint> endpoints = new ArrayList<>();
        if (kind != EndpointUpdate.Kind.FAILED) {
            int number = event.getInt(BenchWire.LIST_NUMBER, 0);
            List<WireFields> entries = lists.get(number);
            if (entries == null) {
                throw new InvalidInputException("list " + number + " was not declared");
            }
            for (WireFields entry : entries) {
                endpoints.add(endpoint(entry));
            }
        }
        return new EndpointUpdate(kind, endpoints);
    }

    private EndpointUpdate.Endpoint endpoint(WireFields entry) {
        long id = entry.requireLong(BenchWire.ENGINE);
        EndpointUpdate.Lifecycle lifecycle =
                switch (entry.getString(BenchWire.LIFECYCLE, "active")) {
                    case "active" -> EndpointUpdate.Lifecycle.ACTIVE;
                    case "leaving" -> EndpointUpdate.Lifecycle.DRAINING;
                    default -> EndpointUpdate.Lifecycle.GONE;
                };
        return new EndpointUpdate.Endpoint(
                ids.engines().indexFor(id),
                id,
                entry.getInt(BenchWire.ZONE, 0),
                entry.getInt(BenchWire.MACHINE_TYPE, 0),
                entry.getInt(BenchWire.CELL, 0),
                lifecycle,
                entry.getDouble(BenchWire.WEIGHT, 1),
                entry.getTicks(BenchWire.STARTED_AT));
    }

    AttemptOutcome outcome(WireFields event) {
        AttemptOutcome outcome = OUTCOMES.get(event.require(BenchWire.OUTCOME));
        if (outcome == null) {
            throw new InvalidInputException("unknown outcome " + event.require(BenchWire.OUTCOME));
        }
        return outcome;
    }

    /** Returns the load report of an event, or null if it has none. */
    LoadReport loadReport(WireFields event) {
        if (!event.has(BenchWire.LOAD_REPORT)) {
            return null;
        }
        // The report is a list of name:value pairs separated by commas; it is rewritten as the
        // fields of a line.
        String pairs = event.require(BenchWire.LOAD_REPORT);
        WireFields report = new WireFields(" " + pairs.replace(':', '=').replace(',', ' '));
        return new LoadReport(
                report.getDouble(BenchWire.ACTIVE_THREADS, Double.NaN),
                report.getDouble(BenchWire.QUEUED_FOR_MEMORY, Double.NaN),
                report.getDouble(BenchWire.CPU_SHARE, Double.NaN),
                report.getDouble(BenchWire.MEMORY_SHARE, Double.NaN),
                report.getDouble(BenchWire.DISK_SHARE, Double.NaN));
    }

    byte[] payload(WireFields event) {
        String base64 = event.getString(BenchWire.PAYLOAD, BenchWire.NO_BYTES);
        return base64.equals(BenchWire.NO_BYTES) ? new byte[0] : Base64.getDecoder().decode(base64);
    }
}
