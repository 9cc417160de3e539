package firstage.policy.api;

/**
 * Load that an engine reports. Figures that the engine does not report are NaN; shares range from 0
 * to 1.
 *
 * @param queuedForMemory number of requests that wait for memory
 */
public record LoadReport(
        double activeThreads,
        double queuedForMemory,
        double cpuShare,
        double memoryShare,
        double diskShare) {}
