package firstage.failover;

/** What is decided; none of it calls back. */
public interface ZoneActions {
    /**
     * Whether this manager keeps away from an engine; where {@code restIsOver}, it is to be tried
     * now.
     */
    void setAvoided(long engine, boolean avoided, boolean backoffOver);

    /** A zone is left, or used again: for the log of who keeps one. */
    default void logZoneState(int zone, String state) {}
}
