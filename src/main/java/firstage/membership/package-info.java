/**
 * Managers that know each other: who is here, which ways bear, who holds which part of an engine.
 * Free of I/O: time, chance and datagrams come in by calls, effects go out by {@link
 * firstage.membership.MembershipProtocol.Carrier}. docs/membership.md says why.
 */
package firstage.membership;
