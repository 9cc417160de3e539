package firstage.policy.api;

import java.util.List;

/** The endpoint list: all of it, or what changed; FAILED leaves the earlier list valid. */
public record EndpointUpdate(Kind kind, List<Endpoint> endpoints) {
    /** What an update holds. */
    public enum Kind {
        SNAPSHOT,
        DELTA,
        INITIAL,
        FAILED
    }

    /** Whether an engine takes new requests, only ends its own, or has left. */
    public enum Lifecycle {
        ACTIVE,
        DRAINING,
        GONE
    }

    /**
     * One engine.
     *
     * @param stableHash the same at every manager
     * @param cell the idempotency cell that it stands in
     * @param startedAt in ticks; 0 for long ago
     * @param warmUpShare this manager's share of what the engine bears while it warms up, where no
     *     other manager can change it; 0: one of all managers
     */
    public record Endpoint(
            int engineId,
            long stableHash,
            int zone,
            int machineType,
            int cell,
            Lifecycle lifecycle,
            double weight,
            long startedAt,
            double warmUpShare) {
        /** An engine of a fleet whose managers all use all engines. */
        public Endpoint(
                int engineId,
                long stableHash,
                int zone,
                int machineType,
                int cell,
                Lifecycle lifecycle,
                double weight,
                long startedAt) {
            this(engineId, stableHash, zone, machineType, cell, lifecycle, weight, startedAt, 0);
        }
    }
}
