package firstage.server.client;

import firstage.lifecycle.ClientCallStateMachine;
import firstage.server.RequestExchange;
import io.undertow.connector.PooledByteBuffer;
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
 * Carries the life of a client's call over HTTP. The connection is read while a call is held, which
 * Undertow does not do by itself: a client that gives up closes it.
 */
final class PendingCall implements RequestExchange.Reply, ClientCallStateMachine.Carrier {
    static final HttpString WAIT = new HttpString("X-Wait-Ms");
    private static final byte[] FAILED =
            "{\"err\":\"Failed\"}\n".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] BUSY = "{\"err\":\"Busy\"}\n".getBytes(StandardCharsets.US_ASCII);

    private record Answer(int status, long comeBack, ByteBuffer body) {}

    private final ClientHandler door;
    private final String id;
    private final String path;
    private final ClientCallStateMachine life = new ClientCallStateMachine(this);
    private RequestExchange batch;

    /** The calls that are held: one, but where a client lost a connection and calls on another. */
    private final List<Held> held = new ArrayList<>();

    private Answer answer;
    private boolean given;
    private XnioExecutor.Key timer;

    PendingCall(ClientHandler door, String id, String path) {
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

    /**
     * Bytes that are kept for this client: its statement until it is over, its answer until nobody
     * asks any more.
     */
    int bytes() {
        return batch.statement.length + (answer == null ? 0 : answer.body.remaining());
    }

    void start(RequestExchange started, HttpServerExchange first) {
        batch = started;
        held.add(new Held(first));
        life.start();
    }

    /** The client asks at the path. */
    void asked(HttpServerExchange x) {
        held.add(new Held(x));
        batch.present();
        life.asked();
    }

    /** The client gave up by the path. */
    void gaveUp() {
        life.gaveUp();
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
                    life.gaveUp();
                }
            } catch (IOException fault) {
                broken(this);
            }
        }
    }

    private void broken(Held call) {
        call.close();
        if (held.isEmpty()) {
            batch.absent(door.now());
        }
        if (!call.atPath()) {
            life.firstBroke();
        } else if (held.isEmpty()) {
            door.counters.count("held calls broken");
            life.lastBroke();
        }
    }

    // ---- What the life does.
    @Override
    public void givePath() {
        HttpServerExchange x = held.get(0).release();
        batch.absent(door.now());
        door.send(
                x,
                ByteBuffer.wrap(
                        ("{\"poll\":\"" + path + "\"}").getBytes(StandardCharsets.US_ASCII)));
    }

    @Override
    public void give() {
        if (!given) {
            given = true;
            door.given(this);
        }
        answerHeld(answer, !door.closing());
    }

    private void answerHeld(Answer with, boolean goesOn) {
        for (Held call : List.copyOf(held)) {
            HttpServerExchange x = call.release();
            if (with.comeBack() > 0) {
                x.getResponseHeaders().put(WAIT, with.comeBack() / 10);
            }
            x.setStatusCode(with.status());
            x.setPersistent(x.isPersistent() && goesOn);
            door.send(x, with.body().duplicate());
        }
    }

    @Override
    public void arm(long delay) {
        disarm();
        timer = door.io.executeAfter(life::due, delay / 10, TimeUnit.MILLISECONDS);
    }

    @Override
    public void disarm() {
        if (timer != null) {
            timer.remove();
            timer = null;
        }
    }

    @Override
    public void closeHeld() {
        List.copyOf(held).forEach(Held::close);
    }

    @Override
    public void failHeld() {
        answerHeld(new Answer(500, 0, ByteBuffer.wrap(FAILED)), false);
    }

    @Override
    public void away() {
        door.counters.count("clients away");
        door.tidings.away(batch, true);
    }

    @Override
    public void back() {
        door.counters.count("clients back");
        door.tidings.away(batch, false);
    }

    @Override
    public void left() {
        door.tidings.left(batch);
    }

    @Override
    public void forget() {
        door.over(this, given);
    }

    // ---- The batch's answer.
    @Override
    public void returned(List<byte[]> pages) {
        answer(new Answer(200, 0, JsonRows.answer(pages)));
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
        door.kept(all.body.remaining());
        life.answer();
    }
}
