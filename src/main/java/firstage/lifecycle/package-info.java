/**
 * The lives that the sockets only carry, free of I/O: in which order batches came, what a dispatch
 * does at its engine, what a client's held call does. Each is a table of state, event, next state
 * and effect. Nothing here knows a socket, a thread or a clock: news comes in by calls, effects go
 * out by interfaces that stand here, times are whole tenths of a millisecond.
 */
package firstage.lifecycle;
