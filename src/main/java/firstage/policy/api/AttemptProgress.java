package firstage.policy.api;

/**
 * Progress report of an engine on an attempt in flight.
 *
 * @param amount fraction done (0 to 1) for {@link Kind#FRACTION_DONE}, missing memory in MB for
 *     {@link Kind#SPILLING}; unused for the other kinds
 */
public record AttemptProgress(
        int requestId, int attemptNumber, int engineId, Kind kind, double amount) {
    /** Type of a progress report. */
    public enum Kind {
        FRACTION_DONE,
        SPILLING,
        WAITING_FOR_MEMORY,
        WAITING_FOR_TABLE_LOAD
    }
}
