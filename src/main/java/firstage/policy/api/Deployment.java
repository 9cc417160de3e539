package firstage.policy.api;

import java.util.List;

/**
 * What a workload manager is told of its deployment at start; absent figures are 0, lists empty.
 * Customers' rates count batches in a tenth of a millisecond. {@code probePrice} is in shares of a
 * mean batch's utility, below 0 where engines may not be probed. {@code probesReportLoad}: a
 * probe's answer carries a load report. {@code memoryOvercommitPages}: grants past an engine's
 * memory are let in and slow all there, rather than wait in its line.
 */
public record Deployment(
        long seed,
        int managers,
        int rank,
        int zone,
        List<TrafficClass> trafficClasses,
        List<MachineType> machineTypes,
        List<Double> tenantRates,
        Capabilities capabilities,
        Rules rules,
        double maxGrantShare,
        long progressInterval,
        boolean subscribesToEndpoints,
        boolean crossZoneCosts,
        double probePrice,
        boolean probesReportLoad,
        boolean memoryOvercommitPages) {
    /** The shortest response goal of a service group. */
    public long shortestLatencyObjective() {
        return trafficClasses.stream().mapToLong(TrafficClass::latencyObjective).min().orElse(1);
    }

    public record MachineType(int cores, double memoryMb) {}

    public record Capabilities(
            boolean cancel,
            boolean hedging,
            boolean retryAfter,
            boolean grants,
            boolean priorities,
            int maxAttempts,
            long maxRetryAfter) {}

    /** The cold and further-dispatch figures; a ratio below 0 means no budget is set. */
    public record Rules(
            double initialCapacityShare,
            long warmUpDuration,
            double overloadMultiple,
            long overloadWindow,
            long keyQuietPeriod,
            double retryRatio,
            double retryAllowance,
            long retryWindow) {}
}
