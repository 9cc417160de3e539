/**
 * Scheduling policy of one workload manager. {@link firstage.policy.WorkloadScheduler} receives
 * events and calls the other classes in a fixed order; each of them implements one part of the
 * policy. Such a class gets its inputs as arguments, changes only its own state and its own fields
 * of {@link firstage.policy.state}, and does no I/O. Times are in ticks ({@link
 * firstage.util.Ticks}), memory is in MB.
 *
 * <p>Numbered rules are the guarantees that the policy gives: a retry never runs a non-idempotent
 * request twice (rule 2), no request goes to a draining engine (rule 3), a warming engine is not
 * overloaded (rule 4), requests of one ordering key run in order (rule 5), requests run only in the
 * zones and on the machine types that their class allows (rule 6), and retries stay within a budget
 * (rule 7). Rule 1, an answer in time for every request, concerns the program as a whole.
 */
package firstage.policy;
