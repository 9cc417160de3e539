/**
 * State of the scheduling policy in {@link firstage.policy}. The classes here make no decisions and
 * contain no tuning parameters. Times are in ticks ({@link firstage.util.Ticks}), work is in ticks
 * on one thread.
 */
package firstage.policy.state;
