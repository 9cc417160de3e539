package firstage.policy;

import firstage.policy.api.EndpointUpdate.Lifecycle;
import firstage.policy.state.EngineState;
import firstage.policy.state.RequestState;
import java.util.Arrays;
import java.util.Collection;
import java.util.random.RandomGenerator;

/**
 * Scores engines by the tables of a request. Readers of the same tables go to the same engines,
 * whose caches hold these tables. Loads of the same tables block each other and the readers, so
 * managers divide the engines among themselves by rank, in the order of increasing affinity to the
 * tables.
 */
final class TableAffinity {
    /**
     * Score of an engine in this manager's group, for a table load; higher than the score for free
     * memory, lower than that for capacity.
     */
    private static final double OWN_ENGINE_SCORE = 30;

    /**
     * Maximum number of groups into which the engines are divided for loads, as a share of the
     * active engines; the other engines are left to readers.
     */
    private static final double MAX_LOAD_GROUP_SHARE = 0.67;

    /** Result of {@link #tableLoadOrder} for a request that is not a table load. */
    private static final double[] NO_ORDER = {};

    private final RandomGenerator random;
    private final int rank;
    private final int managers;

    TableAffinity(RandomGenerator random, int rank, int managers) {
        this.random = random;
        this.rank = rank;
        this.managers = managers;
    }

    /**
     * Returns the affinities of the active engines to the tables of a load, in ascending order;
     * empty if the request is not a table load.
     */
    double[] tableLoadOrder(RequestState request, Collection<EngineState> engines) {
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
     * Returns the score of this engine: 0 or {@link #OWN_ENGINE_SCORE} for table loads, 0 to 1 for
     * other requests.
     *
     * @param tableLoadOrder result of {@link #tableLoadOrder} for the same request
     * @param shareBelowOneRequest whether the quota share of an engine is too small for the
     *     request, in which case readers get a random score, so that managers select different
     *     engines
     */
    double score(
            RequestState request,
            EngineState engine,
            double[] tableLoadOrder,
            boolean shareBelowOneRequest) {
        double affinity = engine.hashFraction(request.incoming.tableGroup());
        if (isLoadOfTables(request)) {
            int groups =
                    Math.min(
                            managers,
                            (int) Math.ceil(tableLoadOrder.length * MAX_LOAD_GROUP_SHARE));
            int position = Arrays.binarySearch(tableLoadOrder, affinity);
            return (position - rank) % groups == 0 ? OWN_ENGINE_SCORE : 0;
        }
        return shareBelowOneRequest ? random.nextDouble() : affinity;
    }
}
