/**
 * State machines and monitors of requests, of clients' calls and of attempts at engines, without
 * I/O.
 *
 * <ul>
 *   <li>{@link firstage.lifecycle.ArrivalSequencer}: the order in which requests arrived
 *   <li>{@link firstage.lifecycle.ClientCallStateMachine}: the held calls of a client
 *   <li>{@link firstage.lifecycle.AttemptStateMachine}: an attempt at an engine
 *   <li>{@link firstage.lifecycle.PauseDetector}: pauses of the I/O thread
 *   <li>{@link firstage.lifecycle.SendGuard}: the check before a statement is written
 *   <li>{@link firstage.lifecycle.KeyOrderMonitor} and {@link firstage.lifecycle.DepartureMonitor}:
 *       independent checks of the order of requests and of statements sent for clients that left
 * </ul>
 *
 * <p>No class here uses a socket, a thread or a clock: events come in as method calls, actions go
 * out through interfaces of this package, and times are ticks.
 */
package firstage.lifecycle;
