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
 * The coordinator for a whole fleet: thousands of watches on one thread. Numbered events from 2 on
 * (the first is in each manager's configuration), an empty frame each second.
 */
final class EmulatedWatches implements AutoCloseable {
    private static final int RECORD = 27;
    private static final int HEAD = 9;
    private static final long BEAT_MS = 1_000;
    private static final int LINE = 4_096;

    private static final class Watch {
        private final ByteBuffer hello = ByteBuffer.allocate(Long.BYTES);
        private final Queue<ByteBuffer> out = new ArrayDeque<>();
        private int next = -1;
    }

    private final Selector selector = Selector.open();
    private final ServerSocketChannel server = ServerSocketChannel.open();
    private final List<byte[]> events = new ArrayList<>();
    private final Queue<byte[]> told = new ConcurrentLinkedQueue<>();
    private final Thread thread;
    private volatile boolean closed;
    private volatile int open;
    private volatile long bytes;

    EmulatedWatches(InetSocketAddress at) throws IOException {
        server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        server.bind(at, LINE);
        server.configureBlocking(false);
        server.register(selector, SelectionKey.OP_ACCEPT);
        thread = new Thread(this::run, "watches");
        thread.setDaemon(true);
        thread.start();
    }

    /** How many watches are open. */
    int open() {
        return open;
    }

    /** Bytes written so far. */
    long bytes() {
        return bytes;
    }

    /**
     * Tells that an engine changed; its start is the moment of the telling, so that who hears it
     * knows how late.
     */
    void tell(int id, int zone) {
        ByteBuffer frame = ByteBuffer.allocate(4 + HEAD + RECORD);
        frame.putInt(HEAD + RECORD).putLong(0).put((byte) 2);
        frame.putInt(id)
                .putInt(0x7F3E0001)
                .putShort((short) 1)
                .put((byte) 0)
                .put((byte) zone)
                .put((byte) 0)
                .putShort((short) 0)
                .putInt(1_000)
                .putLong(System.currentTimeMillis());
        told.add(frame.array());
        selector.wakeup();
    }

    private void run() {
        long beat = System.currentTimeMillis() + BEAT_MS;
        try {
            while (!closed) {
                selector.select(Math.max(1, beat - System.currentTimeMillis()));
                for (SelectionKey key : selector.selectedKeys()) {
                    serve(key);
                }
                selector.selectedKeys().clear();
                for (byte[] frame = told.poll(); frame != null; frame = told.poll()) {
                    ByteBuffer.wrap(frame).putLong(4, events.size() + 2L);
                    events.add(frame);
                }
                boolean due = System.currentTimeMillis() >= beat;
                beat = due ? System.currentTimeMillis() + BEAT_MS : beat;
                for (SelectionKey key : selector.keys()) {
                    if (key.attachment() instanceof Watch w && key.isValid()) {
                        follow(key, w, due);
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
     * On the selector's own thread. A channel that is registered is released by the system only
     * once its selector has deregistered it, which closing the selector does.
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

    private void serve(SelectionKey key) throws IOException {
        if (key.isAcceptable()) {
            for (SocketChannel c = server.accept(); c != null; c = server.accept()) {
                c.configureBlocking(false);
                c.setOption(StandardSocketOptions.TCP_NODELAY, true);
                c.register(selector, SelectionKey.OP_READ, new Watch());
                open++;
            }
        } else if (key.isValid() && key.isReadable()) {
            Watch w = (Watch) key.attachment();
            try {
                int n =
                        ((SocketChannel) key.channel())
                                .read(w.next < 0 ? w.hello : ByteBuffer.allocate(64));
                if (n < 0) {
                    end(key);
                } else if (w.next < 0 && !w.hello.hasRemaining()) {
                    w.next = (int) Math.max(0, w.hello.getLong(0) - 1);
                }
            } catch (IOException gone) {
                end(key);
            }
        }
    }

    private void end(SelectionKey key) throws IOException {
        key.cancel();
        key.channel().close();
        open--;
    }

    private void follow(SelectionKey key, Watch w, boolean beat) throws IOException {
        if (w.next < 0) {
            return;
        }
        while (w.next < events.size()) {
            w.out.add(ByteBuffer.wrap(events.get(w.next++)));
        }
        if (beat && w.out.isEmpty()) {
            w.out.add(ByteBuffer.allocate(4 + HEAD).putInt(0, HEAD));
        }
        try {
            while (!w.out.isEmpty()) {
                bytes += ((SocketChannel) key.channel()).write(w.out.peek());
                if (w.out.peek().hasRemaining()) {
                    return;
                }
                w.out.poll();
            }
        } catch (IOException gone) {
            end(key);
        }
    }

    /** Returns once the listener and all watches are closed: the address is free again. */
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
