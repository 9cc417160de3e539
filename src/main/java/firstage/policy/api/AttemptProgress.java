package firstage.policy.api;

/**
 * A progress report on an attempt that is in flight.
 *
 * @param amount by kind: the fraction done (0 to 1), the MB that are missing, else unused
 */
public record AttemptProgress(
        int requestId, int attemptNumber, int engineId, Kind kind, double amount) {
    /** What is reported. */
    public enum Kind {
        FRACTION_DONE,
        SPILLING,
        WAITING_FOR_MEMORY,
        WAITING_FOR_TABLE_LOAD
    }
}
