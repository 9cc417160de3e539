/**
 * Simulation of a fleet in virtual time: clients, managers that run the real scheduling policy,
 * engines, faults, and the score of the service. Uses no sockets, files, threads or clocks: the
 * same plan and seed give the same result, byte by byte. {@code serve} loads no class of this
 * package.
 */
package firstage.simulation;
