package firstage.overload;

/**
 * Load of one manager, as it reports it to the others.
 *
 * @param managerHash hash of the manager's name
 * @param timestamp time by the manager's own clock ({@link LoadSheddingLevel#timestamp})
 * @param arrivalRates work that arrives in each priority band, in seconds of work a second
 * @param startRate work that the manager starts, in seconds of work a second
 * @param queuedWork work in the manager's queue, in seconds of work
 * @param runningThreads number of engine threads that the manager uses
 * @param zone index of the manager's own zone
 * @param ejectedPercent by zone, the percentage of engines that are ejected, or a special value
 *     such as {@link firstage.failover.ZoneFailover#UNKNOWN}
 * @param zoneOrders three values for each operator's order: zone, order and time
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
