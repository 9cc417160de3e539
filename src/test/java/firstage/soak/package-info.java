/**
 * Randomized fault soak: many real managers, faults that overlap in time, and clients that leave in
 * every state. Each seed draws the same clients and faults again. The soak uses the emulators,
 * plans and rules of the fault tests.
 */
package firstage.soak;
