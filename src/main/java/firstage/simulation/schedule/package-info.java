/**
 * Runs the I/O-free modules in virtual time: seeded schedules of faults in engines, connections and
 * the I/O thread, and a rule checker that observes the messages exchanged, not the modules' state.
 * {@code serve} loads none of it.
 */
package firstage.simulation.schedule;
