package firstage.server.engine;

import firstage.server.Counters;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Limit on the open connections to all engines together. Owned by the I/O thread. */
final class ConnectionBudget {
    private final Counters counters;
    private final int limit;
    private int inUse;

    /** Pools with connections, including replaced ones whose attempts are still polled. */
    private final Set<EngineConnectionPool> pools = new HashSet<>();

    ConnectionBudget(Counters counters, int limit) {
        this.counters = counters;
        this.limit = limit;
    }

    boolean isExhausted() {
        return inUse >= limit;
    }

    /**
     * Reserves a connection; at the limit, first closes an idle connection to any engine. Returns
     * false if none could be closed.
     */
    boolean reserve() {
        if (isExhausted() && pools.stream().noneMatch(EngineConnectionPool::closeLongestIdle)) {
            counters.count("engine connections not available");
            return false;
        }
        inUse++;
        counters.recordMax("max engine connections", inUse);
        return true;
    }

    /** Releases the reservation of a connection that was closed or could not be established. */
    void release() {
        inUse--;
        counters.checkInvariant(inUse >= 0, "a connection is released once");
    }

    /** Records that a pool uses a reserved connection. */
    void onConnecting(EngineConnectionPool pool) {
        pools.add(pool);
    }

    /**
     * Checks that the reserved connections are those in use, idle or being established, and that
     * the limit is kept.
     */
    void checkInvariants() {
        int open = pools.stream().mapToInt(EngineConnectionPool::connectionCount).sum();
        counters.checkInvariant(
                open == inUse && inUse <= limit, "connections are in use, idle or coming up");
        pools.removeIf(pool -> pool.connectionCount() == 0);
    }

    /** Closes connections that were idle for too long. */
    void closeExpired() {
        pools.forEach(EngineConnectionPool::closeExpired);
    }

    /** Closes all pools. */
    void closeAll() {
        List.copyOf(pools).forEach(EngineConnectionPool::close);
    }
}
