/**
 * Tests the I/O-free modules in virtual time: seeded schedules of faults in engines, connections
 * and the I/O thread, with a rule checker that observes the messages exchanged and not the modules'
 * state; and simulated fleets of managers for membership and cells. {@code serve} does not load
 * this package.
 */
package firstage.simulation.schedule;
