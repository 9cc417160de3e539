/**
 * Leaving a zone that fails as a fleet, and all that managers work out together in one piece: free
 * of I/O, on the membership's view and digests. docs/failover.md says why.
 */
package firstage.failover;
