package firstage.policy;

import firstage.policy.api.PolicyActions;
import firstage.policy.state.KeyQueue;
import firstage.policy.state.RequestState;
import firstage.util.Ticks;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Order within an ordering key (rule 5): requests of one key start one after another, in their
 * order of arrival; after an attempt that may still run the key pauses.
 */
final class KeyOrdering {
    /** Until the rejection of a request of unknown order is with its client. */
    private static final long PAUSE_AFTER_UNKNOWN_ORDER = Ticks.ofMillis(50);

    private final Map<Integer, KeyQueue> queues = new HashMap<>();
    private final long quietPeriod;

    /**
     * @param quietPeriod how long a key pauses after an attempt that may still run, in ticks
     */
    KeyOrdering(long quietPeriod) {
        this.quietPeriod = quietPeriod;
    }

    /** Queues a request behind the others of its key, where its traffic class is ordered. */
    void onRequest(long now, RequestState request, PolicyActions actions) {
        int key = request.incoming.orderingKey();
        if (isOutOfOrder(request)) {
            KeyQueue queue = queues.computeIfAbsent(request.orderingKey, k -> new KeyQueue());
            queue.quietUntil = Math.max(queue.quietUntil, now + PAUSE_AFTER_UNKNOWN_ORDER);
        } else if (request.orderingKey >= 0) {
            queues.computeIfAbsent(request.orderingKey, k -> new KeyQueue()).waiting.add(request);
        } else if (key >= 0 && !queues.containsKey(key)) {
            actions.releaseKey(key);
        }
    }

    /** Whether it must be rejected, as its place among those of its key is unknown. */
    boolean isOutOfOrder(RequestState request) {
        return request.orderingKey >= 0 && request.incoming.orderUnknown();
    }

    /** Whether no other request of its key has to start before it. */
    boolean isNext(long now, RequestState request) {
        KeyQueue queue = queues.get(request.orderingKey);
        return queue == null
                || queue.waiting.peek() == request
                        && (request.attemptsStarted > 0 || now >= queue.quietUntil);
    }

    /**
     * An attempt ended.
     *
     * @param mayStillRun whether its engine may run it on
     * @param mayStillRunFor for how many ticks the engine is known to hold it at most
     */
    void onAttemptEnded(long now, RequestState request, boolean mayStillRun, long mayStillRunFor) {
        KeyQueue queue = queues.get(request.orderingKey);
        if (queue != null) {
            long pause = Math.max(mayStillRunFor, mayStillRun ? quietPeriod : 0);
            queue.quietUntil = Math.max(queue.quietUntil, now + pause);
        }
    }

    /** The request is over: the next of its key may start. */
    void remove(RequestState request) {
        KeyQueue queue = queues.get(request.orderingKey);
        if (queue != null) {
            queue.waiting.remove(request);
        }
    }

    /** Forgets the keys that no request waits for and whose pause is over. */
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
