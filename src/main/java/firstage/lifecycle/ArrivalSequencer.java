package firstage.lifecycle;

import java.util.HashMap;
import java.util.Map;

/**
 * In which order batches of one key came, as far as it can be known (rule 5 counts from the last
 * byte at this machine, not from when it is read). A batch with a key is told to the decisions only
 * when all that had come before it was read has been read, too. Another of its key that turns up
 * meanwhile may have come before or after it: its turn can't be told, and it is told as such, ahead
 * of the first, so that at most one of them ever runs.
 *
 * <table>
 * <caption>State of a key, event, next state, effect</caption>
 * <tr><td>clear</td><td>a batch came</td><td>unsettled</td><td>ask for a barrier</td></tr>
 * <tr><td>unsettled</td><td>another came</td><td>unsettled</td><td>tell it, turn unknown</td></tr>
 * <tr><td>unsettled</td><td>the barrier was passed</td><td>clear</td>
 *     <td>tell the first, turn known</td></tr>
 * </table>
 */
public final class ArrivalSequencer<B> {
    /** Carries the effects out. */
    public interface ArrivalActions<B> {
        /**
         * To be answered by {@link ArrivalSequencer#onReadBarrierPassed} once all that has come
         * until now is read and told.
         */
        void requestReadBarrier(Object key);

        /** The batch is taken; where its turn is unknown it must not run. */
        void deliver(B request, boolean orderKnown);
    }

    private final ArrivalActions<B> actions;
    private final Map<Object, B> firstByKey = new HashMap<>();

    public ArrivalSequencer(ArrivalActions<B> actions) {
        this.actions = actions;
    }

    /** A batch was read whole; {@code key} null where nobody waits for its turn. */
    public void onRequestRead(B request, Object key) {
        if (key == null) {
            actions.deliver(request, true);
        } else if (firstByKey.putIfAbsent(key, request) == null) {
            actions.requestReadBarrier(key);
        } else {
            actions.deliver(request, false);
        }
    }

    /** All that had come when the barrier was asked for has been told. */
    public void onReadBarrierPassed(Object key) {
        B first = firstByKey.remove(key);
        if (first != null) {
            actions.deliver(first, true);
        }
    }

    /** Batches that were read and not told yet. */
    public int undelivered() {
        return firstByKey.size();
    }
}
