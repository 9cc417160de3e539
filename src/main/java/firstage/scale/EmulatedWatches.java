package firstage.scale;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Emulates the coordinator for a whole fleet: serves thousands of watches of the endpoint list on
 * one thread. Events are numbered from 2, as event 1 is the list in each manager's configuration.
 * An idle watch receives a heartbeat each second.
 */
final class EmulatedWatches implements AutoCloseable {
    private static final int RECORD_BYTES = 27;

    /** Size of the event number and the type of a frame, after its length of 4 bytes. */
    private static final int HEADER_BYTES = 9;

    private static final long HEARTBEAT_INTERVAL_MS = 1_000;
    private static final int ACCEPT_BACKLOG = 4_096;

    /** A watch: the connection of one manager. */
    private static final class Watch {
        /**
         * Subscription that the manager sends first: the number of the last event that it knows.
         */
        private final ByteBuffer subscription = ByteBuffer.allocate(Long.BYTES);

        private final Queue<ByteBuffer> unsent = new ArrayDeque<>();

        /** Index of the next event to send; -1 until the subscription is complete. */
        private int nextEvent = -1;
    }

    private final Selector selector = Selector.open();
    private final ServerSocketChannel server = ServerSocketChannel.open();
    private final List<byte[]> events = new ArrayList<>();
    private final Queue<byte[]> newEvents = new ConcurrentLinkedQueue<>();
    private final Thread thread;
    private volatile boolean closed;
    private volatile int openWatches;
    private volatile long bytesWritten;

    EmulatedWatches(InetSocketAddress address) throws IOException {
        server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        server.bind(address, ACCEPT_BACKLOG);
        server.configureBlocking(false);
        server.register(selector, SelectionKey.OP_ACCEPT);
        thread = new Thread(this::run, "watches");
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns the number of open watches. */
    int openWatches() {
        return openWatches;
    }

    /** Returns the number of bytes written so far. */
    long bytesWritten() {
        return bytesWritten;
    }

    /**
     * Sends a change of an engine to all watches. The event gives the current time as the start
     * time of the engine, so that a receiver can compute the delay of the event.
     */
    void sendEngineChange(int id, int zone) {
        ByteBuffer frame = ByteBuffer.allocate(4 + HEADER_BYTES + RECORD_BYTES);
        frame.putInt(HEADER_BYTES + RECORD_BYTES).putLong(0).put((byte) 2);
        frame.putInt(id)
                .putInt(0x7F3E0001)
                .putShort((short) 1)
                .put((byte) 0)
                .put((byte) zone)
                .put((byte) 0)
                .putShort((short) 0)
                .putInt(1_000)
                .putLong(System.currentTimeMillis());
        newEvents.add(frame.array());
        selector.wakeup();
    }

    private void run() {
        long nextHeartbeatMs = System.currentTimeMillis() + HEARTBEAT_INTERVAL_MS;
        try {
            while (!closed) {
                selector.select(Math.max(1, nextHeartbeatMs - System.currentTimeMillis()));
                for (SelectionKey key : selector.selectedKeys()) {
                    onReady(key);
                }
                selector.selectedKeys().clear();
                for (byte[] frame = newEvents.poll(); frame != null; frame = newEvents.poll()) {
                    ByteBuffer.wrap(frame).putLong(4, events.size() + 2L);
                    events.add(frame);
                }
                boolean heartbeatDue = System.currentTimeMillis() >= nextHeartbeatMs;
                nextHeartbeatMs =
                        heartbeatDue
                                ? System.currentTimeMillis() + HEARTBEAT_INTERVAL_MS
                                : nextHeartbeatMs;
                for (SelectionKey key : selector.keys()) {
                    if (key.attachment() instanceof Watch watch && key.isValid()) {
                        sendEvents(key, watch, heartbeatDue);
                    }
                }
            }
        } catch (IOException fault) {
            throw new UncheckedIOException(fault);
        } finally {
            closeChannels();
        }
    }

    /**
     * Closes all channels and the selector, on the selector's thread. The operating system releases
     * a registered channel only after its selector has deregistered it, which closing the selector
     * does.
     */
    private void closeChannels() {
        try {
            for (SelectionKey key : new ArrayList<>(selector.keys())) {
                key.channel().close();
            }
            selector.close();
        } catch (IOException fault) {
            throw new UncheckedIOException(fault);
        }
    }

    private void onReady(SelectionKey key) throws IOException {
        if (key.isAcceptable()) {
            for (SocketChannel channel = server.accept();
                    channel != null;
                    channel = server.accept()) {
                channel.configureBlocking(false);
                channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
                channel.register(selector, SelectionKey.OP_READ, new Watch());
                openWatches++;
            }
        } else if (key.isValid() && key.isReadable()) {
            Watch watch = (Watch) key.attachment();
            try {
                int bytesRead =
                        ((SocketChannel) key.channel())
                                .read(
                                        watch.nextEvent < 0
                                                ? watch.subscription
                                                : ByteBuffer.allocate(64));
                if (bytesRead < 0) {
                    closeWatch(key);
                } else if (watch.nextEvent < 0 && !watch.subscription.hasRemaining()) {
                    watch.nextEvent = (int) Math.max(0, watch.subscription.getLong(0) - 1);
                }
            } catch (IOException connectionLost) {
                closeWatch(key);
            }
        }
    }

    private void closeWatch(SelectionKey key) throws IOException {
        key.cancel();
        key.channel().close();
        openWatches--;
    }

    private void sendEvents(SelectionKey key, Watch watch, boolean heartbeatDue)
            throws IOException {
        if (watch.nextEvent < 0) {
            return;
        }
        while (watch.nextEvent < events.size()) {
            watch.unsent.add(ByteBuffer.wrap(events.get(watch.nextEvent++)));
        }
        if (heartbeatDue && watch.unsent.isEmpty()) {
            watch.unsent.add(ByteBuffer.allocate(4 + HEADER_BYTES).putInt(0, HEADER_BYTES));
        }
        try {
            while (!watch.unsent.isEmpty()) {
                bytesWritten += ((SocketChannel) key.channel()).write(watch.unsent.peek());
                if (watch.unsent.peek().hasRemaining()) {
                    return;
                }
                watch.unsent.poll();
            }
        } catch (IOException connectionLost) {
            closeWatch(key);
        }
    }

    /** Closes the listener and all watches; the address is free when the method returns. */
    @Override
    public void close() throws IOException {
        closed = true;
        selector.wakeup();
        try {
            thread.join();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
