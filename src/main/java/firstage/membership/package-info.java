/**
 * Membership of the fleet: which managers are alive, which links work, and which manager holds
 * which quota lease. Performs no I/O: time, randomness and datagrams are passed in, and effects go
 * out through {@link firstage.membership.MembershipActions}. docs/membership.md gives the reasons.
 */
package firstage.membership;
