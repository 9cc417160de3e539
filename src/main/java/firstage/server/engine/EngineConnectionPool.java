package firstage.server.engine;

import firstage.lifecycle.SendGuard.Verdict;
import firstage.server.TickClock;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Set;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;

/**
 * The connections to one engine. They belong to its id: another engine may get its address when it
 * is gone. Owned by the I/O thread; times are ticks.
 */
final class EngineConnectionPool {
    /** Engines answer a poll after 250 ms; the rest is for the round trip. */
    private static final long TRUST_PERIOD = 4_000;

    /**
     * Between a page and the next call: a duplicate of it shows within that, and would pass for
     * another's rows. A call that must not be mistaken (a statement, a DELETE) waits so long after
     * any response.
     */
    private static final long QUIET_PERIOD = 100;

    /**
     * Engines hold a poll for 250 ms, so the true response behind a duplicate comes within this.
     */
    private static final long DOUBT_PERIOD = 3_000;

    /** How often what is known is renewed for one send, on a machine that is very busy. */
    private static final int MAX_RENEWALS = 3;

    private final EngineContext context;
    private final ConnectionBudget budget;
    private final TickClock clock;
    final InetSocketAddress address;
    private final String host;

    /** The one that was used last is used next: the others age and are closed. */
    private final ArrayDeque<EngineConnection> idle = new ArrayDeque<>();

    private final Set<EngineConnection> all = new HashSet<>();
    private int connecting;

    /** Attempts whose statement was written here and that were not released. */
    private int runningAttempts;

    private long lastResponseAt = Long.MIN_VALUE / 2;
    private boolean draining;
    private boolean closed;

    EngineConnectionPool(
            EngineContext context, ConnectionBudget budget, InetSocketAddress address) {
        this.context = context;
        this.budget = budget;
        this.clock = context.clock();
        this.address = address;
        this.host = address.getHostString() + ":" + address.getPort();
    }

    /**
     * Makes a call that must not be lost unnoticed: on an idle connection while the engine
     * responded of late, else on a new one. The open connections of a vanished machine stay open,
     * and what is written there is lost, while a connection that does not come up proves that
     * nothing ran.
     */
    void startCall(EngineCall call) {
        call(call, clock.now() - lastResponseAt > TRUST_PERIOD, true);
    }

    /** The engine sent something. */
    void lastResponseAt() {
        lastResponseAt = clock.now();
    }

    /** Makes the call on an idle connection, else on a new one. */
    void call(EngineCall call, boolean onNewConnection) {
        call(call, onNewConnection, false);
    }

    /**
     * The same; {@code requireQuiet}: only on a connection that was quiet for long enough since its
     * last response.
     */
    void call(EngineCall call, boolean onNewConnection, boolean requireQuiet) {
        closeIdleTooLong();
        EngineConnection ready = onNewConnection ? null : findReady(requireQuiet);
        if (ready != null) {
            sendIfAllowed(ready, call, 0);
            return;
        }
        Verdict verdict = call.checkSend();
        if (verdict.isRefusal()) {
            refuse(call, verdict);
        } else if (budget.reserve()) {
            connect(call);
        } else {
            context.io().execute(() -> call.onFailure(EngineCall.Failure.NO_FREE_CONNECTION));
        }
    }

    private void refuse(EngineCall call, Verdict reason) {
        call.onRefused(reason);
        context.io().execute(() -> call.onFailure(EngineCall.Failure.NO_LONGER_WANTED));
    }

    /** Asks at the instant at which the call would be written on this connection. */
    private void sendIfAllowed(EngineConnection connection, EngineCall call, int renewals) {
        if (connection.isClosed()) {
            context.io().execute(() -> call.onFailure(EngineCall.Failure.RESET_BEFORE_SEND));
            return;
        }
        Verdict verdict = connection.sendIfAllowed(call, host);
        if (verdict == Verdict.SEND) {
            return;
        }
        if (verdict == Verdict.RENEW && renewals < MAX_RENEWALS) {
            context.guard()
                    .runAfterPendingReads(() -> sendIfAllowed(connection, call, renewals + 1));
        } else {
            idle(connection, false);
            refuse(call, verdict == Verdict.RENEW ? Verdict.KNOWLEDGE_STALE : verdict);
        }
    }

    /**
     * An idle connection; where no other can be had one that should still stay quiet: a draining
     * engine may accept no new connections.
     */
    private EngineConnection findReady(boolean requireQuiet) {
        EngineConnection quietConnection = mostRecentlyUsed(clock.now(), requireQuiet);
        return quietConnection == null && (draining || budget.isExhausted())
                ? mostRecentlyUsed(Long.MAX_VALUE, requireQuiet)
                : quietConnection;
    }

    /**
     * The idle connection that was used last, of those that may be used by then and have nothing
     * unread.
     */
    private EngineConnection mostRecentlyUsed(long quietBy, boolean requireQuiet) {
        Iterator<EngineConnection> candidates = idle.descendingIterator();
        while (candidates.hasNext()) {
            EngineConnection connection = candidates.next();
            boolean quietLongEnough =
                    !requireQuiet || clock.now() - connection.idleSince >= QUIET_PERIOD;
            if (clock.now() >= connection.doubtUntil
                    && connection.quietUntil <= quietBy
                    && quietLongEnough) {
                candidates.remove();
                if (connection.hasNoUnreadBytes()) {
                    return connection;
                }
                connection.close();
                onClosed(connection);
            }
        }
        return null;
    }

