package firstage.cells;

/** What a cell directory wants done; none of it calls back before it returns. */
public interface CellActions {
    /** To the manager at this slot of that cell. */
    void send(int cell, int slot, byte[] datagram);

    /** Engines that could not be used may be now; {@link CellDirectory#mayUse} says which. */
    void enginesReleased(long now);

    /** A line for the log: the event, the cell and the reason. */
    void logCellEvent(long now, String event, String cell, String reason);

    /** This manager's load-shedding threshold: a priority band, 0 for none. */
    int sheddingThreshold();
}
