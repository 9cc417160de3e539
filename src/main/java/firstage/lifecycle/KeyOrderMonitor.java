package firstage.lifecycle;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Checks the order of requests with an ordering key, independently of the scheduler: no statement
 * may be sent while an earlier request of its key is open, or while an attempt of another request
 * of the key is in flight or may be held by its engine. The monitor decides nothing; a violation is
 * a bug of this program. Times are ticks. All calls come on one thread.
 */
public final class KeyOrderMonitor {
    private static final class KeyState {
        private final List<Object> openRequests = new ArrayList<>();
        private final Map<Object, Integer> attemptsInFlight = new HashMap<>();

        /** Times until which engines may hold a statement, by request. */
        private final Map<Object, Long> heldUntil = new HashMap<>();

        /**
         * Removes the holds that have expired, and returns whether no request is open, no attempt
         * in flight and no statement held.
         */
        private boolean expireHoldsAndCheckIdle(long now) {
            heldUntil.values().removeIf(until -> until <= now);
            return openRequests.isEmpty() && attemptsInFlight.isEmpty() && heldUntil.isEmpty();
        }
    }

    private final Map<Object, KeyState> keys = new HashMap<>();

    /** Records that a request whose order is known was delivered to the scheduler. */
    public void onRequest(Object key, Object request) {
        keys.computeIfAbsent(key, k -> new KeyState()).openRequests.add(request);
    }

    /**
     * Records that an attempt starts.
     *
     * @return whether the attempt keeps the order of its key
     */
    public boolean onAttemptStarted(long now, Object key, Object request) {
        KeyState keyState = keys.computeIfAbsent(key, k -> new KeyState());
        keyState.expireHoldsAndCheckIdle(now);
        boolean first =
                keyState.openRequests.isEmpty() || keyState.openRequests.get(0).equals(request);
        boolean alone =
                keyState.attemptsInFlight.keySet().stream().allMatch(request::equals)
                        && keyState.heldUntil.keySet().stream().allMatch(request::equals);
        keyState.attemptsInFlight.merge(request, 1, Integer::sum);
        return first && alone;
    }

    /**
     * Records that an attempt ended.
     *
     * @param heldFor how much longer the engine may hold the statement
     */
    public void onAttemptEnded(long now, Object key, Object request, long heldFor) {
        KeyState keyState = keys.get(key);
        if (keyState != null) {
            keyState.attemptsInFlight.computeIfPresent(
                    request, (ignored, count) -> count > 1 ? count - 1 : null);
            if (heldFor > 0) {
                keyState.heldUntil.merge(request, now + heldFor, Math::max);
            }
        }
    }

    /** Records that the client of a request has its answer, or gets none. */
    public void onRequestEnded(Object key, Object request) {
        KeyState keyState = keys.get(key);
        if (keyState != null) {
            keyState.openRequests.remove(request);
        }
    }

    /** Removes keys without open requests, attempts or held statements; called periodically. */
    public void removeIdleKeys(long now) {
        for (Iterator<KeyState> iterator = keys.values().iterator(); iterator.hasNext(); ) {
            if (iterator.next().expireHoldsAndCheckIdle(now)) {
                iterator.remove();
            }
        }
    }
}
