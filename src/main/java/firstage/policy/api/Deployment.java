package firstage.policy.api;

import java.util.List;

/**
 * What a workload manager is told of its deployment at start; absent figures are 0, lists empty.
 * Customers' rates count batches in a tenth of a millisecond. {@code probePrice} is in shares of a
 * mean batch's utility, below 0 where engines may not be probed. {@code probesTell}: a probe's
 * answer carries a load report. {@code pages}: grants past an engine's memory are let in and slow
 * all there, rather than wait in its line.
 */
public record Deployment(
        long seed,
        int managers,
        int rank,
        int zone,
        List<TrafficClass> groups,
        List<Machine> machines,
        List<Double> customerRates,
        Allowed allowed,
        Rules rules,
        double largestGrant,
        long notePace,
        boolean asksForList,
        boolean crossingCosts,
        double probePrice,
        boolean probesTell,
        boolean pages) {
    /** The shortest response goal of a service group. */
    public long shortestGoal() {
        return groups.stream().mapToLong(TrafficClass::goal).min().orElse(1);
    }

    public record Machine(int cores, double memoryMb) {}

    public record Allowed(
            boolean callOff,
            boolean secondCopies,
            boolean comeBack,
            boolean grants,
            boolean priorities,
            int dispatches,
            long longestComeBack) {}

    /** The cold and further-dispatch figures; a ratio below 0 means no budget is set. */
    public record Rules(
            double coldFrom,
            long warmAfter,
            double tipMultiple,
            long fall,
            long keyRest,
            double furtherRatio,
            double furtherFree,
            long furtherSpan) {}
}
