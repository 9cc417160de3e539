package firstage.server;

import firstage.policy.api.EndpointUpdate;
import firstage.server.ServerEvents.DiscoveredEndpoint;
import java.io.IOException;
import java.util.List;
import org.xnio.XnioWorker;

/**
 * What the managers of a fleet work out together, as one of them sees it. {@link #NONE} stands for
 * a manager that no peers are named for. All calls but {@link #listen} come on the I/O thread.
 */
interface FleetControl {
    /** A manager without peers: all engines are its own, and its quota never changes. */
    FleetControl NONE = new FleetControl() {};

    /** Listens for the peers. */
    default void listen(XnioWorker worker) throws IOException {}

    /** Begins to speak with the peers. */
    default void start() {}

    /** Tells the peers that this manager shuts down. */
    default void leave() {}

    /** Ends its connections. */
    default void close() {}

    /** Asked before each evaluation: a lease may have ended while the process was paused. */
    default void updateQuotaShare() {}

    /** Of an update of the endpoint list the engines that this manager may use. */
    default List<DiscoveredEndpoint> served(
            EndpointUpdate.Kind kind, List<DiscoveredEndpoint> endpoints) {
        return endpoints;
    }

    /** This manager's share of an engine's warm-up budget; 0 where it has no say. */
    default double warmUpShare(DiscoveredEndpoint endpoint) {
        return 0;
    }

    /** The scheduler knows the engine with this id no more. */
    default void onEngineReleased(long engineId) {}
}
