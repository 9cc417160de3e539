package firstage.server.client;

import firstage.server.ClientWork;
import firstage.server.TimeSlicedQueue;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.util.function.LongSupplier;
import org.xnio.StreamConnection;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ReadReadyHandler;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Input of a client's connection, limited so that no client decides how long the I/O thread reads.
 * A connection is read in turns: at most one turn in a selector pass, of at most {@link
 * #MAX_BYTES_PER_PASS}, and a turn beyond the time slice of a pass is deferred in the order of
 * arrival. To its readers, input beyond that looks as if it had not arrived yet. Owned by the I/O
 * thread; times are ticks.
 */
final class ClientInput extends AbstractStreamSourceConduit<StreamSourceConduit> {
    /** More than the largest head and the largest statement together. */
    private static final int MAX_BYTES_PER_PASS = 160 * 1024;

    private final ClientWork work;
    private final LongSupplier earliestArrival;
    private final ReadReadyHandler readHandler;
    private boolean firstReadDue = true;
    private boolean readsResumed;
    private boolean turnDeferred;

    /** Earliest arrival of the input of a deferred turn, from its deferral until its end. */
    private long deferredArrival = Long.MAX_VALUE;

    private long passNumber;
    private int bytesLeft = MAX_BYTES_PER_PASS;

    private ClientInput(
            StreamConnection connection, ClientWork work, LongSupplier earliestArrival) {
        super(connection.getSourceChannel().getConduit());
        this.work = work;
        this.earliestArrival = earliestArrival;
        passNumber = work.passNumber();
        readHandler = new ReadReadyHandler.ChannelListenerHandler<>(connection.getSourceChannel());
    }

    /**
     * Limits the input of a connection that was just accepted. Nothing is read from it before its
     * first turn.
     *
     * @param earliestArrival returns the earliest time at which input that is read now can have
     *     arrived
     */
    static ClientInput installOn(
            StreamConnection connection, ClientWork work, LongSupplier earliestArrival) {
        ClientInput input = new ClientInput(connection, work, earliestArrival);
        input.next.setReadReadyHandler(input.new TurnHandler());
        connection.getSourceChannel().setConduit(input);
        return input;
    }

    /** Returns the earliest time at which the input that is read now can have arrived. */
    long earliestArrival() {
        return Math.min(deferredArrival, earliestArrival.getAsLong());
    }

    /** Allows reads outside of a turn, before the connection is closed or a statement is sent. */
    void allowFirstRead() {
        firstReadDue = false;
    }

    private final class TurnHandler implements ReadReadyHandler {
        @Override
        public void readReady() {
            TimeSlicedQueue reads = work.reads();
            if (turnDeferred) {
                next.suspendReads();
            } else if (reads.mayRunNow()) {
                reads.runNow(ClientInput.this::runTurn);
            } else {
                turnDeferred = true;
                deferredArrival = earliestArrival.getAsLong();
                next.suspendReads();
                reads.defer(ClientInput.this::runDeferredTurn);
            }
        }

        @Override
        public void forceTermination() {
            readHandler.forceTermination();
        }

        @Override
        public void terminated() {
            readHandler.terminated();
        }
    }

    private void runTurn() {
        firstReadDue = false;
        readHandler.readReady();
    }

    private void runDeferredTurn() {
        turnDeferred = false;
        if (readsResumed) {
            next.resumeReads();
            runTurn();
        }
        deferredArrival = Long.MAX_VALUE;
    }

    @Override
    public void resumeReads() {
        readsResumed = true;
        if (!turnDeferred) {
            super.resumeReads();
        }
    }

    @Override
    public void wakeupReads() {
        readsResumed = true;
        if (!turnDeferred) {
            super.wakeupReads();
        }
    }

    @Override
    public void suspendReads() {
        readsResumed = false;
        super.suspendReads();
    }

    @Override
    public boolean isReadResumed() {
        return readsResumed;
    }

    @Override
    public void terminateReads() throws IOException {
        readsResumed = false;
        super.terminateReads();
    }

    /** Returns how many bytes may be read now. */
    private int allowance() {
        if (passNumber != work.passNumber()) {
            passNumber = work.passNumber();
            bytesLeft = MAX_BYTES_PER_PASS;
        }
        return firstReadDue ? 0 : bytesLeft;
    }

    @Override
    public int read(ByteBuffer target) throws IOException {
        if (allowance() <= 0) {
            return 0;
        }
        int bytesRead = super.read(target);
        bytesLeft -= Math.max(0, bytesRead);
        return bytesRead;
    }

    @Override
    public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
        if (allowance() <= 0) {
            return 0;
        }
        long bytesRead = super.read(targets, offset, length);
        bytesLeft -= (int) Math.max(0, bytesRead);
        return bytesRead;
    }

    @Override
    public long transferTo(long position, long count, FileChannel target) throws IOException {
        long allowed = Math.min(count, allowance());
        if (allowed <= 0) {
            return 0;
        }
        long bytesRead = super.transferTo(position, allowed, target);
        bytesLeft -= (int) Math.max(0, bytesRead);
        return bytesRead;
    }

    @Override
    public long transferTo(long count, ByteBuffer throughBuffer, StreamSinkChannel target)
            throws IOException {
        long allowed = Math.min(count, allowance());
        if (allowed <= 0) {
            throughBuffer.position(throughBuffer.limit());
            return 0;
        }
        long bytesRead = super.transferTo(allowed, throughBuffer, target);
        bytesLeft -= (int) Math.max(0, bytesRead);
        return bytesRead;
    }
}
