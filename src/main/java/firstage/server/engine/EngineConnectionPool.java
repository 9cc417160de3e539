package firstage.server.engine;

import firstage.lifecycle.SendGuard.Verdict;
import firstage.server.EventLog;
import firstage.server.TickClock;
import firstage.util.Ticks;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;

/**
 * The connections to one engine at one address. When the endpoint list names the engine again, with
 * another address or a later start, or removes it, its pool is retired: it gets no new statements,
 * and the attempts that run there go on to use its connections, since the list is no proof that
 * their statements have ended. Owned by the I/O thread; times are ticks.
 */
final class EngineConnectionPool {
    /**
     * Time for which the open connections are assumed to work after the engine last sent bytes: 400
     * ms. Engines answer a poll after 250 ms at the latest; the other 150 ms are for the round
     * trip.
     */
    private static final long LIVENESS_PERIOD = 4_000;

    /**
     * Minimum time between a response and the next call on its connection: 10 ms. A duplicate of
     * the response arrives within this time, and would be taken for the response to that call: for
     * rows of another result, or for a refusal of a statement that runs. Only a poll of the same
     * attempt may follow the news that its statement runs at once.
     */
    private static final long QUIET_PERIOD = 100;

    /**
     * Maximum number of times that a call waits for the end of a quiet period if no connection can
     * be opened for it; other calls may take the connection first.
     */
    private static final int MAX_QUIET_WAITS = 5;

    /**
     * Time for which a connection is not used after a suspected duplicate: 300 ms. Engines hold a
     * poll for 250 ms, so the genuine response arrives within this time.
     */
    private static final long QUARANTINE_PERIOD = 3_000;

    /**
     * Maximum number of times that outdated knowledge about a request is renewed for one send; only
     * a very busy machine needs several.
     */
    private static final int MAX_RENEWALS = 3;

    private final EngineContext context;
    private final ConnectionBudget budget;
    private final TickClock clock;
    final InetSocketAddress address;

    /** Id of the engine as it stands in the endpoint list. */
    final String engineName;

    /** Start of the engine's process as listed, in ticks; 0 if long ago. */
    final long startedAt;

    private final String host;

    /** Idle connections; the last used one is reused first, so that the others age and expire. */
    private final ArrayDeque<EngineConnection> idleConnections = new ArrayDeque<>();

    private final Set<EngineConnection> openConnections = new HashSet<>();
    private int connectingCount;

    /** Number of unreleased attempts whose statement was written to this engine. */
    private int runningAttempts;

    private long lastReceivedAt = Long.MIN_VALUE / 2;
    private boolean draining;

    /** Whether the pool gets no new statements and ends with the attempts that use it. */
    private boolean retired;

    /** Whether idle connections are closed even if attempts run, as the program ends. */
    private boolean closed;

    /**
     * Whether another engine has the address, so that no new connections are opened: they would
     * lead to that engine.
     */
    private boolean addressTaken;

    EngineConnectionPool(
            EngineContext context,
            ConnectionBudget budget,
            String engineName,
            InetSocketAddress address,
            long startedAt) {
        this.context = context;
        this.budget = budget;
        this.clock = context.clock();
        this.engineName = engineName;
        this.address = address;
        this.startedAt = startedAt;
        this.host = address.getHostString() + ":" + address.getPort();
    }

    /**
     * Makes a call whose loss must not go unnoticed: on an idle connection if the engine responded
     * recently, else on a new one. The connections to a machine that vanished stay open and lose
     * what is written to them, whereas a failure to connect proves that nothing ran.
     */
    void callOnVerifiedConnection(EngineCall call) {
        call(call, clock.now() - lastReceivedAt > LIVENESS_PERIOD, true, MAX_QUIET_WAITS);
    }

    /** Records that the engine sent bytes. */
    void onBytesReceived() {
        lastReceivedAt = clock.now();
    }

    /**
     * Makes a call on a usable idle connection, or on a new one if there is none or {@code
     * onNewConnection} is set.
     */
    void call(EngineCall call, boolean onNewConnection) {
        call(call, onNewConnection, false);
    }

    /**
     * Makes a call.
     *
     * @param onNewConnection whether to open a new connection even if one is idle
     * @param requireQuiet whether a connection is used only if its last call ended at least {@link
     *     #QUIET_PERIOD} ago, whichever attempt it was for
     */
    void call(EngineCall call, boolean onNewConnection, boolean requireQuiet) {
        call(call, onNewConnection, requireQuiet, 0);
    }

