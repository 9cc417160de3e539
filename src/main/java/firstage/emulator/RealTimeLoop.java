package firstage.emulator;

import firstage.simulation.EventQueue;
import java.io.IOException;
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
    private static final long MOST_LATE_US = 60_000_000;
    private final XnioWorker worker;
    private final XnioIoThread io;
    private final EventQueue calendar = new EventQueue(START);
    private final long startNs = System.nanoTime();
    private final long startMs = System.currentTimeMillis();
    private final Histogram late = new Histogram(MOST_LATE_US, 2);
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
        io = worker.getIoThread();
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
    public long unixMs(long at) {
        return startMs + (at - START) / 10;
    }

    /** The calendar, for what runs on this thread. */
    public EventQueue calendar() {
        return calendar;
    }

    /**
     * Something happened elsewhere: it is played on this thread, at the moment at which it comes
     * here.
     */
    public void news(Runnable what) {
        io.execute(
                () -> {
                    calendar.play(now());
                    what.run();
                });
    }

    private void tick(long due) {
        if (closed) {
            return;
        }
        late.recordValue(Math.min(MOST_LATE_US, Math.max(0, (System.nanoTime() - due) / 1_000)));
        calendar.play(now());
        long next = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TICK_MS);
        io.executeAfter(() -> tick(next), TICK_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * How late this thread came, in microseconds: a machine that has no time for it proves nothing.
     */
    public Histogram late() {
        return late;
    }

    @Override
    public void close() {
        closed = true;
        worker.shutdownNow();
    }
}
