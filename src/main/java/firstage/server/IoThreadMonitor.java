package firstage.server;

import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;

/**
 * Shows an operator what occupies the I/O thread. Measures the steps in which other processes
 * decide how much there is to do, and logs a step that takes too long, by name. A second thread
 * logs an I/O thread that no longer comes to its heartbeat, as that thread can't report itself.
 * Owned by the I/O thread but for {@link #watch}.
 */
public final class IoThreadMonitor {
    /** Steps of the I/O thread. */
    public enum Step {
        ACCEPT,
        CLIENT_READS,
        CLIENT_CALLS,
        ENDPOINT_UPDATES,
        OTHER;

        private final String counter = "max I/O step " + label() + ", us";

        String label() {
            return name().toLowerCase(Locale.ROOT).replace('_', ' ');
        }
    }

    private static final Logger LOG = Logger.getLogger(IoThreadMonitor.class.getName());

    /** Duration above which a step is logged: by then all other clients and timers have waited. */
    private static final long SLOW_STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Minimum time between two log lines about slow steps. */
    private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Time without a heartbeat after which the I/O thread is logged as unresponsive. */
    private static final long UNRESPONSIVE_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final int WATCH_PERIOD_MS = 1_000;

    private final Counters counters;
    private long lastLoggedAtNanos = System.nanoTime() - LOG_INTERVAL_NANOS;
    private int depth;
    private volatile Step currentStep = Step.OTHER;
    private volatile long heartbeatAtNanos = System.nanoTime();

    public IoThreadMonitor(Counters counters) {
        this.counters = counters;
    }

    /** Begins a step, which may contain others; returns the time to pass to {@link #end}. */
    public long begin(Step step) {
        if (depth++ == 0) {
            currentStep = step;
        }
        return System.nanoTime();
    }

    /**
     * Ends a step.
     *
     * @param startedAtNanos the value that {@link #begin} returned
     * @param items number of connections, calls or events that the step handled
     */
    public void end(Step step, long startedAtNanos, int items) {
        if (--depth == 0) {
            currentStep = Step.OTHER;
        }
        long now = System.nanoTime();
        long nanos = now - startedAtNanos;
        counters.recordMax(step.counter, TimeUnit.NANOSECONDS.toMicros(nanos));
        if (nanos > SLOW_STEP_NANOS) {
            counters.count("slow I/O steps");
            if (now - lastLoggedAtNanos > LOG_INTERVAL_NANOS) {
                lastLoggedAtNanos = now;
                LOG.warning(
                        "slow I/O step step="
                                + step.label()
                                + " durationMs="
                                + TimeUnit.NANOSECONDS.toMillis(nanos)
                                + " items="
                                + items);
            }
        }
    }

    /** Records that the I/O thread came to its timers. */
    void onHeartbeat() {
        heartbeatAtNanos = System.nanoTime();
    }

    /** Starts to watch the I/O thread from another thread, until the program ends. */
    void watch() {
        Thread watcher = new Thread(this::logWhileUnresponsive, "I/O watcher");
        watcher.setDaemon(true);
        watcher.start();
    }

    private void logWhileUnresponsive() {
        try {
            while (true) {
                Thread.sleep(WATCH_PERIOD_MS);
                long silentNanos = System.nanoTime() - heartbeatAtNanos;
                if (silentNanos > UNRESPONSIVE_NANOS) {
                    LOG.severe(
                            "I/O thread unresponsive step="
                                    + currentStep.label()
                                    + " sinceMs="
                                    + TimeUnit.NANOSECONDS.toMillis(silentNanos));
                }
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
