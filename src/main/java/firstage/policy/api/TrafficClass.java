package firstage.policy.api;

import java.util.Set;

/**
 * What a deployment states of one service group. The goal of a batch is {@code latencyObjective}
 * plus {@code latencyObjectivePerWork} times its work over its threads. Empty {@code zones} or
 * {@code machineTypes} bind it to none.
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
    public enum Effect {
        IDEMPOTENT,
        IDEMPOTENT_WITH_KEY,
        NON_IDEMPOTENT
    }

    /** Where repeats of a referenced batch are dropped. */
    public enum Scope {
        ALL,
        ZONE,
        CELL
    }
}