    private void call(
            EngineCall call, boolean onNewConnection, boolean requireQuiet, int quietWaits) {
        closeExpired();
        boolean onOpenConnection = !onNewConnection || addressTaken;
        EngineConnection idleConnection =
                onOpenConnection ? findUsableIdle(call, requireQuiet) : null;
        if (idleConnection != null) {
            sendIfAllowed(idleConnection, call, 0);
            return;
        }
        if (onOpenConnection && quietWaits < MAX_QUIET_WAITS && mustAwaitQuietConnection()) {
            context.io()
                    .executeAfter(
                            () -> call(call, false, requireQuiet, quietWaits + 1),
                            Ticks.toMillis(QUIET_PERIOD),
                            TimeUnit.MILLISECONDS);
            return;
        }
        if (addressTaken) {
            context.io().execute(() -> call.onFailure(EngineCall.Failure.ENGINE_UNREACHABLE));
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
        context.io().execute(() -> call.onFailure(EngineCall.Failure.SEND_REFUSED));
    }

    /**
     * Writes the call on this connection if {@link EngineCall#checkSend} allows it now; otherwise
     * renews outdated knowledge and checks again, or refuses the call.
     */
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
            addIdle(connection);
            refuse(call, verdict == Verdict.RENEW ? Verdict.KNOWLEDGE_STALE : verdict);
        }
    }

    /**
     * Returns whether a call has to wait for an idle connection that must still stay quiet, as no
     * new one can be opened: a draining engine may accept none.
     */
    private boolean mustAwaitQuietConnection() {
        return !idleConnections.isEmpty() && (draining || addressTaken || budget.isExhausted());
    }

    /**
     * Returns the most recently used idle connection that has no unread bytes and does not have to
     * stay quiet, or null. Closes connections on which it finds unread bytes.
     */
    private EngineConnection findUsableIdle(EngineCall call, boolean requireQuiet) {
        EngineConnection preferred = findUsableIdle(call, requireQuiet, true);
        return preferred != null ? preferred : findUsableIdle(call, requireQuiet, false);
    }

    private EngineConnection findUsableIdle(
            EngineCall call, boolean requireQuiet, boolean preferredOnly) {
        Iterator<EngineConnection> candidates = idleConnections.descendingIterator();
        while (candidates.hasNext()) {
            EngineConnection connection = candidates.next();
            if (preferredOnly && !call.prefers(connection)) {
                continue;
            }
            boolean quietLongEnough =
                    clock.now() - connection.idleSince >= QUIET_PERIOD
                            || !requireQuiet && connection.mayFollowAtOnce(call.attempt);
            if (clock.now() >= connection.quarantinedUntil && quietLongEnough) {
                candidates.remove();
                if (connection.hasNoUnreadBytes()) {
                    return connection;
                }
                close(connection, "unread bytes");
            }
        }
        return null;
    }

    private void connect(EngineCall call) {
        connectingCount++;
        budget.onConnecting(this);
        IoFuture<? extends StreamConnection> connectFuture =
                context.io()
                        .openStreamConnection(
                                address, null, OptionMap.create(Options.TCP_NODELAY, true));
        XnioExecutor.Key connectTimeout =
                context.guard().executeAfter(context.connectTimeoutMs(), connectFuture::cancel);
        // Handled as a later event on the I/O thread: a refused connection may be reported before
        // this method returns.
        connectFuture.addNotifier(
                (future, attachment) ->
                        context.io()
                                .execute(
                                        () -> {
                                            connectTimeout.remove();
                                            onConnectFinished(call, future);
                                        }),
                null);
    }

    private void onConnectFinished(EngineCall call, IoFuture<? extends StreamConnection> future) {
        connectingCount--;
        if (future.getStatus() == IoFuture.Status.DONE && addressTaken) {
            dropConnection(call, future);
        } else if (future.getStatus() == IoFuture.Status.DONE) {
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
        // ECONNREFUSED and ETIMEDOUT differ only in the message of the exception.
        return String.valueOf(future.getException().getMessage()).contains("timed out")
                ? EngineCall.Failure.CONNECT_TIMEOUT
                : EngineCall.Failure.CONNECTION_REFUSED;
    }

    /** Another engine must not get a call that was meant for the one before. */
    private void dropConnection(EngineCall call, IoFuture<? extends StreamConnection> future) {
        budget.release();
        try {
            IoUtils.safeClose(future.get());
        } catch (IOException exception) {
            // The connection has failed already.
        }
        call.onFailure(EngineCall.Failure.ENGINE_UNREACHABLE);
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
            openConnections.add(connection);
            sendIfAllowed(connection, call, 0);
        } catch (IOException exception) {
            budget.release();
            call.onFailure(EngineCall.Failure.CONNECT_TIMEOUT);
        }
    }

    /** Returns whether a connection is open; when an engine's process dies, all are reset. */
    boolean hasOpenConnection() {
        return !openConnections.isEmpty();
    }

    /** Returns whether a connection that the predicate accepts is idle. */
    boolean hasIdle(Predicate<EngineConnection> predicate) {
        return idleConnections.stream().anyMatch(predicate);
    }

    /**
     * Returns whether any call may be made now on an idle connection that the predicate accepts.
     */
    boolean hasUsableIdle(Predicate<EngineConnection> predicate) {
        return idleConnections.stream()
                .anyMatch(connection -> isQuiet(connection) && predicate.test(connection));
    }

    private boolean isQuiet(EngineConnection connection) {
        return clock.now() - connection.idleSince >= QUIET_PERIOD
                && clock.now() >= connection.quarantinedUntil;
    }

    /** Returns the number of connections that are in use, idle or being established. */
    int connectionCount() {
        return openConnections.size() + connectingCount;
    }

    /** Records that the statement of an attempt was written to this engine. */
    void onAttemptRunning() {
        runningAttempts++;
    }

    /** Returns the number of attempts whose statement was written and that still make calls. */
    int runningAttempts() {
        return runningAttempts;
    }

    /** Records that an attempt whose statement was written makes no more calls. */
    void onAttemptReleased() {
        runningAttempts--;
        closeIdleIfUnused();
    }

    /**
     * Returns whether a single connection is left while attempts run at the engine. That connection
     * is kept even if it is suspect: a draining engine accepts no new connections, often before the
     * endpoint list reports the drain, and its attempts could never be polled again. A
     * non-idempotent request would be lost and its ordering key blocked.
     */
    boolean isOnlyConnectionWhileRunning() {
        return runningAttempts > 0 && openConnections.size() == 1;
    }

    /**
     * Keeps a connection unused for {@link #QUARANTINE_PERIOD}. If its last response was a
     * duplicate, the genuine one arrives in that time and, since it belongs to no call, closes the
     * connection.
     */
    void onSuspectedDuplicate(EngineConnection connection) {
        connection.quarantinedUntil = clock.now() + QUARANTINE_PERIOD;
        addIdle(connection);
    }

    void addIdle(EngineConnection connection) {
        connection.idleSince = clock.now();
        idleConnections.addLast(connection);
        closeIdleIfUnused();
    }

    /** Closes the idle connections of a pool that no attempt uses any more. */
    private void closeIdleIfUnused() {
        if (closed || retired && runningAttempts == 0) {
            for (EngineConnection connection : Set.copyOf(idleConnections)) {
                close(connection, "engine listed again or removed, or shutdown");
            }
        }
    }

    void onClosed(EngineConnection connection, String cause) {
        if (openConnections.remove(connection)) {
            context.counters()
                    .eventLog()
                    .log(
                            EventLog.Category.CONNECTIONS,
                            () ->
                                    "engine connection closed engine="
                                            + engineName
                                            + " local="
                                            + connection.localAddress
                                            + " cause="
                                            + cause);
            idleConnections.remove(connection);
            budget.release();
        }
    }

    /**
     * Returns whether a poll was answered immediately although engines hold polls: the response may
     * be a duplicate of the previous one.
     */
    boolean isSuspectedDuplicate(EngineResponse response, long sentAt) {
        return response.status() == EngineProtocol.RUNNING && clock.now() - sentAt < QUIET_PERIOD;
    }

    long now() {
        return clock.now();
    }

    /** Closes connections that were idle so long that the engine might close them during a call. */
    void closeExpired() {
        while (!idleConnections.isEmpty()
                && clock.now() - idleConnections.peekFirst().idleSince > context.maxIdleTime()) {
            close(idleConnections.peekFirst(), "idle");
        }
    }

    private void close(EngineConnection connection, String cause) {
        connection.close();
        onClosed(connection, cause);
    }

    /** Closes the connection that was idle longest; returns whether one could be closed. */
    boolean closeLongestIdle() {
        EngineConnection connection = idleConnections.peekFirst();
        boolean closable = connection != null && !isOnlyConnectionWhileRunning();
        if (closable) {
            close(connection, "room for another");
        }
        return closable;
    }

    /** Marks the engine as draining: it gets no new statements; running ones are still polled. */
    void markDraining() {
        draining = true;
    }

    boolean isDraining() {
        return draining;
    }

    boolean isRetired() {
        return retired;
    }

    /**
     * Sends no new statements. The attempts that run keep their connections, which are closed when
     * the last of them is released.
     */
    void retire() {
        retired = true;
        closeIdleIfUnused();
    }

    /** Retires the pool and opens no new connections, as another engine has the address. */
    void onAddressTaken() {
        addressTaken = true;
        markDraining();
        retire();
    }

    boolean isAddressTaken() {
        return addressTaken;
    }

    /** Closes the idle connections now, and the others when their calls end. */
    void close() {
        closed = true;
        closeIdleIfUnused();
    }
}
