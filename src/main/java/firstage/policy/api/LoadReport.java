package firstage.policy.api;

/**
 * An engine's load; a figure that it does not report is not a number. Shares run from 0 to 1.
 *
 * @param queuedForMemory requests that wait for memory
 */
public record LoadReport(
        double activeThreads,
        double queuedForMemory,
        double cpuShare,
        double memoryShare,
        double diskShare) {}
