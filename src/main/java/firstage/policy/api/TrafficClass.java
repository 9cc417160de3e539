package firstage.policy.api;

import java.util.Set;

/**
 * What a deployment states of one service group. The goal of a batch is {@code goal} plus {@code
 * stretch} times its work over its threads. Empty {@code zones} or {@code kinds} bind it to none.
 */
public record TrafficClass(
        long goal,
        double stretch,
        long timeLimit,
        double utility,
        double lateValue,
        Effect effect,
        Scope scope,
        long window,
        boolean ordered,
        int threads,
        boolean load,
        boolean yieldsToLoads,
        Set<Integer> zones,
        Set<Integer> kinds) {
    public enum Effect {
        REPEATABLE,
        REFERENCED,
        ONCE_ONLY
    }

    /** Where repeats of a referenced batch are dropped. */
    public enum Scope {
        ALL,
        ZONE,
        CELL
    }
}
