package firstage.lifecycle;

import java.util.HashMap;
import java.util.Map;

/**
 * Determines the order in which requests with the same ordering key arrived, as far as it can be
 * known. A request arrives when its last byte reaches this machine, not when that byte is read. A
 * request with a key is held back until a read barrier is passed, that is, until everything that
 * had arrived when the request was read has been read, too. Another request of the key that is read
 * in the meantime may have arrived before or after the first one. It is delivered at once, ahead of
 * the first one, and marked as of unknown order, so that at most one of the two ever runs.
 *
 * <table>
 * <caption>State of a key, event, next state, action</caption>
 * <tr><td>clear</td><td>a request is read</td><td>waiting</td><td>request a read barrier</td></tr>
 * <tr><td>waiting</td><td>another request is read</td><td>waiting</td>
 *     <td>deliver it with unknown order</td></tr>
 * <tr><td>waiting</td><td>the barrier is passed</td><td>clear</td>
 *     <td>deliver the first request with known order</td></tr>
 * </table>
 *
 * <p>Invariant: each request is delivered once. All calls come on one thread.
 *
 * @param <R> the type of a request
 */
public final class ArrivalSequencer<R> {
    /**
     * Actions of the sequencer.
     *
     * @param <R> the type of a request
     */
    public interface ArrivalActions<R> {
        /**
         * Requests that {@link ArrivalSequencer#onReadBarrierPassed} is called once everything that
         * has arrived until now is read.
         */
        void requestReadBarrier(Object key);

        /**
         * Delivers a request to the scheduler.
         *
         * @param orderKnown whether the order of arrival is known; if not, the request must not run
         */
        void deliver(R request, boolean orderKnown);
    }

    private final ArrivalActions<R> actions;
    private final Map<Object, R> firstByKey = new HashMap<>();

    public ArrivalSequencer(ArrivalActions<R> actions) {
        this.actions = actions;
    }

    /**
     * Handles a request that was read completely.
     *
     * @param key the ordering key; null if the request has none
     */
    public void onRequestRead(R request, Object key) {
        if (key == null) {
            actions.deliver(request, true);
        } else if (firstByKey.putIfAbsent(key, request) == null) {
            actions.requestReadBarrier(key);
        } else {
            actions.deliver(request, false);
        }
    }

    /** Delivers the request that waited for this key's read barrier, which has been passed. */
    public void onReadBarrierPassed(Object key) {
        R first = firstByKey.remove(key);
        if (first != null) {
            actions.deliver(first, true);
        }
    }

    /** Returns the number of requests that were read and are not delivered yet. */
    public int undeliveredCount() {
        return firstByKey.size();
    }
}
