package firstage.server.client;

import firstage.server.ActionGuard;
import firstage.server.ClientWork;
import firstage.server.Counters;
import firstage.server.IoThreadMonitor;
import firstage.server.IoThreadMonitor.Step;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.logging.Logger;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.nio.IoThreadTcpServer;

/**
 * Accepts the clients' connections: in each selector pass all that wait when it begins, unless the
 * system or the limit on connections prevents it. Owned by the I/O thread.
 */
final class ClientListener {
    private static final Logger LOG = Logger.getLogger(ClientListener.class.getName());
    private static final int ACCEPT_BACKLOG = 512;

    /** Maximum number of connections that wait at a time; the system lets one more in. */
    private static final int MAX_WAITING_CONNECTIONS = ACCEPT_BACKLOG + 1;

    /** Delay before accepting is tried again while the system can't accept connections. */
    private static final int ACCEPT_RETRY_MS = 5;

    private final XnioIoThread io;
    private final Counters counters;
    private final ActionGuard guard;
    private final ClientWork work;
    private final IoThreadMonitor monitor;
    private final ClientConnections connections;
    private final Consumer<StreamConnection> onAccepted;
    private IoThreadTcpServer server;

    /** Whether the last accept failed, so that connections may still wait to be accepted. */
    private boolean acceptFailing;

    /** Whether connections wait until queued calls are handled, as all others have a call. */
    private boolean acceptHeldBack;

    /** Whether all input that had arrived was read just now, and with it the ended connections. */
    private boolean pendingEndsRead;

    private boolean acceptScheduled;

    /** Whether the listener is about to be closed. */
    private boolean stopping;

    /**
     * Creates a listener that is not bound yet.
     *
     * @param onAccepted called with each accepted connection; must not read from it
     */
    ClientListener(
            XnioIoThread io,
            Counters counters,
            ActionGuard guard,
            ClientWork work,
            IoThreadMonitor monitor,
            ClientConnections connections,
            Consumer<StreamConnection> onAccepted) {
        this.io = io;
        this.counters = counters;
        this.guard = guard;
        this.work = work;
        this.monitor = monitor;
        this.connections = connections;
        this.onAccepted = onAccepted;
    }

    /**
     * Binds the address; connections are accepted once {@link #start} is called.
     *
     * @throws IOException if the address is in use
     */
    void bind(InetSocketAddress address) throws IOException {
        server = IoThreadTcpServer.listen(io, address, ACCEPT_BACKLOG, this::acceptPending);
    }

    /** Starts to accept connections; called on the I/O thread. */
    void start() {
        server.resumeAccepts();
    }

    /** Accepts the waiting connections and closes the listener. */
    void stop() {
        stopping = true;
        acceptPending();
        IoUtils.safeClose(server);
    }

    /** Returns whether connections may wait that currently can't be accepted. */
    boolean isAcceptFailing() {
        return acceptFailing || acceptHeldBack;
    }

    /**
     * Accepts all connections that wait now; if only some were accepted, requests on the others
     * would be read several selector passes later. Those that come meanwhile are left for the next
     * pass, so that clients that connect again and again can't keep the thread here. While the
     * system can't accept any, tries again every {@link #ACCEPT_RETRY_MS}.
     */
    void acceptPending() {
        if (!server.isOpen()) {
            acceptFailing = false;
            acceptHeldBack = false;
            return;
        }
        try {
            acceptWaiting();
            if (acceptFailing) {
                acceptFailing = false;
                server.resumeAccepts();
            }
        } catch (IOException exception) {
            counters.count("connections not accepted");
            if (!acceptFailing) {
                LOG.warning("connections not accepted cause=" + exception.getMessage());
                acceptFailing = true;
                guard.onAcceptFailed();
            }
            server.suspendAccepts();
            io.executeAfter(this::acceptPending, ACCEPT_RETRY_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void acceptWaiting() throws IOException {
        long startedAtNanos = monitor.begin(Step.ACCEPT);
        int accepted = 0;
        boolean mayAccept = mayAccept();
        try {
            SocketChannel next = mayAccept ? server.accept() : null;
            while (next != null) {
                pendingEndsRead &= connections.hasRoom();
                register(next);
                accepted++;
                mayAccept = mayAccept();
                next = mayAccept && accepted < MAX_WAITING_CONNECTIONS ? server.accept() : null;
            }
        } finally {
            monitor.end(Step.ACCEPT, startedAtNanos, accepted);
        }
        setAcceptHeldBack(!mayAccept);
    }

    /**
     * Returns whether to accept another connection. At the limit, it or one that is about to carry
     * a call would be closed, though queued calls of others are about to end, or their clients have
     * closed and that is not read yet. It is left for a later pass of the selector instead, and
     * accepted once all that had arrived is read.
     */
    private boolean mayAccept() {
        return connections.hasRoom() || stopping || work.isEmpty() && pendingEndsRead;
    }

    /** Accepts one connection beyond the limit once the ends of the others have been read. */
    private void acceptAfterPendingEnds() {
        if (!acceptScheduled) {
            acceptScheduled = true;
            work.runAfterNextReads(
                    () -> {
                        acceptScheduled = false;
                        pendingEndsRead = true;
                        acceptPending();
                        pendingEndsRead = false;
                    });
        }
    }

    private void setAcceptHeldBack(boolean heldBack) {
        if (heldBack) {
            counters.count("accepts held back");
            acceptAfterPendingEnds();
            if (!acceptHeldBack) {
                guard.onAcceptFailed();
            }
        }
        acceptHeldBack = heldBack;
    }

    private void register(SocketChannel accepted) {
        try {
            onAccepted.accept(server.register(accepted));
        } catch (IOException exception) {
            LOG.warning("connection ended as it was accepted cause=" + exception.getMessage());
            counters.count("connections ended as they were accepted");
        }
    }
}
