package firstage.door;

import java.util.List;

/** The list of engines: the whole of it, or what changed. FAILED leaves the earlier list valid. */
public record EngineList(Kind kind, List<Entry> entries) {
    public enum Kind { WHOLE, CHANGES, REMEMBERED, FAILED }

    public enum Standing { ACTIVE, LEAVING, LEFT }

    /** {@code mark} is the same at every manager; {@code since} 0 means started long ago. */
    public record Entry(int engine, long mark, int zone, int kind, int cell, Standing standing,
                        double weight, long since) {
    }
}
