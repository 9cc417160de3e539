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
    private static final class Line {
        private final List<Object> open = new ArrayList<>();
        private final Map<Object, Integer> out = new HashMap<>();

        /** The batch whose engine may hold it, and until when. */
        private final Map<Object, Long> held = new HashMap<>();

        private boolean over(long now) {
            held.values().removeIf(until -> until <= now);
            return open.isEmpty() && out.isEmpty() && held.isEmpty();
        }
    }

    private final Map<Object, Line> lines = new HashMap<>();

    /** A batch was told to the decisions, its turn known. */
    public void told(Object key, Object batch) {
        lines.computeIfAbsent(key, k -> new Line()).open.add(batch);
    }

    /** A dispatch of it goes out; false where that breaks its key's order. */
    public boolean sent(long now, Object key, Object batch) {
        Line line = lines.computeIfAbsent(key, k -> new Line());
        line.over(now);
        boolean first = line.open.isEmpty() || line.open.get(0).equals(batch);
        boolean alone =
                line.out.keySet().stream().allMatch(batch::equals)
                        && line.held.keySet().stream().allMatch(batch::equals);
        line.out.merge(batch, 1, Integer::sum);
        return first && alone;
    }

    /** A dispatch of it is over; its engine may hold it for {@code rest} more. */
    public void ended(long now, Object key, Object batch, long rest) {
        Line line = lines.get(key);
        if (line != null) {
            line.out.computeIfPresent(batch, (b, n) -> n > 1 ? n - 1 : null);
            if (rest > 0) {
                line.held.merge(batch, now + rest, Math::max);
            }
        }
    }

    /** The batch is answered, or owed no answer. */
    public void over(Object key, Object batch) {
        Line line = lines.get(key);
        if (line != null) {
            line.open.remove(batch);
        }
    }

    /** Drops the keys that nothing is known of any more; asked now and then. */
    public void sweep(long now) {
        for (Iterator<Line> each = lines.values().iterator(); each.hasNext(); ) {
            if (each.next().over(now)) {
                each.remove();
            }
        }
    }
}
