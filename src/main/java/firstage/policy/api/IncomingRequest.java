package firstage.policy.api;

/**
 * A request that was just accepted.
 *
 * @param trafficClass index in {@link Deployment#trafficClasses}
 * @param tenant index in {@link Deployment#tenantRates}; -1 for none
 * @param orderingKey -1 for none
 * @param deadline when its client gives up, in ticks
 * @param estimatedWork work of all its threads, in ticks on one; 0 where not known
 * @param estimatedMemoryMb 0 where not known
 * @param tableGroup the tables that it reads or loads; -1 for none
 * @param retry whether its client sent it before
 * @param orderUnknown whether its place among accepted requests of its key is unknown
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
