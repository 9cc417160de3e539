package firstage.emulator;

import firstage.simulation.EventQueue;
import firstage.util.Ticks;
import java.io.IOException;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * The one thread of all emulators, and the simulation's event queue advanced by the wall clock:
 * what is modelled in virtual time runs here in real time. Times are ticks; {@link #START} is when
 * the loop was created.
 */
public final class RealTimeLoop implements AutoCloseable {
    /** Time at creation: above 0, which stands for "long ago" in the models. */
    public static final long START = 1_000_000;

    private static final long ROUND_INTERVAL_MS = 1;
    private static final long MAX_LATENESS_US = 60_000_000;
    private final XnioWorker worker;
    private final XnioIoThread ioThread;
    private final EventQueue events = new EventQueue(START);
    private final long startNs = System.nanoTime();
    private final long startMs = System.currentTimeMillis();
    private final Histogram lateness = new Histogram(MAX_LATENESS_US, 2);
    private volatile boolean closed;
    private volatile long lastRoundNs = System.nanoTime();
    private final RecentPeak peakLateness = new RecentPeak();

    public RealTimeLoop() throws IOException {
        worker =
                Xnio.getInstance(RealTimeLoop.class.getClassLoader())
                        .createWorker(
                                OptionMap.builder()
                                        .set(Options.WORKER_NAME, "emulators")
                                        .set(Options.WORKER_IO_THREADS, 1)
                                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                                        .getMap());
        ioThread = worker.getIoThread();
        runRound(System.nanoTime());
    }

    public XnioWorker worker() {
        return worker;
    }

    /** The present time in ticks; from any thread. */
    public long now() {
        return START + (System.nanoTime() - startNs) / 100_000;
    }

    /** Unix time in ms of a time of this loop. */
    public long unixMs(long time) {
        return startMs + (time - START) / 10;
    }

    /** The event queue; only for use on this thread. */
    public EventQueue events() {
        return events;
    }

    /** Runs the task on this thread, after all events that are due. */
    public void execute(Runnable task) {
        ioThread.execute(
                () -> {
                    events.runUntil(now());
                    task.run();
                });
    }

    /**
     * Runs the call on this thread and waits for its result.
     *
     * @throws IOException if the call fails or the wait is interrupted
     */
    public <T> T call(Callable<T> task) throws IOException {
        CompletableFuture<T> done = new CompletableFuture<>();
        execute(
                () -> {
                    try {
                        done.complete(task.call());
                    } catch (Exception failure) {
                        done.completeExceptionally(failure);
                    }
                });
        try {
            return done.get();
        } catch (ExecutionException failure) {
            throw new IOException(failure.getCause());
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", interrupted);
        }
    }

    private void runRound(long scheduledNs) {
        if (closed) {
            return;
        }
        lateness.recordValue(
                Math.min(MAX_LATENESS_US, Math.max(0, (System.nanoTime() - scheduledNs) / 1_000)));
        events.runUntil(now());
        recordPeak(scheduledNs);
        long nextNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ROUND_INTERVAL_MS);
        ioThread.executeAfter(() -> runRound(nextNs), ROUND_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void recordPeak(long scheduledNs) {
        long nowNs = System.nanoTime();
        peakLateness.record(Ticks.ofNanos(nowNs - scheduledNs));
        lastRoundNs = nowNs;
    }

    /** How late this thread ran at most in the last quarter of a second, in ticks. */
    public long recentLateness() {
        return Math.max(Ticks.ofNanos(System.nanoTime() - lastRoundNs), peakLateness.value());
    }

    /** How late this thread ran, in microseconds. A run on an overloaded machine proves nothing. */
    public Histogram lateness() {
        return lateness;
    }

    @Override
    public void close() {
        closed = true;
        worker.shutdownNow();
    }
}
