package firstage.server;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;
import org.xnio.ChannelPipe;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Runs callbacks at the end of a selector pass of the I/O thread. The thread writes a byte to a
 * pipe to itself; the pass that finds this byte also finds all channels that were ready before, and
 * the callbacks run once their events are handled. A task that is handed to the thread in the usual
 * way runs before the next pass instead, so a task that repeats itself would keep the thread from
 * its channels. Owned by the I/O thread.
 */
public final class SelectorPass {
    private static final Logger LOG = Logger.getLogger(SelectorPass.class.getName());

    /** Delay before a broken pipe is replaced. */
    private static final int RETRY_DELAY_MS = 5;

    private final XnioIoThread io;
    private final Counters counters;
    private final ByteBuffer wakeUpByte = ByteBuffer.allocate(1);
    private StreamConnection wakeUpReader;
    private StreamConnection wakeUpWriter;
    private List<Runnable> callbacks = new ArrayList<>();
    private boolean closed;

    public SelectorPass(XnioIoThread io, Counters counters) throws IOException {
        this.io = io;
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

    /** Starts to handle wake-ups; called on the I/O thread. */
    public void start() {
        wakeUpReader.getSourceChannel().setReadListener(this::onWakeUp);
        wakeUpReader.getSourceChannel().resumeReads();
    }

    /**
     * Runs a callback once the next selector pass has handled its ready channels. The callback
     * never runs if this object is closed, as the program then ends.
     */
    public void runAfterNext(Runnable callback) {
        if (closed) {
            return;
        }
        callbacks.add(callback);
        if (callbacks.size() == 1) {
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
                // Callbacks that are added from now on belong to the next pass.
                List<Runnable> due = callbacks;
                callbacks = new ArrayList<>();
                // The remaining ready channels of this pass are handled first.
                io.execute(() -> due.forEach(Runnable::run));
            }
        } catch (IOException exception) {
            onPipeBroken(exception);
        }
    }

    /** Replaces a broken pipe, without which no callback ever runs. */
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
            start();
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
