package firstage.policy.api;

import java.util.List;

/**
 * Update of the endpoint list.
 *
 * @param endpoints engines of the update; empty for FAILED
 */
public record EndpointUpdate(Kind kind, List<Endpoint> endpoints) {
    /** Type of an update. */
    public enum Kind {
        /** The complete list. */
        SNAPSHOT,
        /** The changed endpoints only. */
        DELTA,
        /** The complete list as known at start, before the first snapshot. */
        INITIAL,
        /** The subscription failed; the previous list stays valid. */
        FAILED
    }

    /** Lifecycle of an engine. */
    public enum Lifecycle {
        /** Accepts new requests. */
        ACTIVE,
        /** Finishes its current requests and accepts no new ones. */
        DRAINING,
        /** Has left the endpoint list. */
        GONE
    }

    /**
     * An engine of the endpoint list.
     *
     * @param stableHash hash of the engine that is the same at every manager
     * @param cell idempotency cell of the engine
     * @param startedAt start of the engine, in ticks; 0 if long ago
     * @param warmUpShare this manager's share of the engine's capacity while the engine warms up,
     *     if it is fixed and no other manager can change it; 0 for an equal share of all managers
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
        /** Creates an endpoint for a fleet in which every manager uses every engine. */
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
