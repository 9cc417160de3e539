package firstage.net.clients;

import firstage.net.Exchange;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.io.IoCallback;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * A batch as its client sees it. The client's call is held until there is an answer; where that takes long, the
 * client gets a path to ask at instead, so that a connection that breaks costs a call and not the batch. The
 * connection is read while a call is held, which Undertow does not do by itself: a client with no path yet that
 * gives up closes it, and is owed nothing from then on.
 */
final class PendingCall implements Exchange.Reply {
    private static final HttpString WAIT = new HttpString("X-Wait-Ms");
    private static final byte[] FAILED = "{\"err\":\"Failed\"}\n".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] BUSY = "{\"err\":\"Busy\"}\n".getBytes(StandardCharsets.US_ASCII);
    /** A first call is held so long: as the engines hold theirs. */
    private static final long FIRST_HELD_MS = 250;
    /** A client calls again at once, three times at most; so long it may take, and an answer be asked for anew. */
    private static final long AGAIN_MS = 2_000;

    private record Answer(int status, long comeBack, ByteBuffer body) {
    }

    private final ClientDoor door;
    private final String id;
    private final String path;
    private Exchange batch;
    /** The calls that are held: one, but where a client lost a connection and calls on another. */
    private final List<Held> held = new ArrayList<>();
    private Answer answer;
    private boolean given;
    /** When nothing happens until then: the path is given, or the client taken as gone. */
    private XnioExecutor.Key timer;

    PendingCall(ClientDoor door, String id, String path) {
        this.door = door;
        this.id = id;
        this.path = path;
    }

    String id() {
        return id;
    }

    String path() {
        return path;
    }

    void start(Exchange started, HttpServerExchange first) {
        batch = started;
        held.add(new Held(first));
        after(FIRST_HELD_MS, this::givePath);
    }

    private void after(long ms, Runnable task) {
        if (timer != null) {
            timer.remove();
        }
        timer = door.io.executeAfter(task, ms, TimeUnit.MILLISECONDS);
    }

    private void givePath() {
        if (!held.isEmpty() && answer == null) {
            HttpServerExchange x = held.get(0).release();
            door.send(x, ByteBuffer.wrap(("{\"poll\":\"" + path + "\"}").getBytes(StandardCharsets.US_ASCII)),
                    IoCallback.END_EXCHANGE);
            after(AGAIN_MS, this::gone);
        }
    }

    /**
     * The client asks at the path. Where an earlier call is still held, the client gave its connection up, but
     * which of the two is the later one can't be told by when they come in: both are held, and both answered.
     */
    void asked(HttpServerExchange x) {
        held.add(new Held(x));
        if (answer != null) {
            give();
        } else if (timer != null) {
            timer.remove();
            timer = null;
        }
    }

    /** The client gave up by the path. */
    void gaveUp() {
        gone();
    }

    /** A call that waits, and its connection that is read meanwhile. */
    private final class Held {
        private final HttpServerExchange x;
        private final AbstractServerConnection connection;

        Held(HttpServerExchange x) {
            this.x = x;
            connection = (AbstractServerConnection) x.getConnection();
            connection.getChannel().getSourceChannel().setReadListener(this::readable);
            connection.getOriginalSourceConduit().resumeReads();
        }

        /** It is held no more. */
        HttpServerExchange release() {
            held.remove(this);
            connection.getOriginalSourceConduit().suspendReads();
            connection.getChannel().getSourceChannel().setReadListener(null);
            return x;
        }

        void close() {
            release();
            IoUtils.safeClose(connection);
            x.endExchange();
        }

        boolean atPath() {
            return !x.getRequestMethod().equals(Methods.POST);
        }

        private void readable(ConduitStreamSourceChannel source) {
            try (PooledByteBuffer pooled = connection.getByteBufferPool().allocate()) {
                int n = connection.getOriginalSourceConduit().read(pooled.getBuffer());
                if (n < 0) {
                    broken(this);
                } else if (n > 0) {
                    // The next call before the answer to this one: that is no client of ours.
                    door.endWith(release(), 400, "one call at a time");
                    gone();
                }
            } catch (IOException fault) {
                broken(this);
            }
        }
    }

    private void broken(Held call) {
        call.close();
        if (!call.atPath()) {
            gone();
        } else if (held.isEmpty()) {
            door.counters.count("held calls broken");
            after(AGAIN_MS, this::gone);
        }
    }

    /** Ends it for good: nobody asks any more. */
    private void gone() {
        if (timer != null) {
            timer.remove();
        }
        List.copyOf(held).forEach(Held::close);
        door.over(this, given);
        if (answer == null) {
            answer = new Answer(500, 0, ByteBuffer.wrap(FAILED));
            door.tidings.left(batch);
        }
    }

    @Override
    public void returned(List<byte[]> pages) {
        answer(new Answer(200, 0, Rows.answer(pages)));
    }

    @Override
    public void pushedBack(long comeBack) {
        answer(new Answer(503, comeBack, ByteBuffer.wrap(BUSY)));
    }

    @Override
    public void errored() {
        answer(new Answer(500, 0, ByteBuffer.wrap(FAILED)));
    }

    private void answer(Answer all) {
        answer = all;
        if (!held.isEmpty()) {
            give();
        }
    }

    /** Gives the answer to what is held, and keeps it for a call that is made again. */
    private void give() {
        if (!given) {
            given = true;
            door.given(this);
        }
        boolean atPath = held.stream().allMatch(Held::atPath);
        for (Held call : List.copyOf(held)) {
            HttpServerExchange x = call.release();
            if (answer.comeBack() > 0) {
                x.getResponseHeaders().put(WAIT, answer.comeBack() / 10);
            }
            x.setStatusCode(answer.status());
            x.setPersistent(x.isPersistent() && !door.closing());
            door.send(x, answer.body().duplicate(), IoCallback.END_EXCHANGE);
        }
        if (atPath) {
            after(AGAIN_MS, this::gone);
        } else {
            timer.remove();
            door.over(this, true);
        }
    }
}
