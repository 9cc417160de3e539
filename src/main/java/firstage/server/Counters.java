package firstage.server;

import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts by name, printed when the program ends. What must hold is asserted under {@code -ea} and
 * else counted as broken. Owned by the I/O thread.
 */
public final class Counters {
    private final Map<String, Long> counts = new TreeMap<>();
    private final FlightRecorder recorder = new FlightRecorder();

    /** The events that led up to a broken invariant. */
    public FlightRecorder recorder() {
        return recorder;
    }

    public void count(String name) {
        add(name, 1);
    }

    public void add(String name, long amount) {
        counts.merge(name, amount, Long::sum);
    }

    public long sum(String... names) {
        return Arrays.stream(names).mapToLong(name -> counts.getOrDefault(name, 0L)).sum();
    }

    /** Keeps the largest value seen. */
    public void peak(String name, long value) {
        counts.merge(name, value, Math::max);
    }

    /** Checks an invariant; a broken one is logged with the recorded events, and counted. */
    public void checkInvariant(boolean holds, String invariant) {
        if (!holds) {
            recorder.dump("broken: " + invariant);
        }
        assert holds : invariant;
        if (!holds) {
            count("broken: " + invariant);
        }
    }

    @Override
    public String toString() {
        return counts.toString();
    }
}
