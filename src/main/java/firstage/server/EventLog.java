package firstage.server;

import java.io.PrintStream;
import java.time.Instant;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Log of what happens to requests, attempts, connections and listed engines: one line per event,
 * with the time in UTC, the event's name and {@code key=value} pairs. It is bounded twice. Each
 * category has a limit on its lines per second, above which lines are counted and not built, so
 * that a flood of one category neither fills a disk nor hides the others. And lines are passed to a
 * thread that writes them in batches, so that the I/O thread never waits for the output; lines that
 * find its queue full are counted, too. {@link #reportSuppressed} logs the counts.
 *
 * <p>All methods are called on the I/O thread.
 */
public final class EventLog {
    /** Subjects of lines, each with its own limit. */
    public enum Category {
        /** Starts, sends, abandonments and ends of attempts. */
        ATTEMPTS(60, 2_000),
        /**
         * Requests that did not succeed, and calls that are refused before they become requests.
         */
        REQUESTS(20, 500),
        /** Connections that this manager closes or loses. */
        CONNECTIONS(10, 200),
        /** Effects of endpoint updates. */
        ENDPOINTS(10, 400);

        private final int linesPerSecond;
        private final int burst;

        Category(int linesPerSecond, int burst) {
            this.linesPerSecond = linesPerSecond;
            this.burst = burst;
        }

        /** Returns the number of lines that may be logged at once after a quiet time. */
        int burst() {
            return burst;
        }
    }

    /** Limit of the lines of a category: a token bucket, which is full at first. */
    private static final class LineLimit {
        private final Category category;
        private double tokens;
        private long refilledAtNanos;
        private long suppressed;

        private LineLimit(Category category, long nowNanos) {
            this.category = category;
            tokens = category.burst;
            refilledAtNanos = nowNanos;
        }

        private boolean tryAcquire(long nowNanos) {
            double refill = (nowNanos - refilledAtNanos) / 1e9 * category.linesPerSecond;
            tokens = Math.min(category.burst, tokens + refill);
            refilledAtNanos = nowNanos;
            if (tokens < 1) {
                suppressed++;
                return false;
            }
            tokens--;
            return true;
        }
    }

    /** Maximum number of lines that wait for the writer; more than all bursts together. */
    private static final int QUEUE_CAPACITY = 4_096;

    /** Time for which the writer collects lines before it writes them, in ms. */
    private static final long BATCH_INTERVAL_MS = 20;

    private static final long CLOSE_TIMEOUT_MS = 200;

    /** Marks the end of the log in the queue; compared by identity. */
    private static final String END = new String("end of log");

    private final LongSupplier nanoClock;
    private final Map<Category, LineLimit> limits = new EnumMap<>(Category.class);
    private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
    private final Thread writer;
    private boolean writerStarted;

    /** Creates a log that writes to {@code output} on a thread of its own. */
    public EventLog(PrintStream output) {
        this(output, System::nanoTime);
    }

    EventLog(PrintStream output, LongSupplier nanoClock) {
        this.nanoClock = nanoClock;
        for (Category category : Category.values()) {
            limits.put(category, new LineLimit(category, nanoClock.getAsLong()));
        }
        writer = new Thread(() -> writeUntilEnd(output), "event log");
        writer.setDaemon(true);
    }

    /**
     * Logs a line unless its category is over its limit.
     *
     * @param line builds the text after the time; not called for a line that is suppressed
     */
    public void log(Category category, Supplier<String> line) {
        LineLimit limit = limits.get(category);
        if (limit.tryAcquire(nanoClock.getAsLong())) {
            append(limit, line.get());
        }
    }

    private void append(LineLimit limit, String line) {
        if (!writerStarted) {
            writerStarted = true;
            writer.start();
        }
        if (!queue.offer(Instant.ofEpochMilli(System.currentTimeMillis()) + " " + line)) {
            limit.suppressed++;
        }
    }

    /** Logs how many lines of each category were suppressed since the last call. */
    public void reportSuppressed() {
        for (LineLimit limit : limits.values()) {
            if (limit.suppressed > 0) {
                long count = limit.suppressed;
                limit.suppressed = 0;
                append(
                        limit,
                        "event lines suppressed category=" + limit.category + " count=" + count);
            }
        }
    }

    /** Writes the lines that wait, for a limited time, and ends the log. */
    public void close() {
        reportSuppressed();
        try {
            if (writerStarted && queue.offer(END)) {
                writer.join(CLOSE_TIMEOUT_MS);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void writeUntilEnd(PrintStream output) {
        List<String> lines = new ArrayList<>();
        boolean ended = false;
        try {
            while (!ended) {
                lines.add(queue.take());
                if (lines.get(0) != END) {
                    Thread.sleep(BATCH_INTERVAL_MS);
                }
                queue.drainTo(lines);
                ended = lines.removeIf(line -> line == END);
                write(lines, output);
                lines.clear();
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private static void write(List<String> lines, PrintStream output) {
        StringBuilder batch = new StringBuilder();
        lines.forEach(line -> batch.append(line).append('\n'));
        output.print(batch);
        output.flush();
    }
}
