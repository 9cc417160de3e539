package firstage.server.engine;

import firstage.server.Counters;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The number of connections that may be open to all engines together. Owned by the I/O thread. */
final class ConnectionBudget {
    private final Counters counters;
    private final int limit;
    private int inUse;

    /** Pools with connections, also such as were replaced and are still polled. */
    private final Set<EngineConnectionPool> pools = new HashSet<>();

    ConnectionBudget(Counters counters, int limit) {
        this.counters = counters;
        this.limit = limit;
    }

    boolean isExhausted() {
        return inUse >= limit;
    }

    /**
     * Reserves one more connection; where there is none left, an idle one of another engine is
     * closed for it. False where there is none of those, either.
     */
    boolean reserve() {
        if (isExhausted() && pools.stream().noneMatch(EngineConnectionPool::closeLongestIdle)) {
            counters.count("engine connections not available");
            return false;
        }
        inUse++;
        counters.peak("max engine connections", inUse);
        return true;
    }

    /** A connection was closed, or did not come up. */
    void release() {
        inUse--;
        counters.checkInvariant(inUse >= 0, "a connection is released once");
    }

    /** The pool uses a reserved connection. */
    void onConnecting(EngineConnectionPool pool) {
        pools.add(pool);
    }

    /** Connections reserved are those in use, idle, or coming up, and no more than the limit. */
    void checkInvariants() {
        int open = pools.stream().mapToInt(EngineConnectionPool::connectionCount).sum();
        counters.checkInvariant(
                open == inUse && inUse <= limit, "connections are in use, idle or coming up");
        pools.removeIf(pool -> pool.connectionCount() == 0);
    }

    /** Closes connections that were idle for too long. */
    void closeIdleTooLong() {
        pools.forEach(EngineConnectionPool::closeIdleTooLong);
    }

    /** Closes all pools. */
    void closeAll() {
        List.copyOf(pools).forEach(EngineConnectionPool::close);
    }
}
