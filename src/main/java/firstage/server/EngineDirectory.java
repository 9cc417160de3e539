package firstage.server;

import firstage.config.IdRegistry;
import firstage.policy.api.EndpointUpdate;
import firstage.policy.api.EndpointUpdate.Lifecycle;
import firstage.server.ServerEvents.DiscoveredEndpoint;
import firstage.server.engine.EngineClients;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.function.IntConsumer;
import java.util.logging.Logger;
import java.util.stream.Collectors;

/**
 * Directory of the engines in the endpoint list, with the index and the zone of each. Passes
 * changes of the list on to the engine connections and to the scheduler. Owned by the I/O thread.
 */
final class EngineDirectory {
    private static final Logger LOG = Logger.getLogger(EngineDirectory.class.getName());
    private static final int UNKNOWN_ZONE = -1;

    private final TickClock clock;
    private final Counters counters;
    private final SchedulerLoop loop;
    private final EngineClients engines;
    private final IdRegistry<Long> ids = new IdRegistry<>();
    private final Map<Integer, Integer> zoneByEngine = new HashMap<>();

    EngineDirectory(TickClock clock, Counters counters, SchedulerLoop loop, EngineClients engines) {
        this.clock = clock;
        this.counters = counters;
        this.loop = loop;
        this.engines = engines;
    }

    /** Returns the index of the engine with this id; -1 if the engine has none. */
    int find(long id) {
        return ids.findIndex(id);
    }

    /** Returns the id of the engine with this index. */
    long id(int engine) {
        return ids.idOf(engine);
    }

    /** Returns the zone of an engine; -1 if it is unknown. */
    int zone(int engine) {
        return zoneByEngine.getOrDefault(engine, UNKNOWN_ZONE);
    }

    /** Calls {@code action} with the index of each engine that was listed and not released. */
    void forEach(IntConsumer action) {
        for (int engine = 0; engine < engines.indexCount(); engine++) {
            if (engines.isKnown(engine)) {
                action.accept(engine);
            }
        }
    }

    /**
     * Applies a change of the endpoint list, or a whole list.
     *
     * @param fleet the source of this manager's shares of the engines' warm-up budgets
     */
    void update(EndpointUpdate.Kind kind, List<DiscoveredEndpoint> endpoints, FleetControl fleet) {
        List<EndpointUpdate.Endpoint> updated = new ArrayList<>();
        for (DiscoveredEndpoint endpoint : endpoints) {
            int index = ids.indexFor(endpoint.id());
            zoneByEngine.put(index, endpoint.zone());
            OptionalInt predecessor = engines.updateEndpoint(index, endpoint);
            updated.add(listed(index, endpoint, endpoint.lifecycle(), fleet));
            if (predecessor.isPresent()) {
                updated.add(removePredecessor(predecessor.getAsInt(), endpoint, fleet));
            }
        }
        if (kind == EndpointUpdate.Kind.SNAPSHOT) {
            engines.retainOnly(
                    updated.stream()
                            .map(EndpointUpdate.Endpoint::engineId)
                            .collect(Collectors.toSet()));
        }
        loop.dispatch(
                "endpoints updated",
                scheduler ->
                        scheduler.onEndpointsUpdated(
                                clock.now(), new EndpointUpdate(kind, updated)));
    }

    private static EndpointUpdate.Endpoint listed(
            int index, DiscoveredEndpoint endpoint, Lifecycle lifecycle, FleetControl fleet) {
        return new EndpointUpdate.Endpoint(
                index,
                endpoint.id(),
                endpoint.zone(),
                endpoint.kind(),
                endpoint.cell(),
                lifecycle,
                endpoint.weight(),
                endpoint.startedAt(),
                fleet.warmUpShare(endpoint));
    }

    /**
     * Takes the engine that had the address of a new one out of use, whether or not the list says
     * so yet: new statements for it would reach the new engine. What runs there is asked for on the
     * connections that are open.
     */
    private EndpointUpdate.Endpoint removePredecessor(
            int index, DiscoveredEndpoint successor, FleetControl fleet) {
        counters.count("engines replaced at their address");
        LOG.info(
                () ->
                        "engine replaced at its address engine="
                                + ids.idOf(index)
                                + " by="
                                + successor.id());
        engines.onAddressTaken(index);
        DiscoveredEndpoint gone =
                new DiscoveredEndpoint(
                        ids.idOf(index),
                        successor.address(),
                        zone(index),
                        successor.kind(),
                        successor.cell(),
                        Lifecycle.GONE,
                        successor.weight(),
                        0);
        return listed(index, gone, Lifecycle.GONE, fleet);
    }

    /** Removes an engine that the scheduler has released; its index may be reused. */
    void release(int engine) {
        ids.release(engine);
        engines.removeEngine(engine);
        zoneByEngine.remove(engine);
    }

    /**
     * Checks that the engine connections and the scheduler count the same attempts in flight, and
     * the invariants of the engine connections.
     */
    void checkInvariants() {
        for (int engine = 0; engine < engines.indexCount(); engine++) {
            counters.checkInvariant(
                    engines.attemptsInFlight(engine) == loop.scheduler().attemptsInFlight(engine),
                    "attempts in flight are those that the scheduler counts");
        }
        engines.checkInvariants();
    }
}
