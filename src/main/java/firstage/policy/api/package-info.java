/**
 * The interface of the decisions: {@link firstage.policy.api.SchedulingPolicy} receives events,
 * {@link firstage.policy.api.PolicyActions} carries out actions, the records are what both speak
 * of. Times and durations are in ticks of a tenth of a millisecond ({@link firstage.util.Ticks}).
 */
package firstage.policy.api;
