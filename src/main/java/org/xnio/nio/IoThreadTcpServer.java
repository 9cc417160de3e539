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
 * for them. XNIO's own servers accept on a separate thread, hand over connections through a queue,
 * and accept nothing for 0.25 s or longer after a failed accept. A request on a new connection
 * would then be read after requests that arrived later, or too late. XNIO has no public method to
 * register a socket, so this class is in its package (both jars are on the class path; no module is
 * opened).
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
     * Binds an address and listens.
     *
     * @param onReady called on the I/O thread while connections wait, after {@link #resumeAccepts}
     * @throws IOException if the address is in use
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
     * Accepts a connection; returns null if none waits.
     *
     * @throws IOException if the system can't accept a connection at the moment
     */
    public SocketChannel accept() throws IOException {
        return socket.accept();
    }

    /**
     * Registers an accepted connection with the I/O thread.
     *
     * @throws IOException if the connection has ended in the meantime; its socket is closed then
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

    /** Starts to call {@code onReady} while connections wait. */
    public void resumeAccepts() {
        resume(SelectionKey.OP_ACCEPT);
    }

    /** Stops calling {@code onReady}. */
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
            // Ignored: the process ends.
        }
    }

    @Override
    void terminated() {
        // Nothing waits for the termination.
    }
}
