package firstage.server;

import firstage.server.IoThreadMonitor.Step;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;
import org.xnio.XnioIoThread;

/**
 * Divides the I/O thread between the clients' work and everything else. Reads of client connections
 * and the handling of calls each have a time slice per selector pass; what exceeds it waits for the
 * next pass, in the order of arrival. Engines, timers, discovery and evaluations therefore wait no
 * longer than two slices, however many clients call and however fast they come again.
 *
 * <p>Reads come first and are cheap: they find the calls, and among them the polls and
 * cancellations, which are handled at once. All other calls go through the second queue. Clients
 * whose calls are expensive to handle thus do not delay the news that another client left. Owned by
 * the I/O thread.
 */
public final class ClientWork {
    private static final Logger LOG = Logger.getLogger(ClientWork.class.getName());
    private static final int READ_SLICE_MS = 8;
    private static final int CALL_SLICE_MS = 5;

    /** Delay of a queued task above which the overload is logged. */
    private static final long LOGGED_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Minimum time between two log lines about overload. */
    private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final XnioIoThread io;
    private final SelectorPass selectorPass;
    private final Counters counters;
    private final TimeSlicedQueue reads;
    private final TimeSlicedQueue calls;
    private boolean sliceEndScheduled;
    private boolean runningSlices;
    private long passNumber;
    private long lastLoggedAtNanos = System.nanoTime() - LOG_INTERVAL_NANOS;

    public ClientWork(
            XnioIoThread io,
            SelectorPass selectorPass,
            Counters counters,
            IoThreadMonitor monitor) {
        this.io = io;
        this.selectorPass = selectorPass;
        this.counters = counters;
        reads =
                new TimeSlicedQueue(
                        Step.CLIENT_READS, READ_SLICE_MS, counters, monitor, this::onWork);
        calls =
                new TimeSlicedQueue(
                        Step.CLIENT_CALLS, CALL_SLICE_MS, counters, monitor, this::onWork);
    }

    /** Returns the queue of reads of client connections. */
    public TimeSlicedQueue reads() {
        return reads;
    }

    /** Returns the queue of calls that were found by a read and are neither polls nor cancels. */
    public TimeSlicedQueue calls() {
        return calls;
    }

    /** Returns a number that grows with each selector pass in which clients were served. */
    public long passNumber() {
        return passNumber;
    }

    /** Returns whether no read and no call is queued. */
    public boolean isEmpty() {
        return reads.isEmpty() && calls.isEmpty();
    }

    /** Runs a callback once all input is read that had arrived before the next selector pass. */
    public void runAfterNextReads(Runnable callback) {
        selectorPass.runAfterNext(() -> reads.runAfterQueued(callback));
    }

    private void onWork() {
        if (!sliceEndScheduled && !runningSlices) {
            sliceEndScheduled = true;
            // Runs after the events of this selector pass, once.
            io.execute(this::startNextSlices);
        }
    }

    private void startNextSlices() {
        sliceEndScheduled = true;
        runningSlices = true;
        passNumber++;
        try {
            reads.runSlice();
            calls.runSlice();
        } finally {
            runningSlices = false;
            sliceEndScheduled = !isEmpty();
            if (sliceEndScheduled) {
                logOverload();
                selectorPass.runAfterNext(this::startNextSlices);
            }
        }
    }

    private void logOverload() {
        long delay = Math.max(reads.oldestDelayNanos(), calls.oldestDelayNanos());
        long now = System.nanoTime();
        if (delay < LOGGED_DELAY_NANOS || now - lastLoggedAtNanos < LOG_INTERVAL_NANOS) {
            return;
        }
        lastLoggedAtNanos = now;
        counters.count("client overload logged");
        LOG.warning(
                "clients send more than the I/O thread handles queuedReads="
                        + reads.size()
                        + " queuedCalls="
                        + calls.size()
                        + " delayMs="
                        + TimeUnit.NANOSECONDS.toMillis(delay));
    }
}
