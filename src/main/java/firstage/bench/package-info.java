/**
 * The bench adapter: the wire's lines on one side, many workload managers on the other. No
 * decisions.
 */
package firstage.bench;
