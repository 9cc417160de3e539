package firstage.server;

import firstage.config.IdRegistry;
import firstage.policy.api.EndpointUpdate;
import firstage.server.ServerEvents.DiscoveredEndpoint;
import firstage.server.engine.EngineClients;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntConsumer;

/**
 * The engines that discovery lists: the index and the zone of each. Changes of the list go from
 * here to the engine connections and to the scheduler. Owned by the I/O thread.
 */
final class EngineDirectory {
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

    /** The index of the engine with this id; -1 where it has none. */
    int find(long id) {
        return ids.findIndex(id);
    }

    /** The id of the engine with this index. */
    long id(int engine) {
        return ids.idOf(engine);
    }

    /** The zone of an engine, -1 where it is unknown. */
    int zone(int engine) {
        return zoneByEngine.getOrDefault(engine, UNKNOWN_ZONE);
    }

    /** Calls back with the index of each engine that was listed and not released. */
    void forEach(IntConsumer action) {
        for (int engine = 0; engine < engines.count(); engine++) {
            if (engines.isKnown(engine)) {
                action.accept(engine);
            }
        }
    }

    /** Engines changed, or the whole list came; {@code fleet} names their warm-up shares. */
    void update(EndpointUpdate.Kind kind, List<DiscoveredEndpoint> endpoints, FleetControl fleet) {
        List<EndpointUpdate.Endpoint> updated = new ArrayList<>();
        for (DiscoveredEndpoint endpoint : endpoints) {
            int index = ids.indexFor(endpoint.id());
            zoneByEngine.put(index, endpoint.zone());
            engines.updateEndpoint(index, endpoint);
            updated.add(
                    new EndpointUpdate.Endpoint(
                            index,
                            endpoint.id(),
                            endpoint.zone(),
                            endpoint.kind(),
                            endpoint.cell(),
                            endpoint.lifecycle(),
                            endpoint.weight(),
                            endpoint.startedAt(),
                            fleet.warmUpShare(endpoint)));
        }
        if (kind == EndpointUpdate.Kind.SNAPSHOT) {
            engines.retainOnly(updated.stream().map(EndpointUpdate.Endpoint::engineId).toList());
        }
        loop.dispatch(
                "listed",
                scheduler ->
                        scheduler.onEndpointsUpdated(
                                clock.now(), new EndpointUpdate(kind, updated)));
    }

    /** The scheduler knows the engine no more: its index may serve again. */
    void release(int engine) {
        ids.release(engine);
        engines.removeEngine(engine);
        zoneByEngine.remove(engine);
    }

    /** What the engine connections count must be what the scheduler counts. */
    void checkInvariants() {
        for (int engine = 0; engine < engines.count(); engine++) {
            counters.checkInvariant(
                    engines.attemptsInFlight(engine) == loop.scheduler().attemptsInFlight(engine),
                    "attempts in flight are those that the scheduler counts");
        }
        engines.checkInvariants();
    }
}
