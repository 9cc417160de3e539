package firstage.policy.api;

/**
 * A request that was just accepted from a client.
 *
 * @param trafficClass index in {@link Deployment#trafficClasses}
 * @param tenant index in {@link Deployment#tenantRates}; -1 for none
 * @param orderingKey id of the ordering key; -1 for none
 * @param deadline time at which the client gives up, in ticks
 * @param estimatedWork estimated work of all threads together, in ticks on one thread; 0 if unknown
 * @param estimatedMemoryMb estimated memory; 0 if unknown
 * @param tableGroup group of tables that the request reads or loads; -1 for none
 * @param retry whether the client sent this request before
 * @param orderUnknown whether the position of the request among the accepted requests of its key is
 *     unknown
 */
public record IncomingRequest(
        int requestId,
        int trafficClass,
        int tenant,
        int orderingKey,
        long deadline,
        long estimatedWork,
        int estimatedMemoryMb,
        int tableGroup,
        boolean retry,
        boolean orderUnknown) {}
