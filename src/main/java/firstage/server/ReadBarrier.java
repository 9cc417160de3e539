package firstage.server;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.xnio.XnioIoThread;

/**
 * Runs a callback once all input that had reached this machine when the callback was added has been
 * read. A barrier takes two selector passes: the first finds new connections, which are accepted
 * and registered, and the second finds the input that had arrived on them. Reads of clients that
 * were deferred in a pass belong to it. The barrier depends neither on the order in which the
 * selector reports ready channels, nor on how long the thread or the process was paused. Owned by
 * the I/O thread.
 */
public final class ReadBarrier {
    private static final int SELECTOR_PASSES = 2;

    /** Delay before the next pass after a failed accept. */
    private static final int RETRY_DELAY_MS = 5;

    /** Time, in ticks, after which a callback runs even if connections still can't be accepted. */
    private static final long MAX_ACCEPT_WAIT = 1_000;

    private static final class Waiter {
        private final Runnable callback;
        private final long requestedAt;
        private int passesLeft = SELECTOR_PASSES;

        private Waiter(Runnable callback, long requestedAt) {
            this.callback = callback;
            this.requestedAt = requestedAt;
        }
    }

    private final XnioIoThread io;
    private final TickClock clock;
    private final Counters counters;
    private final SelectorPass selectorPass;
    private final ClientWork clientWork;
    private BooleanSupplier acceptFailing = () -> false;

    /** Waiters of the pass in progress; those added since it started wait for the next pass. */
    private List<Waiter> currentPass = new ArrayList<>();

    private final ArrayDeque<Waiter> nextPass = new ArrayDeque<>();
    private boolean passInProgress;
    private boolean closed;
    private long readAsOf = Long.MIN_VALUE / 2;

    public ReadBarrier(
            XnioIoThread io,
            TickClock clock,
            Counters counters,
            SelectorPass selectorPass,
            ClientWork clientWork) {
        this.io = io;
        this.clock = clock;
        this.counters = counters;
        this.selectorPass = selectorPass;
        this.clientWork = clientWork;
    }

    /**
     * Sets how the barrier learns of failing accepts; called on the I/O thread.
     *
     * @param acceptFailing returns whether there are pending connections that currently can't be
     *     accepted, so that input on them is not read
     */
    public void start(BooleanSupplier acceptFailing) {
        this.acceptFailing = acceptFailing;
    }

    /** Returns whether there are pending connections that currently can't be accepted. */
    boolean isAcceptFailing() {
        return acceptFailing.getAsBoolean();
    }

    /**
     * Returns the time, in ticks, up to which all input that had arrived was read, and the polls
     * and cancellations in it were handled.
     */
    long readAsOf() {
        return readAsOf;
    }

    /**
     * Runs a callback once all input that has arrived until now is read. All of it is handled by
     * then but calls that make requests: they may still be queued. The callback never runs if the
     * barrier is closed, as the program then ends.
     */
    public void runAfterPendingReads(Runnable callback) {
        if (closed) {
            return;
        }
        nextPass.add(new Waiter(callback, clock.now()));
        if (!passInProgress) {
            startPass();
        }
    }

    /** Runs a callback once all input that has arrived until now is read and handled. */
    public void runAfterPendingCalls(Runnable callback) {
        runAfterPendingReads(() -> clientWork.calls().runAfterQueued(callback));
    }

    private void startPass() {
        currentPass.addAll(nextPass);
        nextPass.clear();
        passInProgress = !currentPass.isEmpty();
        if (passInProgress && !closed) {
            counters.count("read barrier passes");
            selectorPass.runAfterNext(() -> clientWork.reads().runAfterQueued(this::finishPass));
        }
    }

    private void finishPass() {
        boolean allRead = !acceptFailing.getAsBoolean();
        List<Waiter> finished = currentPass;
        currentPass = new ArrayList<>();
        for (Waiter waiter : finished) {
            waiter.passesLeft -= allRead ? 1 : 0;
            if (waiter.passesLeft > 0 && !isOverdue(waiter, allRead)) {
                currentPass.add(waiter);
            }
        }
        finished.removeAll(currentPass);
        if (allRead) {
            finished.forEach(waiter -> readAsOf = Math.max(readAsOf, waiter.requestedAt));
            startPass();
        } else {
            io.executeAfter(this::startPass, RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
        }
        finished.forEach(waiter -> waiter.callback.run());
    }

    private boolean isOverdue(Waiter waiter, boolean allRead) {
        return !allRead && clock.now() - waiter.requestedAt > MAX_ACCEPT_WAIT;
    }

    public void close() {
        closed = true;
    }
}
