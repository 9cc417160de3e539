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
 * The single thread of all emulators, with the simulation's event queue advanced by the wall clock,
 * so that models of the simulation run in real time. Times are ticks, and count from {@link #START}
 * at the creation of the loop.
 */
public final class RealTimeLoop implements AutoCloseable {
    /** Time at the creation of the loop; not 0, which means "long ago" in the models. */
    public static final long START = 1_000_000;

    private static final long ROUND_INTERVAL_MS = 1;
    private static final long MAX_LATENESS_US = 60_000_000;
    private final XnioWorker worker;
    private final XnioIoThread ioThread;
    private final EventQueue events = new EventQueue(START);
    private final long startNs = System.nanoTime();
    private final long startMs = System.currentTimeMillis();
    private final Histogram latenessHistogram = new Histogram(MAX_LATENESS_US, 2);
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

    /** Returns the current time in ticks; from any thread. */
    public long now() {
        return START + (System.nanoTime() - startNs) / 100_000;
    }

    /** Returns the Unix time in ms for a time of this loop. */
    public long unixMs(long time) {
        return startMs + (time - START) / 10;
    }

    /** Returns the event queue; only for use on this loop's thread. */
    public EventQueue events() {
        return events;
    }

    /** Runs the task on this loop's thread, after all due events; from any thread. */
    public void execute(Runnable task) {
        ioThread.execute(
                () -> {
                    events.runUntil(now());
                    task.run();
                });
    }

    /**
     * Runs the task on this loop's thread and waits for its result; from any other thread.
     *
     * @throws IOException if the task fails or the wait is interrupted
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
            throw new IOException(
                    "interrupted while waiting for the emulators' thread", interrupted);
        }
    }

    private void runRound(long scheduledNs) {
        if (closed) {
            return;
        }
        latenessHistogram.recordValue(
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

    /**
     * Returns the longest delay of the loop's thread in at least the last quarter of a second, in
     * ticks; from any thread.
     */
    public long recentLateness() {
        return Math.max(Ticks.ofNanos(System.nanoTime() - lastRoundNs), peakLateness.value());
    }

    /**
     * Returns the distribution of the delays of the loop's thread, in microseconds. Long delays
     * show that the machine was overloaded, which invalidates the results of a run.
     */
    public Histogram latenessHistogram() {
        return latenessHistogram;
    }

    @Override
    public void close() {
        closed = true;
        worker.shutdownNow();
    }
}
