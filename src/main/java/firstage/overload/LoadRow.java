package firstage.overload;

/**
 * What one manager reports of itself. {@code managerHash}: of its name; {@code timestamp}: of its
 * own clock ({@link LoadSheddingLevel#timestamp}); {@code arrivalRates}: by priority band, {@code
 * startRate}: seconds of work a second; {@code queuedWork}: seconds of work; {@code zone}: its own;
 * {@code ejectedPercent}: by zone, of its engines or a mark; {@code zoneOrders}: zone, order and
 * time of each ({@link firstage.failover.ZoneFailover}).
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
