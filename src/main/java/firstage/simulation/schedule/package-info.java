/**
 * Plays the I/O-free modules in virtual time: hostile schedules of engines, connections and a
 * thread that stands still, and a checker that reads what crosses, not what the modules remember.
 * {@code serve} loads none of it.
 */
package firstage.simulation.schedule;
