package firstage.policy.api;

/**
 * A batch just taken. {@code customer}, {@code key} and {@code tables} are -1 and the estimates 0
 * when absent; {@code estimate} is the work of all its threads as time on one. {@code turnUnknown}:
 * whether it came before or after another of its key that was taken can't be told.
 */
public record IncomingRequest(
        int batch,
        int group,
        int customer,
        int key,
        long notAfter,
        long estimate,
        int memoryMb,
        int tables,
        boolean retry,
        boolean turnUnknown) {}
