package firstage.net.clients;

import firstage.net.Exchange;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.xnio.IoUtils;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * A client's call that waits for its answer. The connection is read meanwhile, which Undertow does not do by
 * itself: a client that gives up closes it, and is owed nothing from then on.
 */
final class PendingCall implements Exchange.Reply {
    private static final HttpString WAIT = new HttpString("X-Wait-Ms");
    private static final byte[] FAILED = "{\"err\":\"Failed\"}\n".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] BUSY = "{\"err\":\"Busy\"}\n".getBytes(StandardCharsets.US_ASCII);
    private final ClientDoor door;
    private final HttpServerExchange x;
    private final AbstractServerConnection connection;
    private Exchange batch;

    PendingCall(ClientDoor door, HttpServerExchange x) {
        this.door = door;
        this.x = x;
        this.connection = (AbstractServerConnection) x.getConnection();
    }

    void watch(Exchange batch) {
        this.batch = batch;
        connection.getChannel().getSourceChannel().setReadListener(this::readable);
        connection.getOriginalSourceConduit().resumeReads();
    }

    private void unwatch() {
        connection.getOriginalSourceConduit().suspendReads();
        connection.getChannel().getSourceChannel().setReadListener(null);
    }

    private void readable(ConduitStreamSourceChannel source) {
        PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
        boolean kept = false;
        try {
            int n = connection.getOriginalSourceConduit().read(pooled.getBuffer());
            if (n < 0) {
                left();
            } else if (n > 0) {
                // The next call, early: it waits for its turn, and the close of this client goes unnoticed.
                pooled.getBuffer().flip();
                connection.setExtraBytes(pooled);
                kept = true;
                unwatch();
            }
        } catch (IOException fault) {
            left();
        } finally {
            if (!kept) {
                pooled.close();
            }
        }
    }

    private void left() {
        unwatch();
        IoUtils.safeClose(connection);
        door.answered();
        x.endExchange();
        door.tidings.left(batch);
    }

    @Override
    public void returned(List<byte[]> pages) {
        answer(200, Rows.answer(pages));
    }

    @Override
    public void pushedBack(long comeBack) {
        if (comeBack > 0) {
            x.getResponseHeaders().put(WAIT, comeBack / 10);
        }
        answer(503, ByteBuffer.wrap(BUSY));
    }

    @Override
    public void errored() {
        answer(500, ByteBuffer.wrap(FAILED));
    }

    private void answer(int status, ByteBuffer body) {
        unwatch();
        door.answered();
        x.setStatusCode(status);
        x.setPersistent(x.isPersistent() && !door.closing());
        ClientDoor.send(x, body);
    }
}