    private void connect(EngineCall call) {
        connecting++;
        budget.onConnecting(this);
        IoFuture<? extends StreamConnection> connectFuture =
                context.io()
                        .openStreamConnection(
                                address, null, OptionMap.create(Options.TCP_NODELAY, true));
        XnioExecutor.Key connectTimeout =
                context.guard().executeAfter(context.connectTimeoutMs(), connectFuture::cancel);
        // Handled on this thread, after the events at hand: a refusal may be known before this
        // call returns.
        connectFuture.addNotifier(
                (future, none) ->
                        context.io()
                                .execute(
                                        () -> {
                                            connectTimeout.remove();
                                            onConnectFinished(call, future);
                                        }),
                null);
    }

    private void onConnectFinished(EngineCall call, IoFuture<? extends StreamConnection> future) {
        connecting--;
        if (future.getStatus() == IoFuture.Status.DONE) {
            onConnected(call, future);
        } else {
            budget.release();
            call.onFailure(failureOf(future));
        }
    }

    private static EngineCall.Failure failureOf(IoFuture<? extends StreamConnection> future) {
        if (future.getStatus() != IoFuture.Status.FAILED) {
            return EngineCall.Failure.CONNECT_TIMEOUT;
        }
        if (!(future.getException() instanceof ConnectException)) {
            return EngineCall.Failure.RESET_BEFORE_SEND;
        }
        // The same exception stands for ECONNREFUSED and ETIMEDOUT.
        return String.valueOf(future.getException().getMessage()).contains("timed out")
                ? EngineCall.Failure.CONNECT_TIMEOUT
                : EngineCall.Failure.CONNECTION_REFUSED;
    }

    private void onConnected(EngineCall call, IoFuture<? extends StreamConnection> future) {
        try {
            EngineConnection connection =
                    new EngineConnection(
                            this,
                            context.io(),
                            context.guard(),
                            context.readBuffer(),
                            future.get());
            all.add(connection);
            sendIfAllowed(connection, call, 0);
        } catch (IOException exception) {
            budget.release();
            call.onFailure(EngineCall.Failure.CONNECT_TIMEOUT);
        }
    }

    /** Whether a connection is open: a process that dies resets all. */
    boolean hasOpenConnection() {
        return !all.isEmpty();
    }

    /** Connections in use, idle, or coming up. */
    int connectionCount() {
        return all.size() + connecting;
    }

    /** A statement was written here. */
    void onAttemptRunning() {
        runningAttempts++;
    }

    /** The attempt makes no more calls. */
    void onAttemptReleased() {
        runningAttempts--;
    }

    /**
     * Whether this is the only connection while an attempt runs here. It is kept even where it is
     * suspect: an engine that drains accepts no new one, often before the endpoint list says so,
     * and what runs there could never be polled again; a non-idempotent request would be lost and
     * its key blocked.
     */
    boolean isOnlyConnectionWhileRunning() {
        return runningAttempts > 0 && all.size() == 1;
    }

    /**
     * Keeps the connection unused until the true response behind a duplicate would have come; its
     * stray bytes then close it.
     */
    void onSuspectedDuplicate(EngineConnection connection) {
        connection.doubtUntil = clock.now() + DOUBT_PERIOD;
        idle(connection, false);
    }

    void idle(EngineConnection connection, boolean mustStayQuiet) {
        if (closed) {
            connection.close();
            onClosed(connection);
        } else {
            connection.idleSince = clock.now();
            connection.quietUntil = connection.idleSince + (mustStayQuiet ? QUIET_PERIOD : 0);
            idle.addLast(connection);
        }
    }

    void onClosed(EngineConnection connection) {
        if (all.remove(connection)) {
            idle.remove(connection);
            budget.release();
        }
    }

    /**
     * Whether a response came at once where engines hold a poll: it may be a duplicate of the one
     * before.
     */
    boolean isSuspectedDuplicate(EngineResponse response, long since) {
        return response.status() == 202 && clock.now() - since < QUIET_PERIOD;
    }

    long now() {
        return clock.now();
    }

    /** Closes what was idle so long that the engine might close it under a call. */
    void closeIdleTooLong() {
        while (!idle.isEmpty() && clock.now() - idle.peekFirst().idleSince > context.maxIdle()) {
            EngineConnection connection = idle.peekFirst();
            connection.close();
            onClosed(connection);
        }
    }

    /** Closes the connection that was idle longest; false without one. */
    boolean closeLongestIdle() {
        EngineConnection connection = idle.peekFirst();
        boolean closable = connection != null && !isOnlyConnectionWhileRunning();
        if (closable) {
            connection.close();
            onClosed(connection);
        }
        return closable;
    }

    /** Starts nothing new here; what runs is polled still. */
    void markDraining() {
        draining = true;
    }

    boolean isDraining() {
        return draining;
    }

    boolean closed() {
        return closed;
    }

    /** Its idle connections are closed now, the others when their call ends. */
    void close() {
        closed = true;
        for (EngineConnection connection : Set.copyOf(idle)) {
            connection.close();
            onClosed(connection);
        }
    }
}
