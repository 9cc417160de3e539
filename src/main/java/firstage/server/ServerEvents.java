package firstage.server;

import firstage.policy.api.AttemptOutcome;
import firstage.policy.api.AttemptProgress;
import firstage.policy.api.EndpointUpdate;
import firstage.policy.api.LoadReport;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Locale;

/** Events of clients, engines and discovery. All calls come on the I/O thread; times are ticks. */
public interface ServerEvents {
    /**
     * Handles a request that was read completely.
     *
     * @param trafficClass the index of the traffic class in the settings
     * @param tenant the index of the tenant in the settings; 0 if the settings name none
     * @param orderingKey the ordering key; null if the request has none
     * @param estimate the client's estimate of the work, in ticks; 0 if there is none
     * @param memoryMb the client's estimate of the memory in MB; 0 if there is none
     * @param tableGroup the group of tables that the statement names; -1 if there is none
     */
    void onRequest(
            RequestExchange exchange,
            int trafficClass,
            int tenant,
            String orderingKey,
            long estimate,
            int memoryMb,
            int tableGroup);

    /** Handles a client that left or cancelled. */
    void onClientGone(RequestExchange exchange);

    /**
     * Handles a change of the client's presence.
     *
     * @param absent true if the client does not poll and may be gone; false if it polls again
     */
    void onClientAbsence(RequestExchange exchange, boolean absent);

    /** Handles progress that an engine reported. */
    void onAttemptProgress(
            RequestExchange exchange,
            RequestExchange.AttemptHandle attempt,
            AttemptProgress.Kind kind,
            double amount);

    /**
     * Handles the end of an attempt.
     *
     * @param report the latest load report of the engine; null if there is none
     * @param pages the result; used only if the attempt succeeded
     * @param heldFor how much longer the engine may hold the statement
     */
    void onAttemptEnded(
            RequestExchange exchange,
            RequestExchange.AttemptHandle attempt,
            AttemptOutcome outcome,
            long duration,
            LoadReport report,
            List<byte[]> pages,
            long heldFor);

    /**
     * Handles the proof that an attempt no longer runs, whose end was reported while its engine
     * might still hold the statement.
     */
    void onAttemptEndConfirmed(RequestExchange exchange, RequestExchange.AttemptHandle attempt);

    /**
     * Handles the end of a probe.
     *
     * @param report the load report of the engine; null if the answer contained none
     */
    void onProbeResult(int engine, AttemptOutcome outcome, LoadReport report);

    /** Handles a change of the endpoint list, or a whole list. */
    void onEndpointsUpdated(EndpointUpdate.Kind kind, List<DiscoveredEndpoint> endpoints);

    /**
     * Handles the confirmation that the endpoint list may be acted on: it is current, or as current
     * as possible.
     */
    void onEndpointsConfirmed();

    /**
     * An engine in the coordinator's endpoint list.
     *
     * @param id the id of the engine, as a number
     * @param address the address at which the engine listens
     * @param kind the index of the engine's machine type
     * @param startedAt when the engine started; 0 if that is long ago
     */
    record DiscoveredEndpoint(
            long id,
            InetSocketAddress address,
            int zone,
            int kind,
            int cell,
            EndpointUpdate.Lifecycle lifecycle,
            double weight,
            long startedAt) {
        /** Returns the id as it stands in the endpoint list. */
        public String name() {
            return String.format(Locale.ROOT, "s-%08x", id);
        }
    }
}
