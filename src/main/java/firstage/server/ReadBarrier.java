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
 * Tells when all that had reached this machine at a moment has been read. A byte is written to a
 * pipe of the thread's own; the look at all sockets that finds it finds all that came before it,
 * too, and once the thread is through with what it found, that has been read. It takes two such
 * looks: the first finds new connections, which are accepted and joined to the others, the second
 * what had come on them. Nothing of this depends on the order in which the selector tells of what
 * is ready, nor on how long the thread, or the process, stood still.
 */
public final class ReadBarrier {
    private static final Logger LOG = Logger.getLogger(ReadBarrier.class.getName());
    private static final int LOOKS = 2;

    private static final class Waiting {
        private final Runnable then;
        private int looks = LOOKS;

        private Waiting(Runnable then) {
            this.then = then;
        }
    }

    private final XnioIoThread io;
    private final Counters counters;
    private final StreamConnection from;
    private final StreamConnection to;
    private final ByteBuffer one = ByteBuffer.allocate(1);

    /** Those that the look under way counts for, and those that came since it began. */
    private List<Waiting> under = new ArrayList<>();

    private final ArrayDeque<Waiting> next = new ArrayDeque<>();
    private boolean looking;

    public ReadBarrier(XnioIoThread io, Counters counters) throws IOException {
        this.io = io;
        this.counters = counters;
        ChannelPipe<StreamConnection, StreamConnection> pipe =
                io.createFullDuplexPipeConnection(io);
        to = pipe.getLeftSide();
        from = pipe.getRightSide();
    }

    /** Begins to listen; on the thread itself. */
    public void start() {
        from.getSourceChannel().setReadListener(this::found);
        from.getSourceChannel().resumeReads();
    }

    /** Calls back once all that has come until now is read and told. */
    public void whenRead(Runnable then) {
        next.add(new Waiting(then));
        if (!looking) {
            look();
        }
    }

    private void look() {
        under.addAll(next);
        next.clear();
        looking = !under.isEmpty();
        if (looking) {
            counters.count("looks at all sockets");
            try {
                one.clear();
                to.getSinkChannel().write(one);
            } catch (IOException fault) {
                broken(fault);
            }
        }
    }

    private void found(ConduitStreamSourceChannel source) {
        try {
            one.clear();
            if (source.read(one) > 0) {
                // The rest of what this look found is read first.
                io.execute(this::through);
            }
        } catch (IOException fault) {
            broken(fault);
        }
    }

    private void through() {
        List<Waiting> done = under;
        under = new ArrayList<>();
        for (Waiting w : done) {
            if (--w.looks > 0) {
                under.add(w);
            }
        }
        look();
        done.stream().filter(w -> w.looks <= 0).forEach(w -> w.then.run());
    }

    /** Without the pipe nothing can be told any more; the batches must not wait for it. */
    private void broken(IOException fault) {
        LOG.severe("no looks at all sockets any more: " + fault);
        counters.count("faults");
        List<Waiting> done = under;
        under = new ArrayList<>();
        looking = false;
        done.forEach(w -> io.execute(w.then));
    }

    public void close() {
        IoUtils.safeClose(to);
        IoUtils.safeClose(from);
    }
}
