package org.xnio.nio;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/**
 * A listening socket whose connections are accepted on the I/O thread itself, when its owner asks
 * for them. XNIO's own servers accept on a thread of their own, hand over by a queue, and accept
 * nothing for 0.25 s and longer after a call that failed: a request on a new connection would be
 * read after requests that arrived later, or too late. XNIO gives no public way to register a
 * socket, hence this class in its package (both jars are on the class path; no module is opened).
 */
public final class IoThreadTcpServer extends NioHandle implements Closeable {
    private final ServerSocketChannel socket;
    private final Runnable onReady;

    private IoThreadTcpServer(
            WorkerThread thread, SelectionKey key, ServerSocketChannel socket, Runnable onReady) {
        super(thread, key);
        this.socket = socket;
        this.onReady = onReady;
    }

    /**
     * Binds and listens; {@code onReady} is called on the I/O thread while connections wait, from
     * {@link #resumeAccepts} on.
     *
     * @throws IOException where the address is taken
     */
    public static IoThreadTcpServer listen(
            XnioIoThread thread, InetSocketAddress address, int backlog, Runnable onReady)
            throws IOException {
        ServerSocketChannel socket = ServerSocketChannel.open();
        try {
            socket.configureBlocking(false);
            socket.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            socket.bind(address, backlog);
            WorkerThread worker = (WorkerThread) thread;
            SelectionKey key = worker.registerChannel(socket);
            IoThreadTcpServer server = new IoThreadTcpServer(worker, key, socket, onReady);
            key.attach(server);
            return server;
        } catch (IOException | RuntimeException exception) {
            socket.close();
            throw exception;
        }
    }

    /**
     * Accepts one connection; null where none waits.
     *
     * @throws IOException where the system can't, for the moment
     */
    public SocketChannel accept() throws IOException {
        return socket.accept();
    }

    /**
     * Makes an accepted connection one of the I/O thread's.
     *
     * @throws IOException where it ended meanwhile; it is closed then
     */
    public StreamConnection register(SocketChannel accepted) throws IOException {
        try {
            accepted.configureBlocking(false);
            accepted.setOption(StandardSocketOptions.TCP_NODELAY, true);
            SelectionKey key = getWorkerThread().registerChannel(accepted);
            return new NioSocketStreamConnection(getWorkerThread(), key, null);
        } catch (IOException | RuntimeException exception) {
            accepted.close();
            throw exception;
        }
    }

    /** Calls {@code onReady} while connections wait. */
    public void resumeAccepts() {
        resume(SelectionKey.OP_ACCEPT);
    }

    /** Calls it no more. */
    public void suspendAccepts() {
        suspend(SelectionKey.OP_ACCEPT);
    }

    public boolean isOpen() {
        return socket.isOpen();
    }

    @Override
    public void close() throws IOException {
        cancelKey(false);
        socket.close();
    }

    @Override
    void handleReady(int ops) {
        onReady.run();
    }

    @Override
    void forceTermination() {
        try {
            close();
        } catch (IOException exception) {
            // The program ends.
        }
    }

    @Override
    void terminated() {
        // Nobody waits for it.
    }
}
