package org.xnio.nio;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import org.xnio.ChannelListener;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * A listening socket whose connections are accepted on the I/O thread itself. The worker's own
 * servers accept on a thread of their own and hand over by a queue: when that thread is late, a
 * request on a new connection is read after requests that arrived later, unnoticed. XNIO has such a
 * server, but gives no public way to it, hence this class in its package (both jars are on the
 * class path; no module is opened).
 */
public final class IoThreadTcpServer {
    private IoThreadTcpServer() {}

    /** Binds and listens; accepts begin with {@code resumeAccepts}. */
    public static AcceptingChannel<StreamConnection> listen(
            XnioWorker worker,
            InetSocketAddress address,
            ChannelListener<AcceptingChannel<StreamConnection>> ready,
            OptionMap options)
            throws IOException {
        ServerSocketChannel socket = ServerSocketChannel.open();
        try {
            socket.configureBlocking(false);
            socket.socket().setReuseAddress(options.get(Options.REUSE_ADDRESSES, true));
            socket.socket().bind(address, options.get(Options.BACKLOG, 128));
            NioTcpServer server = new NioTcpServer((NioXnioWorker) worker, socket, options, false);
            server.setAcceptListener(ready::handleEvent);
            return generic(server);
        } catch (IOException | RuntimeException exception) {
            socket.close();
            throw exception;
        }
    }

    @SuppressWarnings("unchecked")
    private static AcceptingChannel<StreamConnection> generic(Object server) {
        return (AcceptingChannel<StreamConnection>) server;
    }
}
