package firstage.server;

import firstage.policy.api.AttemptOutcome;
import firstage.policy.api.AttemptProgress;
import firstage.policy.api.EndpointUpdate;
import firstage.policy.api.LoadReport;
import java.net.InetSocketAddress;
import java.util.List;

/** Events of clients, engines and discovery. All calls come on the I/O thread; times are ticks. */
public interface ServerEvents {
    /**
     * A request was read whole.
     *
     * @param trafficClass its index in the settings
     * @param tenant its index in the settings; 0 where these name none
     * @param key the ordering key; null without one
     * @param estimate the client's estimate of the work; 0 without one
     * @param memoryMb the client's estimate of the memory; 0 without one
     * @param tableGroup the group of tables that the statement names; -1 without one
     */
    void onRequest(
            RequestExchange exchange,
            int trafficClass,
            int tenant,
            String key,
            long estimate,
            int memoryMb,
            int tableGroup);

    /** The client left, or cancelled. */
    void onClientGone(RequestExchange exchange);

    /** The client is absent and may be gone; or it polls again. */
    void onClientAbsence(RequestExchange exchange, boolean absent);

    /** An engine reported progress. */
    void onAttemptProgress(
            RequestExchange exchange,
            RequestExchange.AttemptHandle attempt,
            AttemptProgress.Kind kind,
            double amount);

    /**
     * An attempt ended.
     *
     * @param pages the result; used only where the attempt succeeded
     * @param report the latest load report of the engine; null without one
     * @param heldFor for how long the engine may still hold the statement
     */
    void onAttemptEnded(
            RequestExchange exchange,
            RequestExchange.AttemptHandle attempt,
            AttemptOutcome outcome,
            long duration,
            LoadReport report,
            List<byte[]> pages,
            long heldFor);

    /** A probe ended; {@code report} is null where its answer carried none. */
    void onProbeResult(int engine, AttemptOutcome outcome, LoadReport report);

    /** Engines changed, or the whole list came. */
    void onEndpointsUpdated(EndpointUpdate.Kind kind, List<DiscoveredEndpoint> endpoints);

    /** The endpoint list is current, or as current as can be had: it may be acted on. */
    void onEndpointsConfirmed();

    /**
     * An engine as the coordinator lists it.
     *
     * @param id its id as a number
     * @param address where it listens
     * @param kind the index of its machine type
     * @param startedAt when it started; 0 where that is long ago
     */
    record DiscoveredEndpoint(
            long id,
            InetSocketAddress address,
            int zone,
            int kind,
            int cell,
            EndpointUpdate.Lifecycle lifecycle,
            double weight,
            long startedAt) {}
}
