package firstage.server;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.logging.Logger;
import org.xnio.ChannelPipe;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Runs a callback once all input that had reached this machine when the callback was added has been
 * read. The I/O thread writes a byte to a pipe to itself. The selector pass that finds this byte
 * also finds all input that arrived before it, which has been read once the thread has handled the
 * ready channels of that pass. A barrier takes two such passes: the first finds new connections,
 * which are accepted and registered, and the second finds the input that had arrived on them. The
 * barrier depends neither on the order in which the selector reports ready channels, nor on how
 * long the thread or the process was paused. Owned by the I/O thread.
 */
public final class ReadBarrier {
    private static final Logger LOG = Logger.getLogger(ReadBarrier.class.getName());
    private static final int SELECTOR_PASSES = 2;

    /** Delay before the next pass after a failed accept, and before a broken pipe is replaced. */
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
    private final ByteBuffer wakeUpByte = ByteBuffer.allocate(1);
    private StreamConnection wakeUpReader;
    private StreamConnection wakeUpWriter;
    private BooleanSupplier acceptFailing = () -> false;

    /** Waiters of the pass in progress; those added since it started wait for the next pass. */
    private List<Waiter> currentPass = new ArrayList<>();

    private final ArrayDeque<Waiter> nextPass = new ArrayDeque<>();
    private boolean passInProgress;
    private boolean closed;
    private long readAsOf = Long.MIN_VALUE / 2;

    public ReadBarrier(XnioIoThread io, TickClock clock, Counters counters) throws IOException {
        this.io = io;
        this.clock = clock;
        this.counters = counters;
        openPipe();
    }

    private void openPipe() throws IOException {
        ChannelPipe<StreamConnection, StreamConnection> pipe =
                io.createFullDuplexPipeConnection(io);
        wakeUpWriter = pipe.getLeftSide();
        wakeUpReader = pipe.getRightSide();
        InterruptSafeConduits.installOn(wakeUpWriter);
        InterruptSafeConduits.installOn(wakeUpReader);
    }

    /**
     * Starts to handle wake-ups; called on the I/O thread.
     *
     * @param acceptFailing returns whether there are pending connections that currently can't be
     *     accepted, so that input on them is not read
     */
    public void start(BooleanSupplier acceptFailing) {
        this.acceptFailing = acceptFailing;
        listen();
    }

    private void listen() {
        wakeUpReader.getSourceChannel().setReadListener(this::onWakeUp);
        wakeUpReader.getSourceChannel().resumeReads();
    }

    /** Returns whether there are pending connections that currently can't be accepted. */
    boolean isAcceptFailing() {
        return acceptFailing.getAsBoolean();
    }

    /** Returns the time, in ticks, up to which all input that had arrived was read and handled. */
    long readAsOf() {
        return readAsOf;
    }

    /**
     * Runs a callback once all input that has arrived until now is read and handled. The callback
     * never runs if the barrier is closed, as the program then ends.
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

    private void startPass() {
        currentPass.addAll(nextPass);
        nextPass.clear();
        passInProgress = !currentPass.isEmpty();
        if (passInProgress && !closed) {
            counters.count("read barrier passes");
            writeWakeUp();
        }
    }

    private void writeWakeUp() {
        try {
            wakeUpByte.clear();
            while (wakeUpByte.hasRemaining()) {
                // The loop ends, as one byte fits into an empty pipe.
                wakeUpWriter.getSinkChannel().write(wakeUpByte);
            }
        } catch (IOException exception) {
            onPipeBroken(exception);
        }
    }

    private void onWakeUp(ConduitStreamSourceChannel source) {
        try {
            wakeUpByte.clear();
            int bytesRead = source.read(wakeUpByte);
            if (bytesRead < 0) {
                throw new IOException("end of the pipe");
            }
            if (bytesRead > 0) {
                // The remaining ready channels of this pass are handled first.
                io.execute(this::finishPass);
            }
        } catch (IOException exception) {
            onPipeBroken(exception);
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

    /** Replaces a broken pipe, without which no barrier is ever passed. */
    private void onPipeBroken(IOException exception) {
        if (closed) {
            return;
        }
        LOG.severe("read barrier broken cause=" + exception);
        counters.count("read barriers broken");
        closePipe();
        io.executeAfter(this::reopenPipe, RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
    }

    private void reopenPipe() {
        if (closed) {
            return;
        }
        try {
            openPipe();
            listen();
            writeWakeUp();
        } catch (IOException exception) {
            onPipeBroken(exception);
        }
    }

    private void closePipe() {
        IoUtils.safeClose(wakeUpWriter);
        IoUtils.safeClose(wakeUpReader);
    }

    public void close() {
        closed = true;
        closePipe();
    }
}
