package firstage.policy.api;

import java.util.List;

/** The list of engines: the whole of it, or what changed. FAILED leaves the earlier list valid. */
public record EndpointUpdate(Kind kind, List<Endpoint> endpoints) {
    public enum Kind {
        SNAPSHOT,
        DELTA,
        INITIAL,
        FAILED
    }

    public enum Lifecycle {
        ACTIVE,
        DRAINING,
        GONE
    }

    /**
     * {@code stableHash} is the same at every manager; {@code startedAt} 0 means started long ago;
     * {@code warmUpShare}: of what it bears while it is cold this manager's part, by what no
     * other's word can change; 0: by the settings, one of all.
     */
    public record Endpoint(
            int engine,
            long stableHash,
            int zone,
            int machineType,
            int cell,
            Lifecycle lifecycle,
            double weight,
            long startedAt,
            double warmUpShare) {
        /** Of a fleet whose managers all use all engines. */
        public Endpoint(
                int engine,
                long mark,
                int zone,
                int kind,
                int cell,
                Lifecycle standing,
                double weight,
                long since) {
            this(engine, mark, zone, kind, cell, standing, weight, since, 0);
        }
    }
}
