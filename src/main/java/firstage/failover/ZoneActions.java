package firstage.failover;

/** Actions that {@link ZoneFailover} requests. Implementations do not call back into it. */
public interface ZoneActions {
    /**
     * Sets whether this manager avoids an engine.
     *
     * @param backoffOver whether the engine may be probed now, without waiting for its backoff
     */
    void setAvoided(long engine, boolean avoided, boolean backoffOver);

    /**
     * Logs the new state of a zone.
     *
     * @param state {@code in-use}, {@code evacuated} or {@code returning}
     */
    default void logZoneState(int zone, String state) {}
}
