package firstage.server;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
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

    private static final class Waiter {
        private final Runnable callback;
        private int passesLeft = SELECTOR_PASSES;

        private Waiter(Runnable callback) {
            this.callback = callback;
        }
    }

    private final XnioIoThread io;
    private final Counters counters;
    private final StreamConnection wakeUpReader;
    private final StreamConnection wakeUpWriter;
    private final ByteBuffer wakeUpByte = ByteBuffer.allocate(1);

    /**
     * Waiters that the pass under way counts for; those that came since it began are in the next.
     */
    private List<Waiter> currentPass = new ArrayList<>();

    private final ArrayDeque<Waiter> nextPass = new ArrayDeque<>();
    private boolean passInProgress;

    public ReadBarrier(XnioIoThread io, Counters counters) throws IOException {
        this.io = io;
        this.counters = counters;
        ChannelPipe<StreamConnection, StreamConnection> pipe =
                io.createFullDuplexPipeConnection(io);
        wakeUpWriter = pipe.getLeftSide();
        wakeUpReader = pipe.getRightSide();
    }

    /** Begins; on the I/O thread. */
    public void start() {
        wakeUpReader.getSourceChannel().setReadListener(this::onWakeUp);
        wakeUpReader.getSourceChannel().resumeReads();
    }

    /** Calls back once all that has arrived until now is read, and its events are handled. */
    public void runAfterPendingReads(Runnable callback) {
        nextPass.add(new Waiter(callback));
        if (!passInProgress) {
            startPass();
        }
    }

    private void startPass() {
        currentPass.addAll(nextPass);
        nextPass.clear();
        passInProgress = !currentPass.isEmpty();
        if (passInProgress) {
            counters.count("read barrier passes");
            try {
                wakeUpByte.clear();
                wakeUpWriter.getSinkChannel().write(wakeUpByte);
            } catch (IOException exception) {
                onPipeBroken(exception);
            }
        }
    }

    private void onWakeUp(ConduitStreamSourceChannel source) {
        try {
            wakeUpByte.clear();
            if (source.read(wakeUpByte) > 0) {
                // The rest of what this pass found is read first.
                io.execute(this::finishPass);
            }
        } catch (IOException exception) {
            onPipeBroken(exception);
        }
    }

    private void finishPass() {
        List<Waiter> done = currentPass;
        currentPass = new ArrayList<>();
        for (Waiter waiter : done) {
            if (--waiter.passesLeft > 0) {
                currentPass.add(waiter);
            }
        }
        startPass();
        done.stream()
                .filter(waiter -> waiter.passesLeft <= 0)
                .forEach(waiter -> waiter.callback.run());
    }

    /** Without the pipe no barrier is ever passed; requests must not wait for it. */
    private void onPipeBroken(IOException exception) {
        LOG.severe("read barrier broken cause=" + exception);
        counters.count("unexpected exceptions");
        List<Waiter> done = currentPass;
        currentPass = new ArrayList<>();
        passInProgress = false;
        done.forEach(waiter -> io.execute(waiter.callback));
    }

    public void close() {
        IoUtils.safeClose(wakeUpWriter);
        IoUtils.safeClose(wakeUpReader);
    }
}
