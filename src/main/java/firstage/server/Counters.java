package firstage.server;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;

/**
 * Named counters, printed when the program ends, and checks of invariants. A broken invariant fails
 * an assertion under {@code -ea} and is counted otherwise. Gives access to the event log and the
 * flight recorder, which every component uses beside its counters. Owned by the I/O thread.
 */
public final class Counters {
    private final Map<String, Long> counts = new TreeMap<>();
    private final FlightRecorder recorder = new FlightRecorder();
    private final EventLog eventLog;

    /** Creates counters whose event log is discarded. */
    public Counters() {
        this(new EventLog(new PrintStream(OutputStream.nullOutputStream())));
    }

    /** Creates counters beside this event log. */
    public Counters(EventLog eventLog) {
        this.eventLog = eventLog;
    }

    /** Returns the log of events of requests, attempts, connections and engines. */
    public EventLog eventLog() {
        return eventLog;
    }

    /** Returns the recorder of the events that lead up to a broken invariant. */
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

    /** Sets a counter to {@code value} if that is larger than all values before. */
    public void recordMax(String name, long value) {
        counts.merge(name, value, Math::max);
    }

    /** Checks an invariant; logs a broken one with the recorded events, and counts it. */
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
