/**
 * State machines of requests, of clients' calls and of attempts at engines, free of I/O: {@link
 * firstage.lifecycle.ArrivalSequencer} (order of arrival), {@link
 * firstage.lifecycle.ClientCallStateMachine} (a client's held call), {@link
 * firstage.lifecycle.AttemptStateMachine} (an attempt at an engine) and {@link
 * firstage.lifecycle.KeyOrderMonitor} (checks the order). Each is a table of state, event, next
 * state and action. Nothing here knows a socket, a thread or a clock: events come in by calls,
 * actions go out by interfaces that stand here, times are ticks.
 */
package firstage.lifecycle;
