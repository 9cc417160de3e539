/**
 * Fleet-wide decisions: the evacuation of a zone that fails, and {@link
 * firstage.failover.FleetCoordinator}, which runs all decisions that managers take together. The
 * package performs no I/O; it uses the view and the digests of the membership. docs/failover.md
 * gives the reasons.
 */
package firstage.failover;
