/**
 * Emulates the environment of workload managers on loopback addresses: engines, coordinators,
 * clients, and the links between them. All behaviour follows a plan and a seed.
 */
package firstage.emulator;
