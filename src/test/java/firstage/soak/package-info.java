/**
 * Randomized fault soak: many real managers, faults that overlap in time, and clients that leave in
 * every state. Each seed replays. Beside the fault tests, whose emulators, plans and rules it uses.
 */
package firstage.soak;
