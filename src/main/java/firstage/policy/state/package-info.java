/**
 * What one workload manager remembers. Plain state: it decides nothing and holds no tuned value.
 */
package firstage.policy.state;
