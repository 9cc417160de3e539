package firstage.policy.api;

import java.util.List;

/**
 * Configuration of a deployment as known to a workload manager at start. Numbers that are not set
 * are 0, and lists that are not set are empty.
 *
 * @param managers number of managers that share the engines
 * @param rank index of this manager among them, from 0
 * @param tenantRates quota of each tenant in requests per tick, over all managers
 * @param maxGrantShare largest memory grant, as a share of an engine's memory
 * @param progressInterval ticks between progress reports; 0 if engines send none
 * @param subscribesToEndpoints whether the manager has to subscribe to the endpoint list
 * @param crossZoneCosts whether traffic between zones has a cost
 * @param probePrice cost of a probe, as a multiple of the mean priority weight of requests;
 *     negative if engines may not be probed
 * @param probesReportLoad whether the answer to a probe contains a load report
 * @param memoryOvercommitPages whether engines accept grants beyond their memory, in which case
 *     paging slows down all requests there; otherwise such requests wait in the engine's queue
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
    /**
     * Returns the shortest latency objective of all traffic classes, in ticks; 1 if there are none.
     */
    public long shortestLatencyObjective() {
        return trafficClasses.stream().mapToLong(TrafficClass::latencyObjective).min().orElse(1);
    }

    /** Size of an engine. */
    public record MachineType(int cores, double memoryMb) {}

    /**
     * Optional features that the deployment supports, and their limits.
     *
     * @param cancel whether attempts can be cancelled
     * @param hedging whether a request may have several attempts in flight
     * @param retryAfter whether a rejection can state how long the client has to wait
     * @param grants whether engines accept memory grants
     * @param priorities whether engines run requests by priority
     * @param maxAttempts maximum number of attempts of one request
     * @param maxRetryAfter longest wait that a rejection may ask for, in ticks
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
     * Parameters of slow start, key order and the retry budget. Times are in ticks.
     *
     * @param initialCapacityShare share of its capacity that an engine has right after its start; 0
     *     if engines need no warm-up
     * @param warmUpDuration time from the start of an engine to its full capacity
     * @param overloadMultiple multiple of its current capacity that a warming engine can serve in a
     *     window; 0 for no limit
     * @param overloadWindow length of that window
     * @param keyQuietPeriod pause of an ordering key after an attempt that may still run
     * @param retryRatio retries allowed per accepted request; negative for no budget
     * @param retryAllowance retries allowed in addition to the ratio
     * @param retryWindow window over which retries and accepted requests are counted
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
