/**
 * What the rules of {@link firstage.policy} remember: plain state that decides nothing and holds no
 * tuned value. Times are in ticks ({@link firstage.util.Ticks}), work in ticks on one thread.
 */
package firstage.policy.state;
