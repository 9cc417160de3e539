/**
 * Stand-ins of what workload managers talk to, on loopback: engines, coordinator, clients, and the
 * ways between.
 */
package firstage.emulator;
