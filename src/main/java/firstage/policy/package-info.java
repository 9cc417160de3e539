/**
 * The decisions of one workload manager: {@link firstage.policy.WorkloadScheduler} receives events
 * and orders the steps, each other class is one rule. A rule is handed its inputs, changes only its
 * own state and its own fields of {@link firstage.policy.state}, and does no I/O. Times are in
 * ticks ({@link firstage.util.Ticks}), memory in MB.
 */
package firstage.policy;
