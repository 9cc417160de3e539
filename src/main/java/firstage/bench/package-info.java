/**
 * The adapter to the users' simulator: its lines on one side, many workload managers on the other.
 * The simulator's words are mapped here. No decisions.
 */
package firstage.bench;
