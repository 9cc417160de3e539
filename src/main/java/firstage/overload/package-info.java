/**
 * Decisions that managers coordinate when engines are unhealthy or overloaded: one probe owner for
 * each engine and one load-shedding threshold. Performs no I/O; uses the view and the digests of
 * the membership. A report of a peer only makes a manager more cautious, or gives it capacity that
 * the peer has released; no invariant depends on such a report. docs/overload.md gives the reasons.
 */
package firstage.overload;
