package firstage.lifecycle;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Watches what crosses of batches with a key, beside the decisions: no statement goes out while an
 * earlier batch of its key is open, or a dispatch of another one is out or may be held by its
 * engine. It decides nothing; what it finds is a fault of ours. Times are tenths of a millisecond.
 */
public final class KeyOrderMonitor {
    private static final class KeyState {
        private final List<Object> openRequests = new ArrayList<>();
        private final Map<Object, Integer> attemptsInFlight = new HashMap<>();

        /** The batch whose engine may hold it, and until when. */
        private final Map<Object, Long> heldUntil = new HashMap<>();

        private boolean isIdle(long now) {
            heldUntil.values().removeIf(until -> until <= now);
            return openRequests.isEmpty() && attemptsInFlight.isEmpty() && heldUntil.isEmpty();
        }
    }

    private final Map<Object, KeyState> keys = new HashMap<>();

    /** A batch was told to the decisions, its turn known. */
    public void onRequest(Object key, Object request) {
        keys.computeIfAbsent(key, k -> new KeyState()).openRequests.add(request);
    }

    /** A dispatch of it goes out; false where that breaks its key's order. */
    public boolean onAttemptStarted(long now, Object key, Object request) {
        KeyState keyState = keys.computeIfAbsent(key, k -> new KeyState());
        keyState.isIdle(now);
        boolean first =
                keyState.openRequests.isEmpty() || keyState.openRequests.get(0).equals(request);
        boolean alone =
                keyState.attemptsInFlight.keySet().stream().allMatch(request::equals)
                        && keyState.heldUntil.keySet().stream().allMatch(request::equals);
        keyState.attemptsInFlight.merge(request, 1, Integer::sum);
        return first && alone;
    }

    /** A dispatch of it is over; its engine may hold it for {@code rest} more. */
    public void onAttemptEnded(long now, Object key, Object request, long heldFor) {
        KeyState keyState = keys.get(key);
        if (keyState != null) {
            keyState.attemptsInFlight.computeIfPresent(request, (b, n) -> n > 1 ? n - 1 : null);
            if (heldFor > 0) {
                keyState.heldUntil.merge(request, now + heldFor, Math::max);
            }
        }
    }

    /** The batch is answered, or owed no answer. */
    public void onRequestEnded(Object key, Object request) {
        KeyState keyState = keys.get(key);
        if (keyState != null) {
            keyState.openRequests.remove(request);
        }
    }

    /** Drops the keys that nothing is known of any more; asked now and then. */
    public void removeIdleKeys(long now) {
        for (Iterator<KeyState> remaining = keys.values().iterator(); remaining.hasNext(); ) {
            if (remaining.next().isIdle(now)) {
                remaining.remove();
            }
        }
    }
}
