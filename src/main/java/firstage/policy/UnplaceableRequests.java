package firstage.policy;

import firstage.policy.state.RequestState;
import java.util.HashMap;
import java.util.Map;

/**
 * Kinds of requests that found no engine in the current pass over the queue. Capacity only shrinks
 * within a pass, so a first attempt of the same kind that needs as much memory or more finds no
 * engine either. Remembering this avoids a scan of all engines for each request of a long queue.
 */
final class UnplaceableRequests {
    /** Kind of a request that needs a scan of its own, whatever other requests found. */
    static final long NO_KIND = -1;

    private final Map<Long, Double> smallestMemoryMb = new HashMap<>();
    private final int trafficClassCount;

    UnplaceableRequests(int trafficClassCount) {
        this.trafficClassCount = trafficClassCount;
    }

    /**
     * Returns a number that identifies the traffic class, the priority and, if table loads affect
     * the class, the table group of the request.
     */
    long kindOf(RequestState request, int priority) {
        boolean byTables =
                request.trafficClass().blockedByTableLoads() || request.trafficClass().tableLoad();
        long tables = byTables ? request.incoming.tableGroup() + 1L : 0;
        return (tables * trafficClassCount + request.incoming.trafficClass())
                        * (PriorityAssigner.TOP + 1)
                + priority;
    }

    /**
     * Returns whether this request cannot be placed, as a request of the same kind that needs no
     * more memory found no engine in this pass.
     */
    boolean isUnplaceable(long kind, RequestState request) {
        return kind >= 0
                && smallestMemoryMb.getOrDefault(kind, Double.MAX_VALUE)
                        <= request.expectedMemoryMb();
    }

    void add(long kind, RequestState request) {
        if (kind >= 0) {
            smallestMemoryMb.merge(kind, request.expectedMemoryMb(), Math::min);
        }
    }
}
