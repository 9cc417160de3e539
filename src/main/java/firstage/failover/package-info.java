/**
 * Evacuation of a zone that fails, decided by the whole fleet, and {@link
 * firstage.failover.FleetCoordinator}, which runs all that managers decide together. Free of I/O;
 * uses the membership's view and digests. docs/failover.md gives the reasons.
 */
package firstage.failover;
