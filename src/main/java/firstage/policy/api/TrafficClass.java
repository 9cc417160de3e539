package firstage.policy.api;

import java.util.Set;

/**
 * What a deployment states of one traffic class. Times are in ticks.
 *
 * @param latencyObjective a request is to be answered within it ...
 * @param latencyObjectivePerWork ... and this many times its work over its threads
 * @param timeout from acceptance to the deadline
 * @param priorityWeight the value of a request that is answered within the objective
 * @param lateValueShare the share of it for an answer after the objective, before the deadline
 * @param idempotencyWindow for how long repetitions are dropped, from the first attempt
 * @param ordered whether requests of one ordering key run one after another
 * @param threads that a request uses at its engine
 * @param tableLoad whether requests load tables
 * @param blockedByTableLoads whether requests wait while their tables are loaded
 * @param zones where requests may run; empty for everywhere
 * @param machineTypes on which requests may run; empty for all
 */
public record TrafficClass(
        long latencyObjective,
        double latencyObjectivePerWork,
        long timeout,
        double priorityWeight,
        double lateValueShare,
        Effect effect,
        Scope idempotencyScope,
        long idempotencyWindow,
        boolean ordered,
        int threads,
        boolean tableLoad,
        boolean blockedByTableLoads,
        Set<Integer> zones,
        Set<Integer> machineTypes) {
    /** Whether a repetition does harm. */
    public enum Effect {
        IDEMPOTENT,
        IDEMPOTENT_WITH_KEY,
        NON_IDEMPOTENT
    }

    /** Where repetitions of an idempotency key are dropped. */
    public enum Scope {
        ALL,
        ZONE,
        CELL
    }
}
