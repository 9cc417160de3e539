/**
 * What managers decide together where engines are unhealthy or too few: one probe owner for an
 * engine, one load-shedding threshold. Free of I/O; uses the membership's view and digests. A
 * peer's report makes a manager more careful, or hands it capacity that the peer has released; no
 * rule rests on it. docs/overload.md gives the reasons.
 */
package firstage.overload;
