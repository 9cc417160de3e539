package firstage.policy.api;

/** An engine's load report; a figure it does not tell is NaN. Shares run from 0 to 1. */
public record LoadReport(
        double activeThreads,
        double queuedForMemory,
        double cpuShare,
        double memoryShare,
        double diskShare) {}
