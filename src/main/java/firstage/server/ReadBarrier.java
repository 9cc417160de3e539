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
 * Calls back when all that had reached this machine at a moment has been read. A byte is written to
 * a pipe of the thread's own; the selector pass that finds it finds all that arrived before it,
 * too, and once the thread is through with what it found, that has been read. It takes two such
 * passes: the first finds new connections, which are accepted and registered, the second what had
 * arrived on them. This depends neither on the order in which the selector reports what is ready,
 * nor on how long the thread, or the process, was paused. Owned by the I/O thread.
 */
public final class ReadBarrier {
    private static final Logger LOG = Logger.getLogger(ReadBarrier.class.getName());
    private static final int SELECTOR_PASSES = 2;

    /** Between passes while connections can't be accepted, or the pipe can't be opened. */
    private static final int RETRY_DELAY_MS = 5;

    /** What waits is called after this even where connections can't be accepted, in ticks. */
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

    /**
     * Waiters that the pass under way counts for; those that came since it began are in the next.
     */
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
        InterruptedCalls.shield(wakeUpWriter);
        InterruptedCalls.shield(wakeUpReader);
    }

    /**
     * Begins; on the I/O thread.
     *
     * @param acceptFailing whether connections wait that can't be accepted for the moment: what came
     *     on them is not read
     */
    public void start(BooleanSupplier acceptFailing) {
        this.acceptFailing = acceptFailing;
        listen();
    }

    private void listen() {
        wakeUpReader.getSourceChannel().setReadListener(this::onWakeUp);
        wakeUpReader.getSourceChannel().resumeReads();
    }

    /** Whether connections wait that can't be accepted for the moment. */
    boolean acceptsFail() {
        return acceptFailing.getAsBoolean();
    }

    /** All that had arrived at this moment has been read and its events are handled; in ticks. */
    long readAsOf() {
        return readAsOf;
    }

    /**
     * Calls back once all that has arrived until now is read, and its events are handled. Never
     * where it is closed: the program ends.
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
                // One byte fits an empty pipe.
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
                // The rest of what this pass found is read first.
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

    /** Without the pipe no barrier is ever passed: another is opened. */
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
