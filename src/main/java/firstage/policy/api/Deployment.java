package firstage.policy.api;

import java.util.List;

/**
 * What a workload manager knows of its deployment at start; absent figures are 0, lists empty.
 *
 * @param rank this manager's number, from 0
 * @param tenantRates requests a tick, over all managers
 * @param maxGrantShare the largest memory grant, as a share of an engine's memory
 * @param progressInterval ticks between progress reports; 0 where engines send none
 * @param crossZoneCosts whether traffic between zones costs
 * @param probePrice in shares of a mean request's priority weight; below 0 where engines may not be
 *     probed
 * @param probesReportLoad whether the answer to a probe carries a load report
 * @param memoryOvercommitPages whether grants beyond an engine's memory are accepted and slow down
 *     all requests there, rather than wait in its queue
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
    /** The shortest latency objective of a traffic class, in ticks; 1 without classes. */
    public long shortestLatencyObjective() {
        return trafficClasses.stream().mapToLong(TrafficClass::latencyObjective).min().orElse(1);
    }

    /** The size of an engine. */
    public record MachineType(int cores, double memoryMb) {}

    /**
     * What the deployment allows.
     *
     * @param maxAttempts of one request
     * @param maxRetryAfter in ticks
     */
    public record Capabilities(
            boolean cancel,
            boolean hedging,
            boolean retryAfter,
            boolean grants,
            boolean priorities,
            int maxAttempts,
            long maxRetryAfter) {}

    /**
     * The figures of warm-up, key order and retry budget. Times are in ticks.
     *
     * @param initialCapacityShare of an engine that has just started; 0: no warm-up
     * @param overloadMultiple times its capacity that a warming engine bears in a window; 0: any
     * @param overloadWindow over which that is counted
     * @param keyQuietPeriod a key's pause after an attempt that may still run
     * @param retryRatio retries for each accepted request; below 0: no budget is set
     * @param retryAllowance retries allowed beside the ratio
     * @param retryWindow over which retries are counted
     */
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
