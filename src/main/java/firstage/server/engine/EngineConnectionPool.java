package firstage.server.engine;

import firstage.server.TickClock;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;

/**
 * The connections to one engine. They belong to its id: another may get its address when it is
 * gone.
 */
final class EngineConnectionPool {
    /**
     * Tenths of a millisecond: engines answer a call for news after 250 ms, and the way there and
     * back.
     */
    private static final long TRUSTED = 4_000;

    /**
     * Tenths of a millisecond between a page and the next call: a second copy of it shows within
     * that, and would pass for another's rows. What must not be mistaken (a statement, a DELETE)
     * waits so long after any answer.
     */
    private static final long REST = 100;

    /**
     * Tenths of a millisecond: engines hold a call for 250 ms, so the true answer behind a copy
     * comes within this.
     */
    private static final long DOUBT = 3_000;

    private final EngineClients engines;
    private final TickClock clock;
    final InetSocketAddress address;
    private final String host;

    /** The one that was used last is used next: the others age and are closed. */
    private final ArrayDeque<EngineConnection> idle = new ArrayDeque<>();

    private final Set<EngineConnection> all = new HashSet<>();
    private int connecting;

    /** Dispatches whose statement was written here and that are not over. */
    private int running;

    private long heard = Long.MIN_VALUE / 2;
    private boolean leaving;
    private boolean closed;

    EngineConnectionPool(EngineClients engines, TickClock clock, InetSocketAddress address) {
        this.engines = engines;
        this.clock = clock;
        this.address = address;
        this.host = address.getHostString() + ":" + address.getPort();
    }

    /**
     * Starts something on an idle connection while the engine was heard of late, else on a new one:
     * the open connections of a vanished machine stay open, and what is written there is lost
     * without a trace, while a connection that does not come up proves that nothing ran.
     */
    void start(EngineCall call) {
        call(call, clock.now() - heard > TRUSTED, true);
    }

    /** An engine sent something. */
    void heard() {
        heard = clock.now();
    }

    /**
     * Makes the call on an idle connection, else on a new one; {@code fresh} asks for a new one.
     */
    void call(EngineCall call, boolean fresh) {
        call(call, fresh, false);
    }

    /**
     * The same; {@code unmistaken}: only on a connection that was quiet for long enough since any
     * answer.
     */
    void call(EngineCall call, boolean fresh, boolean unmistaken) {
        sweep();
        if (!call.wanted()) {
            engines.io.execute(() -> call.failed(EngineCall.Failure.UNWANTED));
            return;
        }
        EngineConnection ready = fresh ? null : ready(unmistaken);
        if (ready != null) {
            ready.send(call, host);
        } else if (engines.takeSlot()) {
            connect(call);
        } else {
            engines.io.execute(() -> call.failed(EngineCall.Failure.NO_ROOM));
        }
    }

    /**
     * An idle connection; one that rests where it must be: a draining engine may take no new
     * connections.
     */
    private EngineConnection ready(boolean unmistaken) {
        EngineConnection rested = latest(clock.now(), unmistaken);
        return rested == null && (leaving || engines.full())
                ? latest(Long.MAX_VALUE, unmistaken)
                : rested;
    }

    /**
     * The idle connection that was used last, of those that rest until then, with nothing amiss.
     */
    private EngineConnection latest(long restsUntil, boolean unmistaken) {
        Iterator<EngineConnection> latest = idle.descendingIterator();
        while (latest.hasNext()) {
            EngineConnection c = latest.next();
            boolean rested = !unmistaken || clock.now() - c.idleSince >= REST;
            if (clock.now() >= c.doubtUntil && c.restsUntil <= restsUntil && rested) {
                latest.remove();
                if (c.quiet()) {
                    return c;
                }
                c.close();
                gone(c);
            }
        }
        return null;
    }

