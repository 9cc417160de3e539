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
 * An emulated coordinator for one manager: sends watch events, numbered from 1, as frames over TCP,
 * and an empty frame as a heartbeat every second. Each manager has a coordinator of its own,
 * because each reaches the engines at different addresses. Uses one blocking thread per connection.
 */
public final class EmulatedCoordinator implements AutoCloseable {
    private static final int RECORD_BYTES = 27;
    private static final int HEADER_BYTES = 9;
    private static final int HEARTBEAT_MS = 1_000;

    /**
     * An engine in a watch event.
     *
     * @param id id of the engine
     * @param address address at which the manager reaches the engine
     * @param state 0: ready, 1: draining, 2: gone
     * @param zone index of the engine's zone
     * @param startedMs Unix time in ms at which the engine started; 0 if it started before the run
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

    /**
     * Frames of the events from number 2 on; event 1 is the endpoint list in the manager's
     * configuration.
     */
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

    /** Publishes the changed endpoints as the next event. */
    public synchronized void publish(List<ListedEndpoint> changed) {
        ByteBuffer frame = ByteBuffer.allocate(4 + HEADER_BYTES + RECORD_BYTES * changed.size());
        frame.putInt(HEADER_BYTES + RECORD_BYTES * changed.size())
                .putLong(events.size() + 2L)
                .put((byte) 2);
        changed.forEach(endpoint -> endpoint.write(frame));
        events.add(frame.array());
        notifyAll();
    }

    /**
     * Starts or ends a silence, during which neither events nor heartbeats are sent. Events that
     * were held back are sent after it.
     */
    public synchronized void setSilent(boolean value) {
        silent = value;
        notifyAll();
    }

    /**
     * Serves a manager: reads the number of the last event that the manager knows, then sends the
     * later events, and heartbeats while there are none.
     */
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
