package firstage.cells;

/** Carries the effects out; none of them calls back before it returns. */
public interface CellActions {
    /** To the manager at this place of that cell. */
    void send(int cell, int slot, byte[] datagram);

    /** Engines that could not be used may be now; {@link CellDirectory#mayUse} says which. */
    void enginesReleased(long now);

    /** A line for the log: what, of which cell, and why. */
    void logCellEvent(long now, String event, String cell, String reason);

    /** What this manager sheds: the level's band, 0 for nothing. */
    int sheddingThreshold();
}
