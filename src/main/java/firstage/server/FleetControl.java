package firstage.server;

import firstage.policy.api.EndpointUpdate;
import firstage.server.ServerEvents.DiscoveredEndpoint;
import java.io.IOException;
import java.util.List;
import org.xnio.XnioWorker;

/**
 * Coordination of this manager with the other managers of its fleet. {@link #NONE} is the
 * implementation for a manager without configured peers. All calls but {@link #listen} come on the
 * I/O thread.
 */
interface FleetControl {
    /**
     * Implementation for a manager without peers: it may use all engines, and its quota never
     * changes.
     */
    FleetControl NONE = new FleetControl() {};

    /** Binds the address at which the peers reach this manager. */
    default void listen(XnioWorker worker) throws IOException {}

    /** Starts to exchange messages with the peers. */
    default void start() {}

    /** Informs the peers that this manager shuts down. */
    default void leave() {}

    /** Closes the connections to the peers. */
    default void close() {}

    /**
     * Passes a changed quota share on to the scheduler. Called before each evaluation, as a lease
     * may have ended while the process was paused.
     */
    default void updateQuotaShare() {}

    /** Returns those endpoints of an update that this manager may use. */
    default List<DiscoveredEndpoint> usableEndpoints(
            EndpointUpdate.Kind kind, List<DiscoveredEndpoint> endpoints) {
        return endpoints;
    }

    /**
     * Returns this manager's share of an engine's warm-up budget; 0 if the share of the settings
     * applies.
     */
    default double warmUpShare(DiscoveredEndpoint endpoint) {
        return 0;
    }

    /** Records that the scheduler has released the engine with this id. */
    default void onEngineReleased(long engineId) {}
}
