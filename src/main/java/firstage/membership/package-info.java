/**
 * Membership of the fleet: which managers are alive, which links work, who holds which quota lease.
 * Free of I/O: time, randomness and datagrams come in by calls, effects go out by {@link
 * firstage.membership.MembershipActions}. docs/membership.md gives the reasons.
 */
package firstage.membership;
