package firstage.policy.api;

/** Word on a dispatch that is still out. */
public record AttemptProgress(int request, int attempt, int engine, Kind kind, double amount) {
    /** DONE: share done; SPILLS: MB missing; the waits carry no amount. */
    public enum Kind {
        FRACTION_DONE,
        SPILLING,
        WAITING_FOR_MEMORY,
        WAITING_FOR_TABLE_LOAD
    }
}
