package firstage.emulator;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.random.RandomGenerator;

/**
 * A proxy for connections and datagrams with an address for each pair of parties, so that each
 * direction of each pair can be cut, delayed or made lossy independently. All data is forwarded by
 * one thread. Connections to a dead party are refused. Connections to an unresponsive or cut-off
 * party are never established: the listener's backlog is kept full, so that the kernel drops
 * further connection attempts. Times are ticks.
 */
public final class FaultInjectingProxy implements AutoCloseable {
    private static final int BACKLOG = 256;
    private static final int BUFFER_BYTES = 16 * 1024;

    /**
     * Number of queued chunks at which the proxy stops reading from a source, so that the source's
     * TCP window fills.
     */
    private static final int MAX_QUEUED_CHUNKS = 64;

    /** Number of connections that fill the backlog of an unresponsive endpoint's listener. */
    private static final int BACKLOG_FILLERS = 4;

    private final Selector selector;
    private final RandomGenerator random;
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final PriorityQueue<TimedTask> timers =
            new PriorityQueue<>(Comparator.comparingLong(timer -> timer.dueAt));
    private final ByteBuffer buffer = ByteBuffer.allocateDirect(BUFFER_BYTES);
    private final List<Endpoint> endpoints = new ArrayList<>();
    private final Thread thread;
    private volatile boolean closed;
    private volatile Exception failure;

    /** Time at which the current round began; 0 while the thread waits for events. */
    private volatile long busySince;

    private final RecentPeak longestRound = new RecentPeak();

    private record TimedTask(long dueAt, Runnable task) {}

    /** Treatment of new connections by an endpoint. */
    public enum EndpointMode {
        OPEN,
        REFUSING,
        UNRESPONSIVE
    }

    public FaultInjectingProxy(RandomGenerator random) throws IOException {
        this.random = random;
        selector = Selector.open();
        thread = new Thread(this::run, "proxy");
        thread.setDaemon(true);
    }

    public void start() {
        thread.start();
    }

    /** Creates one direction of a link; must be called before {@link #start()}. */
    public LinkFaults newLink() {
        return new LinkFaults(random);
    }

    private static long now() {
        return System.nanoTime() / 100_000;
    }

    /** Runs the task on the proxy's thread. */
    private void execute(Runnable task) {
        tasks.add(task);
        selector.wakeup();
    }

    private void schedule(long delay, Runnable task) {
        timers.add(new TimedTask(now() + delay, task));
    }

