package firstage.server;

import firstage.policy.api.AttemptOutcome;
import firstage.policy.api.AttemptProgress;
import firstage.policy.api.EndpointUpdate;
import firstage.policy.api.LoadReport;
import java.net.InetSocketAddress;
import java.util.List;

/** What the peers' packages tell the node. All calls come on the I/O thread. */
public interface ServerEvents {
    /** A batch was taken whole; {@code key} is null without one. */
    void onRequest(
            RequestExchange exchange,
            int trafficClass,
            int tenant,
            String key,
            long estimate,
            int memoryMb,
            int tableGroup);

    /**
     * How long this thread may have stood still before this moment; 0 where it surely ran, or
     * nobody knows.
     */
    long recentPause();

    /** The client left, or gave up. */
    void onClientGone(RequestExchange exchange);

    /** The client is not there to be answered, and may be gone; or it asks again. */
    void onClientPresence(RequestExchange exchange, boolean away);

    void onAttemptProgress(
            RequestExchange exchange,
            RequestExchange.AttemptHandle attempt,
            AttemptProgress.Kind kind,
            double amount);

    /**
     * A dispatch is over; {@code pages} only where it returned; the engine may hold it for {@code
     * rest} more.
     */
    void onAttemptEnded(
            RequestExchange exchange,
            RequestExchange.AttemptHandle attempt,
            AttemptOutcome outcome,
            long duration,
            LoadReport report,
            List<byte[]> pages,
            long heldFor);

    void onProbeResult(int engine, AttemptOutcome outcome, LoadReport report);

    void onEndpointsUpdated(EndpointUpdate.Kind kind, List<DiscoveredEndpoint> endpoints);

    /** The list is as its coordinator has it, or can't be had any fresher: it may be acted on. */
    void onEndpointsConfirmed();

    /** An engine as the coordinator lists it: its id as a number and where it listens. */
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
