/**
 * Adapter to the users' simulator: translates between the simulator's lines and the scheduling
 * policies of many workload managers. The simulator's terms are mapped here. The package makes no
 * decisions.
 */
package firstage.bench;
