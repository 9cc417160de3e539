/**
 * Interface of the scheduling policy. {@link firstage.policy.api.SchedulingPolicy} receives events,
 * {@link firstage.policy.api.PolicyActions} executes actions, and the records are the arguments of
 * both. Times and durations are in ticks of 0.1 ms ({@link firstage.util.Ticks}).
 */
package firstage.policy.api;
