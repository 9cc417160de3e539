package firstage.server.engine;

import firstage.lifecycle.SendGuard.Verdict;
import firstage.server.ActionGuard;
import firstage.server.InterruptedCalls;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;

/** A connection to an engine: one call at a time. Owned by the I/O thread; times are ticks. */
final class EngineConnection {
    private static final byte[] HTTP_VERSION_PREFIX = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);
    private final EngineConnectionPool pool;
    private final XnioIoThread io;
    private final ActionGuard guard;
    private final ByteBuffer readBuffer;
    private final StreamConnection channel;
    private EngineCall call;
    private EngineResponseReader reader;
    private ByteBuffer unsentBytes;
    private XnioExecutor.Key responseTimeout;
    private boolean closed;
    private long sentAt;

    /** When its last call ended. */
    long idleSince;

    /** Until when a duplicate of its last response may come. */
    long quietUntil;

    /** Until when the true response could come, where the last may have been a duplicate. */
    long doubtUntil;

    /** Its last complete response; null before the first. */
    private EngineResponse lastResponse;

    /** {@code readBuffer} is one buffer of the thread, empty between events. */
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
        InterruptedCalls.shield(channel);
        channel.getSourceChannel().setReadListener(this::onReadable);
        channel.getSinkChannel().setWriteListener(this::onWritable);
        channel.getSourceChannel().resumeReads();
    }

    /**
     * Whether nothing came since its last response: what did would be taken for the response to the
     * next call.
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
     * Makes a call if it may be made at this instant. All else is done before or after: a process
     * that is stopped between the check and the write sends on what was known before.
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
        next.onWriting();
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
        Verdict verdict = call.checkRest();
        if (verdict == Verdict.SEND) {
            write(sink);
        } else if (verdict == Verdict.RENEW) {
            sink.suspendWrites();
            guard.runAfterPendingReads(() -> onWritable(sink));
        } else {
            // The engine never gets the whole of it, so it does not begin.
            call.onRefused(verdict);
            fail(EngineCall.Failure.NO_LONGER_WANTED);
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
            call.onWritten();
        } catch (IOException exception) {
            onWriteFailed(sink);
        }
    }

    /** Its response may be there all the same: reading shows. */
    private void onWriteFailed(ConduitStreamSinkChannel sink) {
        unsentBytes = null;
        sink.suspendWrites();
        io.execute(() -> onReadable(channel.getSourceChannel()));
    }

    private void onReadable(ConduitStreamSourceChannel source) {
        try {
            while (!closed) {
                readBuffer.clear();
                int bytesRead = source.read(readBuffer);
                if (bytesRead == 0) {
                    return;
                }
                if (bytesRead < 0) {
                    fail(EngineCall.Failure.CONNECTION_BROKEN);
                    return;
                }
                pool.lastResponseAt();
                readBuffer.flip();
                if (call == null) {
                    // Bytes without a call: nothing on this connection can be trusted.
                    fail(EngineCall.Failure.MALFORMED_RESPONSE);
                } else if (reader.read(readBuffer)) {
                    onResponseComplete();
                }
            }
        } catch (MalformedResponseException exception) {
            fail(EngineCall.Failure.MALFORMED_RESPONSE);
        } catch (IOException exception) {
            // Reset, timed out, unreachable: the connection is gone, whatever its error is called.
            fail(EngineCall.Failure.CONNECTION_BROKEN);
        }
    }

    private void onResponseComplete() {
        EngineCall completedCall = call;
        boolean hasTrailingBytes = readBuffer.hasRemaining();
        // A duplicate of the response shows that the first was complete.
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
        if (hasTrailingBytes
                || unsentBytes != null
                || response.closesConnection()
                || suspectedDuplicate && !pool.isOnlyConnectionWhileRunning()) {
            close();
            pool.onClosed(this);
        } else if (suspectedDuplicate && sameAsLast) {
            pool.onSuspectedDuplicate(this);
        } else {
            pool.idle(this, response.status() == 200);
        }
        completedCall.onResponse(response);
    }

    private void fail(EngineCall.Failure failure) {
        EngineCall completedCall = call;
        clearCall();
        close();
        pool.onClosed(this);
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

    void close() {
        closed = true;
        IoUtils.safeClose(channel);
    }
}
