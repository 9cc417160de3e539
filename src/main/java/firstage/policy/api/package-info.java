/**
 * The interface of the decisions: {@link firstage.policy.api.SchedulingPolicy} is what comes in,
 * {@link firstage.policy.api.PolicyActions} carries the effects out, the records are what both
 * speak of. Times are whole tenths of a millisecond; batches, engines and keys are small indices.
 */
package firstage.policy.api;
