package firstage.failover;

/** What zone failover decides; none of it calls back. */
public interface ZoneActions {
    /** Whether this manager avoids an engine; where {@code backoffOver}, it is to be probed now. */
    void setAvoided(long engine, boolean avoided, boolean backoffOver);

    /** A zone changed its state: in-use, evacuated or returning. */
    default void logZoneState(int zone, String state) {}
}
