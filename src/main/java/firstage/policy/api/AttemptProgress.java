package firstage.policy.api;

/** Word on a dispatch that is still out. */
public record AttemptProgress(int batch, int dispatch, int engine, Kind kind, double amount) {
    /** DONE: share done; SPILLS: MB missing; the waits carry no amount. */
    public enum Kind {
        DONE,
        SPILLS,
        WAITS_FOR_MEMORY,
        WAITS_FOR_LOAD
    }
}
