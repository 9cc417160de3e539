package firstage.cells;

/**
 * Actions that a {@link CellDirectory} requests. Implementations do not call back into it before
 * they return.
 */
public interface CellActions {
    /** Sends a datagram to the manager at this slot of that cell. */
    void send(int cell, int slot, byte[] datagram);

    /**
     * Reports that engines which could not be used may be usable now; {@link CellDirectory#mayUse}
     * returns whether a given engine is.
     */
    void onEnginesReleased(long now);

    /** Logs an event of a cell and its reason. */
    void logCellEvent(long now, String event, String cell, String reason);

    /** Returns this manager's load-shedding threshold: a priority band, 0 for none. */
    int sheddingThreshold();
}
