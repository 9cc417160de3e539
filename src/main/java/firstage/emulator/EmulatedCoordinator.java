package firstage.emulator;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * The emulated coordinator of one manager: sends watch events, numbered from 1, as frames over TCP
 * and an empty frame as heartbeat each second. Each manager has its own, because each reaches the
 * engines at addresses of its own. One blocking thread per connection.
 */
public final class EmulatedCoordinator implements AutoCloseable {
    private static final int RECORD_BYTES = 27;
    private static final int HEADER_BYTES = 9;
    private static final int HEARTBEAT_MS = 1_000;

    /**
     * An engine in an event. {@code state}: 0 ready, 1 draining, 2 gone; {@code startedMs}: Unix
     * time of a start during the run, else 0.
     */
    public record ListedEndpoint(
            int id, InetSocketAddress address, int state, int zone, long startedMs) {
        private void write(ByteBuffer buffer) {
            buffer.putInt(id)
                    .put(address.getAddress().getAddress())
                    .putShort((short) address.getPort())
                    .put((byte) state)
                    .put((byte) zone)
                    .put((byte) 0)
                    .putShort((short) 0)
                    .putInt(1_000)
                    .putLong(startedMs);
        }
    }

    private final ServerSocket server = new ServerSocket();

    /** The events after the first, in order; the first is in the manager's configuration. */
    private final List<byte[]> events = new ArrayList<>();

    private final List<Socket> connections = new ArrayList<>();
    private boolean closed;
    private boolean silent;

    public EmulatedCoordinator(InetSocketAddress address) throws IOException {
        server.setReuseAddress(true);
        server.bind(address, 16);
        startDaemon(
                () -> {
                    while (true) {
                        Socket socket = server.accept();
                        synchronized (this) {
                            connections.add(socket);
                        }
                        startDaemon(() -> serve(socket));
                    }
                });
    }

    private interface Task {
        void run() throws Exception;
    }

    private static void startDaemon(Task task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (Exception connectionClosed) {
                                // The peer disconnected, or this coordinator was closed.
                            }
                        },
                        "coordinator");
        thread.setDaemon(true);
        thread.start();
    }

    /** Sends the changed endpoints as the next event. */
    public synchronized void publish(List<ListedEndpoint> changed) {
        ByteBuffer frame = ByteBuffer.allocate(4 + HEADER_BYTES + RECORD_BYTES * changed.size());
        frame.putInt(HEADER_BYTES + RECORD_BYTES * changed.size())
                .putLong(events.size() + 2L)
                .put((byte) 2);
        changed.forEach(endpoint -> endpoint.write(frame));
        events.add(frame.array());
        notifyAll();
    }

    /** While silent it sends neither events nor heartbeats; they follow. */
    public synchronized void setSilent(boolean value) {
        silent = value;
        notifyAll();
    }

    private void serve(Socket socket) throws Exception {
        long nextIndex =
                Math.max(1, new DataInputStream(socket.getInputStream()).readLong() + 1) - 2;
        while (true) {
            byte[] frame =
                    ByteBuffer.allocate(4 + HEADER_BYTES)
                            .putInt(HEADER_BYTES)
                            .putLong(0)
                            .put((byte) 0)
                            .array();
            synchronized (this) {
                if (nextIndex >= events.size() && !closed) {
                    wait(HEARTBEAT_MS);
                }
                while (silent && !closed) {
                    wait(HEARTBEAT_MS);
                }
                if (nextIndex < events.size()) {
                    nextIndex = Math.max(0, nextIndex);
                    frame = events.get((int) nextIndex++);
                }
            }
            socket.getOutputStream().write(frame);
        }
    }

    @Override
    public synchronized void close() throws IOException {
        closed = true;
        server.close();
        for (Socket socket : connections) {
            socket.close();
        }
    }
}