    private void connect(EngineCall call) {
        connecting++;
        engines.opens(this);
        IoFuture<? extends StreamConnection> coming =
                engines.io.openStreamConnection(
                        address, null, OptionMap.create(Options.TCP_NODELAY, true));
        XnioExecutor.Key late =
                engines.io.executeAfter(coming::cancel, engines.connectMs, TimeUnit.MILLISECONDS);
        // Told on this thread, after what is at hand: a refusal may be known before this call
        // returns.
        coming.addNotifier(
                (future, none) ->
                        engines.io.execute(
                                () -> {
                                    late.remove();
                                    connecting--;
                                    if (future.getStatus() == IoFuture.Status.DONE) {
                                        up(call, future);
                                    } else {
                                        engines.freeSlot();
                                        call.failed(
                                                future.getStatus() != IoFuture.Status.FAILED
                                                        ? EngineCall.Failure.UNREACHED
                                                        : future.getException()
                                                                        instanceof ConnectException
                                                                ? EngineCall.Failure.REFUSED
                                                                : future.getException()
                                                                                instanceof
                                                                                SocketException
                                                                        ? EngineCall.Failure.RESET
                                                                        : EngineCall.Failure
                                                                                .UNREACHED);
                                    }
                                }),
                null);
    }

    private void up(EngineCall call, IoFuture<? extends StreamConnection> future) {
        try {
            EngineConnection c =
                    new EngineConnection(this, engines.io, engines.shared, future.get());
            all.add(c);
            if (call.wanted()) {
                c.send(call, host);
            } else {
                idle(c, false);
                call.failed(EngineCall.Failure.UNWANTED);
            }
        } catch (IOException fault) {
            engines.freeSlot();
            call.failed(EngineCall.Failure.UNREACHED);
        }
    }

    /** Whether a connection to it is up: a dying process resets all. */
    boolean lives() {
        return !all.isEmpty();
    }

    /** Its connections: in use, idle, or coming up. */
    int held() {
        return all.size() + connecting;
    }

    /** A dispatch begins to run here. */
    void runs() {
        running++;
    }

    /** It runs no more. */
    void ran() {
        running--;
    }

    /**
     * Whether it is the last connection while a dispatch runs here. It is not thrown away for a
     * doubt: an engine that drains takes no new one, often before the list says so, and what runs
     * there could never be asked for again; a once-only batch would be lost and its key held up.
     */
    boolean lastWhileRunning() {
        return running > 0 && all.size() == 1;
    }

    /**
     * Not to be used until the true answer behind a copy would have come; its stray bytes then
     * close it.
     */
    void doubted(EngineConnection c) {
        c.doubtUntil = clock.now() + DOUBT;
        idle(c, false);
    }

    void idle(EngineConnection c, boolean rests) {
        if (closed) {
            c.close();
            gone(c);
        } else {
            c.idleSince = clock.now();
            c.restsUntil = c.idleSince + (rests ? REST : 0);
            idle.addLast(c);
        }
    }

    void gone(EngineConnection c) {
        if (all.remove(c)) {
            idle.remove(c);
            engines.freeSlot();
        }
    }

    /**
     * An answer that came at once, where engines hold a call: it may be a second copy of the one
     * before it.
     */
    boolean hasty(EngineResponse response, long since) {
        return response.status() == 202 && clock.now() - since < REST;
    }

    long now() {
        return clock.now();
    }

    /** Closes what was idle so long that the engine might close it under a call. */
    void sweep() {
        while (!idle.isEmpty() && clock.now() - idle.peekFirst().idleSince > engines.mostIdle) {
            EngineConnection c = idle.peekFirst();
            c.close();
            gone(c);
        }
    }

    /** Closes the connection that was idle longest; false without one. */
    boolean closeOldest() {
        EngineConnection c = idle.peekFirst();
        boolean spared = c != null && !lastWhileRunning();
        if (spared) {
            c.close();
            gone(c);
        }
        return spared;
    }

    /** Nothing new is to be started there; what runs is asked for still. */
    void leaving() {
        leaving = true;
    }

    boolean isLeaving() {
        return leaving;
    }

    boolean closed() {
        return closed;
    }

    /** Its idle connections are closed now, the others when their call ends. */
    void close() {
        closed = true;
        for (EngineConnection c : Set.copyOf(idle)) {
            c.close();
            gone(c);
        }
    }
}
