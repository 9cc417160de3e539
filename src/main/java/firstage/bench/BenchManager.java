package firstage.bench;

import firstage.config.InvalidInputException;
import firstage.config.SettingsKeys;
import firstage.config.SettingsParser;
import firstage.config.WireFields;
import firstage.overload.BroadcastLoadShedding;
import firstage.policy.WorkloadScheduler;
import firstage.policy.api.AttemptProgress;
import firstage.policy.api.Deployment;
import firstage.policy.api.SchedulingPolicy;
import java.util.List;
import java.util.Map;

/**
 * Workload manager in the simulator: its policy, its ids and its pending reply lines. Managers
 * share no state.
 */
final class BenchManager {
    /** Token of the wake-up for load shedding; the policy uses other tokens. */
    private static final long LOAD_SHEDDING_TOKEN = 1L << 20;

    private final BenchEventReader reader;
    private final BenchActionWriter actions;
    private final SchedulingPolicy policy;

    /** Load shedding with the peers; null if managers may not message each other. */
    private final BroadcastLoadShedding loadShedding;

    private boolean loadSheddingStarted;

    /**
     * Starts a manager.
     *
     * @param number the manager's number on the wire
     * @param settings the deployment's settings
     */
    BenchManager(String number, WireFields settings) {
        BenchIds ids = new BenchIds();
        reader = new BenchEventReader(ids);
        actions = new BenchActionWriter(number, ids);
        Deployment deployment = SettingsParser.parse(settings);
        policy = new WorkloadScheduler(deployment, actions);
        loadShedding =
                settings.getBoolean(SettingsKeys.MAY_MESSAGE_PEERS)
                        ? new BroadcastLoadShedding(
                                deployment.rank(),
                                deployment.shortestLatencyObjective(),
                                policy::onSheddingThreshold)
                        : null;
    }

    /**
     * Passes one event to the manager.
     *
     * @param now the clock of the round, in ticks
     * @param kind the kind of line
     * @param lists the endpoint lists declared so far, by number
     * @throws InvalidInputException if the kind is unknown or a field can't be read
     */
    void onEvent(long now, String kind, WireFields event, Map<Integer, List<WireFields>> lists) {
        switch (kind) {
            case BenchWire.REQUEST_RECEIVED -> policy.onRequest(now, reader.incomingRequest(event));
            case BenchWire.ATTEMPT_RESULT -> onAttemptResult(now, event);
            case BenchWire.ATTEMPT_PROGRESS -> onAttemptProgress(now, event);
            case BenchWire.CLIENT_GONE -> onClientGone(now, event);
            case BenchWire.ENDPOINTS_UPDATED ->
                    policy.onEndpointsUpdated(now, reader.endpointUpdate(event, lists));
            case BenchWire.PROBE_RESULT ->
                    policy.onProbeResult(
                            now,
                            reader.engineIndex(event),
                            reader.outcome(event),
                            reader.loadReport(event));
            case BenchWire.PEER_MESSAGE -> onPeerMessage(now, event);
            case BenchWire.WAKE_UP -> onWakeUp(now, event.getLong(BenchWire.TIMER_TOKEN, 0));
            case BenchWire.STREAM_STARTED -> {}
            default -> throw new InvalidInputException("unknown event " + kind);
        }
    }

    /** Ends a round after all its events have been passed to the manager. */
    void runPendingActions(long now) {
        if (loadShedding != null && !loadSheddingStarted) {
            loadSheddingStarted = true;
            evaluateLoadShedding(now);
        }
        policy.runPendingActions(now);
    }

    /** Returns the reply lines written since the last call. */
    String takeReply() {
        return actions.takeLines();
    }

    private void onAttemptResult(long now, WireFields event) {
        int request = reader.findOpenRequest(event);
        if (request >= 0) {
            policy.onAttemptResult(now, reader.attemptResult(request, event));
        }
    }

    private void onAttemptProgress(long now, WireFields event) {
        int request = reader.findOpenRequest(event);
        AttemptProgress.Kind kind = reader.progressKind(event);
        if (request >= 0 && kind != null) {
            policy.onAttemptProgress(now, reader.attemptProgress(request, kind, event));
        }
    }

    private void onClientGone(long now, WireFields event) {
        int request = reader.findOpenRequest(event);
        if (request >= 0) {
            policy.onClientGone(now, request);
        }
    }

    private void onPeerMessage(long now, WireFields event) {
        if (loadShedding != null) {
            int sender = event.getInt(BenchWire.SENDER, 0);
            loadShedding.onMessage(now, sender, reader.payload(event));
        }
    }

    private void onWakeUp(long now, long token) {
        if (token == LOAD_SHEDDING_TOKEN) {
            evaluateLoadShedding(now);
        } else {
            policy.onWakeUp(now, token);
        }
    }

    private void evaluateLoadShedding(long now) {
        byte[] message = loadShedding.evaluate(now, policy.demand(now));
        if (message.length > 0) {
            actions.messagePeers(message);
        }
        actions.scheduleWakeUp(BroadcastLoadShedding.EVALUATION_INTERVAL, LOAD_SHEDDING_TOKEN);
    }
}
