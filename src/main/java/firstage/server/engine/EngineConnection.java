package firstage.server.engine;

import firstage.lifecycle.SendGuard.Verdict;
import firstage.server.ActionGuard;
import firstage.server.InterruptSafeConduits;
import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * A connection to an engine, which carries one call at a time. Owned by the I/O thread; times are
 * ticks.
 */
final class EngineConnection {
    private static final byte[] HTTP_VERSION_PREFIX = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);

    /** Part of the system's message that the other side reset the connection. */
    private static final String RESET_MESSAGE = "reset";

    /**
     * Maximum number of buffers that are read in a selector pass; more than the longest response.
     * The selector reports the connection again if there is more.
     */
    private static final int MAX_READS_PER_PASS = 8;

    private final EngineConnectionPool pool;
    private final XnioIoThread io;
    private final ActionGuard guard;
    private final ByteBuffer readBuffer;
    private final StreamConnection channel;

    /** Time at which the connection was established. */
    final long openedAt;

    /** Local address of the connection, for the log. */
    final SocketAddress localAddress;

    private EngineCall call;
    private EngineResponseReader reader;
    private ByteBuffer unsentBytes;
    private XnioExecutor.Key responseTimeout;
    private boolean closed;
    private long sentAt;

    /** Time at which the last call ended. */
    long idleSince;

    /** Time until which the genuine response may arrive if the last one was a duplicate. */
    long quarantinedUntil;

    /** Last complete response; null before the first. */
    private EngineResponse lastResponse;

    /** Attempt whose call had the last response; null before the first. */
    private AttemptRunner lastAttempt;

    /**
     * Takes over an established connection and starts to read from it.
     *
     * @param readBuffer buffer shared by all connections of the I/O thread; empty between events
     */
    EngineConnection(
            EngineConnectionPool pool,
            XnioIoThread io,
            ActionGuard guard,
            ByteBuffer readBuffer,
            StreamConnection channel) {
        this.pool = pool;
        this.io = io;
        this.guard = guard;
        this.readBuffer = readBuffer;
        this.channel = channel;
        openedAt = pool.now();
        localAddress = channel.getLocalAddress();
        InterruptSafeConduits.installOn(channel);
        channel.getSourceChannel().setReadListener(this::onReadable);
        channel.getSinkChannel().setWriteListener(this::onWritable);
        channel.getSourceChannel().resumeReads();
    }

    /**
     * Returns whether no bytes arrived since the last response. Such bytes would be taken for the
     * response to the next call.
     */
    boolean hasNoUnreadBytes() {
        try {
            readBuffer.clear();
            return channel.getSourceChannel().read(readBuffer) == 0;
        } catch (IOException exception) {
            return false;
        }
    }

    boolean isClosed() {
        return closed;
    }

    /**
     * Returns whether a duplicate of the last response, if it still came, would do no harm to a
     * call of this attempt: it would tell the attempt once more that its statement runs.
     */
    boolean mayFollowAtOnce(AttemptRunner attempt) {
        return lastResponse == null
                || lastAttempt == attempt && lastResponse.status() == EngineProtocol.RUNNING;
    }

    /**
     * Writes a call if {@link EngineCall#checkSend} allows it now. Everything else is done before
     * the check or after the write: a process that is paused between the two sends the call on
     * outdated knowledge.
     */
    Verdict sendIfAllowed(EngineCall next, String host) {
        ByteBuffer encoded = next.encode(host);
        EngineResponseReader nextReader = new EngineResponseReader();
        ConduitStreamSinkChannel sink = channel.getSinkChannel();
        Verdict verdict = next.checkSend();
        if (verdict != Verdict.SEND) {
            return verdict;
        }
        IOException failure = null;
        try {
            sink.write(encoded);
        } catch (IOException exception) {
            failure = exception;
        }
        call = next;
        reader = nextReader;
        unsentBytes = encoded;
        sentAt = pool.now();
        next.onWriting(this);
        next.onWriteStarted();
        if (failure == null) {
            write(sink);
        } else {
            onWriteFailed(sink);
        }
        responseTimeout =
                guard.executeAfter(next.timeoutMs, () -> fail(EngineCall.Failure.RESPONSE_TIMEOUT));
        return verdict;
    }

    private void onWritable(ConduitStreamSinkChannel sink) {
        if (unsentBytes == null || call == null) {
            sink.suspendWrites();
            return;
        }
        Verdict verdict = call.checkRemainder();
        if (verdict == Verdict.SEND) {
            write(sink);
        } else if (verdict == Verdict.RENEW) {
            sink.suspendWrites();
            guard.runAfterPendingReads(() -> onWritable(sink));
        } else {
            // The engine never receives the complete statement, so it does not start to run it.
            call.onRefused(verdict);
            fail(EngineCall.Failure.SEND_REFUSED);
        }
    }

    private void write(ConduitStreamSinkChannel sink) {
        try {
            while (unsentBytes.hasRemaining()) {
                if (sink.write(unsentBytes) == 0) {
                    sink.resumeWrites();
                    return;
                }
            }
            sink.flush();
            unsentBytes = null;
            sink.suspendWrites();
            call.onWriteCompleted();
        } catch (IOException exception) {
            onWriteFailed(sink);
        }
    }

    /** Reads from the connection after a failed write, since a response may have arrived. */
    private void onWriteFailed(ConduitStreamSinkChannel sink) {
        unsentBytes = null;
        sink.suspendWrites();
        io.execute(() -> onReadable(channel.getSourceChannel()));
    }

    private void onReadable(ConduitStreamSourceChannel source) {
        try {
            for (int reads = 0; reads < MAX_READS_PER_PASS && !closed; reads++) {
                readBuffer.clear();
                int bytesRead = source.read(readBuffer);
                if (bytesRead == 0) {
                    return;
                }
                if (bytesRead < 0) {
                    fail(EngineCall.Failure.ENDED_BY_ENGINE);
                    return;
                }
                pool.onBytesReceived();
                readBuffer.flip();
                if (call == null) {
                    // Bytes without a call: no later response on this connection can be trusted.
                    fail(EngineCall.Failure.MALFORMED_RESPONSE);
                } else if (reader.read(readBuffer)) {
                    onResponseComplete();
                }
            }
        } catch (MalformedResponseException exception) {
            fail(EngineCall.Failure.MALFORMED_RESPONSE);
        } catch (IOException exception) {
            // Reset, timeout and unreachable host differ only in the message of the exception.
            boolean reset = String.valueOf(exception.getMessage()).contains(RESET_MESSAGE);
            fail(reset ? EngineCall.Failure.ENDED_BY_ENGINE : EngineCall.Failure.CONNECTION_BROKEN);
        }
    }

    private void onResponseComplete() {
        EngineCall completedCall = call;
        boolean hasTrailingBytes = readBuffer.hasRemaining();
        // Trailing bytes that begin another response are a duplicate; this response is complete.
        boolean trailingDuplicate =
                readBuffer.remaining() >= HTTP_VERSION_PREFIX.length
                        && ByteBuffer.wrap(HTTP_VERSION_PREFIX)
                                .equals(
                                        readBuffer.slice(
                                                readBuffer.position(), HTTP_VERSION_PREFIX.length));
        EngineResponse response = reader.response(hasTrailingBytes && !trailingDuplicate);
        clearCall();
        boolean suspectedDuplicate = pool.isSuspectedDuplicate(response, sentAt);
        boolean sameAsLast = lastResponse != null && response.isSameAs(lastResponse);
        lastResponse = response;
        lastAttempt = completedCall.attempt;
        if (hasTrailingBytes
                || unsentBytes != null
                || response.closesConnection()
                || suspectedDuplicate && !pool.isOnlyConnectionWhileRunning()) {
            close();
            pool.onClosed(this, "response not trusted, or its last");
        } else if (suspectedDuplicate && sameAsLast) {
            pool.onSuspectedDuplicate(this);
        } else {
            pool.addIdle(this);
        }
        completedCall.onResponse(response);
    }

    private void fail(EngineCall.Failure failure) {
        EngineCall completedCall = call;
        clearCall();
        close();
        pool.onClosed(
                this,
                failure + " call=" + (completedCall == null ? "-" : completedCall.requestLine));
        if (completedCall != null) {
            completedCall.onFailure(failure);
        }
    }

    private void clearCall() {
        if (responseTimeout != null) {
            responseTimeout.remove();
        }
        responseTimeout = null;
        call = null;
        reader = null;
    }

    /** Returns when the latest call was written. */
    long callWrittenAt() {
        return sentAt;
    }

    void close() {
        closed = true;
        IoUtils.safeClose(channel);
    }
}
