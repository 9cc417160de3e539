/**
 * The interface of the decisions: {@link firstage.door.WorkloadManager} is what comes in, {@link
 * firstage.door.Host} carries the effects out, the records are what both speak of. Times are whole
 * tenths of a millisecond; batches, engines and keys are small indices.
 */
package firstage.door;
