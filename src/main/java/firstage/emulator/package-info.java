/**
 * Emulates on loopback what workload managers talk to: engines, coordinator, clients, and the links
 * between them. Scripted and seeded.
 */
package firstage.emulator;
