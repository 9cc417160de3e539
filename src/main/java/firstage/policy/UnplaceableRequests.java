package firstage.policy;

import firstage.policy.state.RequestState;
import java.util.HashMap;
import java.util.Map;

/**
 * Kinds of requests that found no engine in one pass over the queue. Within a pass capacity only
 * shrinks: a first attempt of the same kind that needs no less memory finds none either, so that a
 * long queue does not scan every engine for each request.
 */
final class UnplaceableRequests {
    /** A request that must be looked at by itself. */
    static final long NO_KIND = -1;

    private final Map<Long, Double> smallestMemoryMb = new HashMap<>();
    private final int trafficClasses;

    UnplaceableRequests(int trafficClasses) {
        this.trafficClasses = trafficClasses;
    }

    /** A number for its traffic class, priority and, where table loads matter, its tables. */
    long kindOf(RequestState request, int priority) {
        boolean byTables =
                request.trafficClass().blockedByTableLoads() || request.trafficClass().tableLoad();
        long tables = byTables ? request.incoming.tableGroup() + 1L : 0;
        return (tables * trafficClasses + request.incoming.trafficClass())
                        * (PriorityClasses.TOP + 1)
                + priority;
    }

    boolean covers(long kind, RequestState request) {
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
