package firstage.policy.api;

/**
 * A batch just taken. {@code tenant}, {@code orderingKey} and {@code tableGroup} are -1 and the
 * estimates 0 when absent; {@code estimatedWork} is the work of all its threads as time on one.
 * {@code orderUnknown}: whether it came before or after another of its key that was taken can't be
 * told.
 */
public record IncomingRequest(
        int request,
        int trafficClass,
        int tenant,
        int orderingKey,
        long deadline,
        long estimatedWork,
        int estimatedMemoryMb,
        int tableGroup,
        boolean retry,
        boolean orderUnknown) {}
