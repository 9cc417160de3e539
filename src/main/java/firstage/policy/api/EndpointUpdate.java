package firstage.policy.api;

import java.util.List;

/** The list of engines: the whole of it, or what changed. FAILED leaves the earlier list valid. */
public record EndpointUpdate(Kind kind, List<Entry> entries) {
    public enum Kind {
        WHOLE,
        CHANGES,
        REMEMBERED,
        FAILED
    }

    public enum Standing {
        ACTIVE,
        LEAVING,
        LEFT
    }

    /**
     * {@code mark} is the same at every manager; {@code since} 0 means started long ago; {@code
     * coldPart}: of what it bears while it is cold this manager's part, by what no other's word can
     * change; 0: by the settings, one of all.
     */
    public record Entry(
            int engine,
            long mark,
            int zone,
            int kind,
            int cell,
            Standing standing,
            double weight,
            long since,
            double coldPart) {
        /** Of a fleet whose managers all use all engines. */
        public Entry(
                int engine,
                long mark,
                int zone,
                int kind,
                int cell,
                Standing standing,
                double weight,
                long since) {
            this(engine, mark, zone, kind, cell, standing, weight, since, 0);
        }
    }
}