    private void run() {
        while (!closed) {
            try {
                long waitMs =
                        timers.isEmpty() ? 100 : Math.max(0, (timers.peek().dueAt - now()) / 10);
                if (waitMs > 0) {
                    selector.select(waitMs);
                } else {
                    selector.selectNow();
                }
                busySince = now();
                for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
                    task.run();
                }
                while (!timers.isEmpty() && timers.peek().dueAt <= now()) {
                    timers.poll().task.run();
                }
                Set<SelectionKey> ready = selector.selectedKeys();
                for (SelectionKey key : List.copyOf(ready)) {
                    ((ReadyHandler) key.attachment()).onReady(key);
                }
                ready.clear();
                recordRound();
            } catch (CancelledKeyException alreadyClosed) {
                selector.selectedKeys().clear();
            } catch (IOException | RuntimeException exception) {
                // Nothing is forwarded any more, so the run's results are invalid: see failure().
                failure = exception;
                return;
            }
        }
    }

    private void recordRound() {
        longestRound.record(now() - busySince);
        busySince = 0;
    }

    /**
     * Returns the longest round of at least the last quarter of a second, in ticks. May be called
     * from any thread.
     */
    public long recentLateness() {
        long since = busySince;
        return Math.max(since == 0 ? 0 : now() - since, longestRound.value());
    }

    /**
     * Returns the exception that ended the proxy prematurely, or null. May be called from any
     * thread.
     */
    public Exception failure() {
        return failure;
    }

    private interface ReadyHandler {
        void onReady(SelectionKey key) throws IOException;
    }

    private static void closeQuietly(AutoCloseable resource) {
        try {
            if (resource != null) {
                resource.close();
            }
        } catch (Exception nothingToDo) {
            // The resource counts as closed either way.
        }
    }

    /**
     * A listening address at which one party reaches another. The public methods may be called from
     * any thread.
     */
    public final class Endpoint {
        private final InetSocketAddress listenAddress;
        private final InetSocketAddress targetAddress;
        private final LinkFaults forwardFaults;
        private final LinkFaults returnFaults;
        private final Set<Connection> connections = new HashSet<>();
        private final List<SocketChannel> backlogFillers = new ArrayList<>();
        private ServerSocketChannel listener;
        private EndpointMode mode = EndpointMode.REFUSING;
        private EndpointMode requestedMode = EndpointMode.OPEN;

        private Endpoint(
                InetSocketAddress listenAddress,
                InetSocketAddress targetAddress,
                LinkFaults forwardFaults,
                LinkFaults returnFaults) {
            this.listenAddress = listenAddress;
            this.targetAddress = targetAddress;
            this.forwardFaults = forwardFaults;
            this.returnFaults = returnFaults;
        }

        /**
         * Sets how new connections are treated; {@code resetConnections} also resets the open ones,
         * as the death of a process does.
         */
        public void setMode(EndpointMode newMode, boolean resetConnections) {
            execute(
                    () -> {
                        requestedMode = newMode;
                        if (resetConnections) {
                            List.copyOf(connections).forEach(Connection::reset);
                        }
                        applyMode();
                    });
        }

        /** Resets all open connections; new ones are accepted as before. */
        public void resetConnections() {
            execute(() -> List.copyOf(connections).forEach(Connection::reset));
        }

        /**
         * Adapts the listener and the open connections after one of this endpoint's links was cut
         * or repaired.
         */
        public void onLinkChanged() {
            execute(
                    () -> {
                        applyMode();
                        List.copyOf(connections).forEach(Connection::transfer);
                    });
        }

        private void applyMode() {
            boolean cut = forwardFaults.isCut() || returnFaults.isCut();
            EndpointMode effectiveMode =
                    requestedMode == EndpointMode.OPEN && cut
                            ? EndpointMode.UNRESPONSIVE
                            : requestedMode;
            if (effectiveMode != mode) {
                close();
                mode = effectiveMode;
                try {
                    listen();
                } catch (IOException exception) {
                    throw new IllegalStateException("can't listen at " + listenAddress, exception);
                }
            }
        }

        private void listen() throws IOException {
            if (mode == EndpointMode.REFUSING) {
                return;
            }
            listener = ServerSocketChannel.open();
            listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            listener.bind(listenAddress, mode == EndpointMode.OPEN ? BACKLOG : 1);
            listener.configureBlocking(false);
            if (mode == EndpointMode.OPEN) {
                listener.register(selector, SelectionKey.OP_ACCEPT, (ReadyHandler) key -> accept());
            } else {
                for (int i = 0; i < BACKLOG_FILLERS; i++) {
                    SocketChannel filler = SocketChannel.open();
                    filler.configureBlocking(false);
                    filler.connect(listenAddress);
                    backlogFillers.add(filler);
                }
            }
        }

        private void close() {
            closeQuietly(listener);
            listener = null;
            backlogFillers.forEach(FaultInjectingProxy::closeQuietly);
            backlogFillers.clear();
            try {
                // A closed channel frees its address only once its key is deregistered.
                selector.selectNow();
            } catch (IOException exception) {
                throw new IllegalStateException(exception);
            }
        }

        private void accept() throws IOException {
            for (SocketChannel client = listener == null ? null : listener.accept();
                    client != null;
                    client = listener.accept()) {
                new Connection(this, client);
            }
        }
    }

    /** A proxied connection: the client's connection, and the one to the target. */
    private final class Connection {
        private final Endpoint endpoint;
        private final SocketChannel clientSide;
        private final SocketChannel targetSide;
        private final Direction outbound;
        private final Direction inbound;
        private boolean connected;
        private boolean closed;

        private Connection(Endpoint endpoint, SocketChannel clientSide) throws IOException {
            this.endpoint = endpoint;
            this.clientSide = clientSide;
            clientSide.configureBlocking(false);
            clientSide.setOption(StandardSocketOptions.TCP_NODELAY, true);
            targetSide = SocketChannel.open();
            targetSide.configureBlocking(false);
            targetSide.setOption(StandardSocketOptions.TCP_NODELAY, true);
            outbound = new Direction(this, clientSide, targetSide, endpoint.forwardFaults);
            inbound = new Direction(this, targetSide, clientSide, endpoint.returnFaults);
            endpoint.connections.add(this);
            clientSide.register(selector, 0, (ReadyHandler) this::onReady);
            targetSide.register(selector, SelectionKey.OP_CONNECT, (ReadyHandler) this::onReady);
            targetSide.connect(endpoint.targetAddress);
        }

        private void onReady(SelectionKey key) {
            try {
                if (key.channel() == targetSide && !connected) {
                    targetSide.finishConnect();
                    connected = true;
                } else if (key.isReadable()) {
                    (key.channel() == clientSide ? outbound : inbound).read();
                }
                transfer();
            } catch (IOException | CancelledKeyException exception) {
                reset();
            }
        }

        /** Writes the chunks that are due and registers interest in the next events. */
        private void transfer() {
            if (closed || !connected) {
                return;
            }
            try {
                outbound.write();
                inbound.write();
                if (outbound.outputShutDown && inbound.outputShutDown) {
                    close();
                    return;
                }
                clientSide
                        .keyFor(selector)
                        .interestOps(outbound.readInterest() | inbound.writeInterest());
                targetSide
                        .keyFor(selector)
                        .interestOps(inbound.readInterest() | outbound.writeInterest());
            } catch (IOException | CancelledKeyException exception) {
                reset();
            }
        }

        private void reset() {
            if (!closed) {
                try {
                    clientSide.setOption(StandardSocketOptions.SO_LINGER, 0);
                    targetSide.setOption(StandardSocketOptions.SO_LINGER, 0);
                } catch (IOException alreadyClosed) {
                    // The connection is already closed.
                }
                close();
            }
        }

        private void close() {
            closed = true;
            endpoint.connections.remove(this);
            closeQuietly(clientSide);
            closeQuietly(targetSide);
        }
    }

    /** One direction of a proxied connection. */
    private final class Direction {
        private record Chunk(long dueAt, ByteBuffer bytes) {}

        private final Connection connection;
        private final SocketChannel source;
        private final SocketChannel sink;
        private final LinkFaults faults;
        private final ArrayDeque<Chunk> queue = new ArrayDeque<>();
        private long lastDueAt;
        private boolean endOfInput;
        private boolean outputShutDown;
        private boolean sinkFull;

        private Direction(
                Connection connection,
                SocketChannel source,
                SocketChannel sink,
                LinkFaults faults) {
            this.connection = connection;
            this.source = source;
            this.sink = sink;
            this.faults = faults;
        }

        private void read() throws IOException {
            buffer.clear();
            int length = source.read(buffer);
            if (length < 0) {
                endOfInput = true;
            } else if (length > 0) {
                ByteBuffer copy = ByteBuffer.allocate(length).put(buffer.flip()).flip();
                long dueAt = Math.max(lastDueAt, now() + faults.drawDelay(false));
                lastDueAt = dueAt;
                queue.add(new Chunk(dueAt, copy));
                if (dueAt > now()) {
                    schedule(dueAt - now(), connection::transfer);
                }
            }
        }

        private void write() throws IOException {
            sinkFull = false;
            while (!queue.isEmpty() && !faults.isCut() && queue.peek().dueAt <= now()) {
                ByteBuffer next = queue.peek().bytes;
                sink.write(next);
                if (next.hasRemaining()) {
                    sinkFull = true;
                    return;
                }
                queue.poll();
            }
            if (endOfInput && queue.isEmpty() && !outputShutDown && !faults.isCut()) {
                outputShutDown = true;
                sink.shutdownOutput();
            }
        }

        private int readInterest() {
            return !endOfInput && queue.size() < MAX_QUEUED_CHUNKS ? SelectionKey.OP_READ : 0;
        }

        private int writeInterest() {
            return sinkFull ? SelectionKey.OP_WRITE : 0;
        }
    }

    /**
     * Forwards connections made to {@code listenAddress} to {@code targetAddress}. The endpoint is
     * open from the start.
     */
    public Endpoint addEndpoint(
            InetSocketAddress listenAddress,
            InetSocketAddress targetAddress,
            LinkFaults forwardFaults,
            LinkFaults returnFaults) {
        Endpoint endpoint = new Endpoint(listenAddress, targetAddress, forwardFaults, returnFaults);
        endpoints.add(endpoint);
        execute(endpoint::applyMode);
        return endpoint;
    }

    /**
     * Forwards datagrams between two parties. The first sends to the second at {@code
     * secondSeenByFirst}; the second receives these datagrams from {@code firstSeenBySecond}, and
     * sends to the first at that address.
     */
    public void forwardDatagrams(
            InetSocketAddress first,
            InetSocketAddress second,
            InetSocketAddress secondSeenByFirst,
            InetSocketAddress firstSeenBySecond,
            LinkFaults forwardFaults,
            LinkFaults returnFaults)
            throws IOException {
        DatagramChannel firstChannel = DatagramChannel.open().bind(secondSeenByFirst);
        DatagramChannel secondChannel = DatagramChannel.open().bind(firstSeenBySecond);
        firstChannel.configureBlocking(false);
        secondChannel.configureBlocking(false);
        execute(
                () -> {
                    forward(firstChannel, secondChannel, second, forwardFaults);
                    forward(secondChannel, firstChannel, first, returnFaults);
                });
    }

    private void forward(
            DatagramChannel in, DatagramChannel out, SocketAddress target, LinkFaults faults) {
        try {
            in.register(
                    selector,
                    SelectionKey.OP_READ,
                    (ReadyHandler)
                            key -> {
                                buffer.clear();
                                for (SocketAddress sender = receive(in);
                                        sender != null;
                                        sender = receive(in)) {
                                    buffer.flip();
                                    if (faults.passes()) {
                                        ByteBuffer copy =
                                                ByteBuffer.allocate(buffer.remaining())
                                                        .put(buffer)
                                                        .flip();
                                        long delay = faults.drawDelay(true);
                                        if (delay > 0) {
                                            schedule(delay, () -> send(out, copy, target));
                                        } else {
                                            send(out, copy, target);
                                        }
                                    }
                                    buffer.clear();
                                }
                            });
        } catch (IOException exception) {
            throw new IllegalStateException(exception);
        }
    }

    private SocketAddress receive(DatagramChannel in) throws IOException {
        try {
            return in.receive(buffer);
        } catch (java.net.PortUnreachableException unreachable) {
            return null;
        }
    }

    private void send(DatagramChannel out, ByteBuffer bytes, SocketAddress target) {
        try {
            out.send(bytes, target);
        } catch (IOException unreachable) {
            // The datagram is lost, as on any network.
        }
    }

    @Override
    public void close() {
        closed = true;
        selector.wakeup();
        try {
            thread.join(1_000);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
        for (SelectionKey key : selector.keys()) {
            closeQuietly(key.channel());
        }
        endpoints.forEach(
                endpoint -> endpoint.backlogFillers.forEach(FaultInjectingProxy::closeQuietly));
        closeQuietly(selector);
    }
}
