package firstage.policy;

import firstage.policy.api.EndpointUpdate.Lifecycle;
import firstage.policy.state.EngineState;
import firstage.policy.state.RequestState;
import java.util.Arrays;
import java.util.Collection;
import java.util.random.RandomGenerator;

/**
 * Which engines suit the tables of a request. Readers of the same tables go to the same engines,
 * whose caches hold them. Loads of the same tables block each other and the readers: managers
 * divide the engines by their ranks, those that hold the tables least first.
 */
final class TableAffinity {
    /** For a load, in points of the score: above any free capacity, below fitting. */
    private static final double OWN_ENGINE_SCORE = 30;

    /** Of the engines in a table's order that loads may use: the rest reads it. */
    private static final double LOAD_SHARE = 0.67;

    /** The order of a request that is no table load. */
    private static final double[] NO_ORDER = {};

    private final RandomGenerator random;
    private final int rank;
    private final int managers;

    TableAffinity(RandomGenerator random, int rank, int managers) {
        this.random = random;
        this.rank = rank;
        this.managers = managers;
    }

    /** The active engines' affinities to a load's tables, in ascending order; else empty. */
    double[] loadOrder(RequestState request, Collection<EngineState> engines) {
        int tableGroup = request.incoming.tableGroup();
        return !isLoadOfTables(request)
                ? NO_ORDER
                : engines.stream()
                        .filter(engine -> engine.lifecycle == Lifecycle.ACTIVE)
                        .mapToDouble(engine -> engine.hashFraction(tableGroup))
                        .sorted()
                        .toArray();
    }

    private static boolean isLoadOfTables(RequestState request) {
        return request.trafficClass().tableLoad() && request.incoming.tableGroup() >= 0;
    }

    /**
     * Points for this engine, to 1 for readers.
     *
     * @param loadOrder of the same request
     * @param smallShare whether the quota share of an engine is less than the request: chance keeps
     *     managers apart then
     */
    double score(RequestState request, EngineState engine, double[] loadOrder, boolean smallShare) {
        double affinity = engine.hashFraction(request.incoming.tableGroup());
        if (isLoadOfTables(request)) {
            int groups = Math.min(managers, (int) Math.ceil(loadOrder.length * LOAD_SHARE));
            int place = Arrays.binarySearch(loadOrder, affinity);
            return (place - rank) % groups == 0 ? OWN_ENGINE_SCORE : 0;
        }
        return smallShare ? random.nextDouble() : affinity;
    }
}
