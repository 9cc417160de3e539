package firstage.policy;

import firstage.policy.api.PolicyActions;
import firstage.policy.state.KeyQueue;
import firstage.policy.state.RequestState;
import firstage.util.Ticks;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Keeps the order of requests within an ordering key (rule 5). Requests of a key start one after
 * another, in their order of arrival. The key pauses after an attempt that may still run.
 */
final class KeyOrdering {
    /**
     * Pause of a key after a request of unknown order, in which the rejection reaches the client.
     */
    private static final long PAUSE_AFTER_UNKNOWN_ORDER = Ticks.ofMillis(50);

    private final Map<Integer, KeyQueue> queues = new HashMap<>();
    private final long quietPeriod;

    /**
     * Creates an order without keys.
     *
     * @param quietPeriod pause of a key after an attempt that may still run, in ticks
     */
    KeyOrdering(long quietPeriod) {
        this.quietPeriod = quietPeriod;
    }

    /**
     * Queues a request of an ordered traffic class behind the others of its key, or pauses the key
     * if the request's position in it is unknown. Releases a key that the traffic class does not
     * use.
     */
    void onRequest(long now, RequestState request, PolicyActions actions) {
        int key = request.incoming.orderingKey();
        if (isOrderUnknown(request)) {
            KeyQueue queue = queues.computeIfAbsent(request.orderingKey, k -> new KeyQueue());
            queue.quietUntil = Math.max(queue.quietUntil, now + PAUSE_AFTER_UNKNOWN_ORDER);
        } else if (request.orderingKey >= 0) {
            queues.computeIfAbsent(request.orderingKey, k -> new KeyQueue())
                    .openRequests
                    .add(request);
        } else if (key >= 0 && !queues.containsKey(key)) {
            actions.releaseKey(key);
        }
    }

    /** Returns whether the request must be rejected, as its position within its key is unknown. */
    boolean isOrderUnknown(RequestState request) {
        return request.orderingKey >= 0 && request.incoming.orderUnknown();
    }

    /** Returns whether the order within the request's key permits the request to start now. */
    boolean isNext(long now, RequestState request) {
        KeyQueue queue = queues.get(request.orderingKey);
        return queue == null
                || queue.openRequests.peek() == request
                        && (request.attemptsStarted > 0 || now >= queue.quietUntil);
    }

    /**
     * Pauses the key after an attempt that has ended for the client but may still run.
     *
     * @param mayStillRun whether the engine may still run the attempt
     * @param mayStillRunFor upper bound, in ticks, on how long the engine may still run it; 0 if it
     *     has ended or the quiet period covers it
     */
    void onAttemptEnded(long now, RequestState request, boolean mayStillRun, long mayStillRunFor) {
        KeyQueue queue = queues.get(request.orderingKey);
        if (queue != null) {
            long pause = Math.max(mayStillRunFor, mayStillRun ? quietPeriod : 0);
            queue.quietUntil = Math.max(queue.quietUntil, now + pause);
        }
    }

    /** Removes a request that has ended, so that the next one of its key may start. */
    void remove(RequestState request) {
        KeyQueue queue = queues.get(request.orderingKey);
        if (queue != null) {
            queue.openRequests.remove(request);
        }
    }

    /** Removes and releases the keys that have no open request and whose pause is over. */
    void releaseIdle(long now, PolicyActions actions) {
        List<Integer> idle =
                queues.keySet().stream().filter(key -> queues.get(key).isIdle(now)).toList();
        idle.forEach(queues::remove);
        idle.forEach(actions::releaseKey);
    }

    boolean isEmpty() {
        return queues.isEmpty();
    }
}
