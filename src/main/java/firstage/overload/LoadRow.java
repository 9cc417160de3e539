package firstage.overload;

/**
 * What one manager tells of itself. {@code managerHash}: a hash; {@code timestamp}: of its own
 * clock, the later is the newer; {@code arrivalRates} by band, {@code startRate}: rates; {@code
 * queuedWork}: seconds of work; {@code runningThreads}: threads; {@code ownZone}: its own; {@code
 * ejectedPercent}: by zone, per cent of its engines that it holds closed; {@code zoneOrders}: what
 * operators want of zones ({@link firstage.failover.ZoneFailover}).
 */
public record LoadRow(
        int managerHash,
        int timestamp,
        double[] arrivalRates,
        double startRate,
        double queuedWork,
        double runningThreads,
        int zone,
        int[] ejectedPercent,
        int[] zoneOrders) {}
