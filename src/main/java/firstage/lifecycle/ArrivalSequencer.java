package firstage.lifecycle;

import java.util.HashMap;
import java.util.Map;

/**
 * Finds in which order requests with the same ordering key arrived, as far as that can be known:
 * what counts is when the last byte reached this machine, not when it is read. A request with a key
 * is delivered only when all that had arrived before it was read has been read, too. Another of its
 * key that turns up meanwhile may have arrived before or after it: it is delivered at once, ahead
 * of the first, with its order unknown, so that at most one of them ever runs.
 *
 * <table>
 * <caption>State of a key, event, next state, action</caption>
 * <tr><td>clear</td><td>a request was read</td><td>waiting</td><td>request a read barrier</td></tr>
 * <tr><td>waiting</td><td>another was read</td><td>waiting</td>
 *     <td>deliver it, order unknown</td></tr>
 * <tr><td>waiting</td><td>the barrier was passed</td><td>clear</td>
 *     <td>deliver the first, order known</td></tr>
 * </table>
 *
 * <p>Invariant: each request is delivered once. Calls come on one thread.
 *
 * @param <R> a request
 */
public final class ArrivalSequencer<R> {
    /** What the sequencer causes. */
    public interface ArrivalActions<R> {
        /**
         * {@link ArrivalSequencer#onReadBarrierPassed} is to be called once all that has arrived
         * until now is read.
         */
        void requestReadBarrier(Object key);

        /** The request goes to the scheduler; where its order is unknown it must not run. */
        void deliver(R request, boolean orderKnown);
    }

    private final ArrivalActions<R> actions;
    private final Map<Object, R> firstByKey = new HashMap<>();

    public ArrivalSequencer(ArrivalActions<R> actions) {
        this.actions = actions;
    }

    /** A request was read whole; {@code key} is null without an ordering key. */
    public void onRequestRead(R request, Object key) {
        if (key == null) {
            actions.deliver(request, true);
        } else if (firstByKey.putIfAbsent(key, request) == null) {
            actions.requestReadBarrier(key);
        } else {
            actions.deliver(request, false);
        }
    }

    /** All that had arrived when the barrier was requested has been read. */
    public void onReadBarrierPassed(Object key) {
        R first = firstByKey.remove(key);
        if (first != null) {
            actions.deliver(first, true);
        }
    }

    /** Requests that were read and not delivered yet. */
    public int undelivered() {
        return firstByKey.size();
    }
}
