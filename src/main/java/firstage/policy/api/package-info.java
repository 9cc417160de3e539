/**
 * The interface of the decisions: {@link firstage.policy.api.WorkloadManager} is what comes in,
 * {@link firstage.policy.api.Host} carries the effects out, the records are what both speak of.
 * Times are whole tenths of a millisecond; batches, engines and keys are small indices.
 */
package firstage.policy.api;
