package firstage.emulator;

import firstage.simulation.EventQueue;
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
 * One thread on which all stand-ins live, and the fleet model's calendar moved on by the wall
 * clock: what is modelled in virtual time plays here in real time. Times are tenths of a
 * millisecond; {@link #START} is when the stage was set up.
 */
public final class RealTimeLoop implements AutoCloseable {
    /** The calendar's time at the start: above 0, which stands for long ago. */
    public static final long START = 1_000_000;

    private static final long TICK_MS = 1;
    private static final long MAX_LATENESS_US = 60_000_000;
    private final XnioWorker worker;
    private final XnioIoThread ioThread;
    private final EventQueue events = new EventQueue(START);
    private final long startNs = System.nanoTime();
    private final long startMs = System.currentTimeMillis();
    private final Histogram lateness = new Histogram(MAX_LATENESS_US, 2);
    private volatile boolean closed;

    public RealTimeLoop() throws IOException {
        worker =
                Xnio.getInstance(RealTimeLoop.class.getClassLoader())
                        .createWorker(
                                OptionMap.builder()
                                        .set(Options.WORKER_NAME, "stand-ins")
                                        .set(Options.WORKER_IO_THREADS, 1)
                                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                                        .getMap());
        ioThread = worker.getIoThread();
        tick(System.nanoTime());
    }

    public XnioWorker worker() {
        return worker;
    }

    /** Of this moment, by the wall; any thread. */
    public long now() {
        return START + (System.nanoTime() - startNs) / 100_000;
    }

    /** The Unix millisecond of a moment of the calendar. */
    public long unixMs(long time) {
        return startMs + (time - START) / 10;
    }

    /** The calendar, for what runs on this thread. */
    public EventQueue events() {
        return events;
    }

    /**
     * Something happened elsewhere: it is played on this thread, at the moment at which it comes
     * here.
     */
    public void execute(Runnable task) {
        ioThread.execute(
                () -> {
                    events.play(now());
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

    private void tick(long scheduledNs) {
        if (closed) {
            return;
        }
        lateness.recordValue(
                Math.min(MAX_LATENESS_US, Math.max(0, (System.nanoTime() - scheduledNs) / 1_000)));
        events.play(now());
        long nextNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TICK_MS);
        ioThread.executeAfter(() -> tick(nextNs), TICK_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * How late this thread came, in microseconds: a machine that has no time for it proves nothing.
     */
    public Histogram lateness() {
        return lateness;
    }

    @Override
    public void close() {
        closed = true;
        worker.shutdownNow();
    }
}
