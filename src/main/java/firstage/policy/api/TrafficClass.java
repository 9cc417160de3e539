package firstage.policy.api;

import java.util.Set;

/**
 * Configuration of a traffic class. Times are in ticks.
 *
 * @param latencyObjective fixed part of the time within which a request is to be answered
 * @param latencyObjectivePerWork additional time per tick of expected work on each thread
 * @param timeout time from acceptance to the deadline
 * @param priorityWeight value of a request that is answered within the objective
 * @param lateValueShare share of that value that is left for an answer after the objective, but
 *     before the deadline
 * @param effect effect of running a request more than once
 * @param idempotencyScope engines that recognise a repetition of an idempotency key
 * @param idempotencyWindow time after the first attempt during which repetitions are dropped
 * @param ordered whether requests of one ordering key run one after another
 * @param threads number of threads that a request uses at its engine
 * @param tableLoad whether requests load tables
 * @param blockedByTableLoads whether requests wait while their tables are loaded
 * @param zones zones in which requests may run; empty for all
 * @param machineTypes machine types on which requests may run; empty for all
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
    /** Effect of running a request more than once. */
    public enum Effect {
        IDEMPOTENT,
        IDEMPOTENT_WITH_KEY,
        NON_IDEMPOTENT
    }

    /** Set of engines within which repetitions of an idempotency key are dropped. */
    public enum Scope {
        ALL,
        ZONE,
        CELL
    }
}
