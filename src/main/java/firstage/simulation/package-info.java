/**
 * A fleet in virtual time: clients, managers round the real decisions, engines, faults, and what it
 * is all worth. Free of sockets, files, threads and clocks; the same file and seed give the same
 * bytes. {@code serve} loads none of it.
 */
package firstage.simulation;
