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
 * The coordinator as one manager sees it: numbered events from 1, the later ones as frames over
 * TCP, an empty frame each second. Each manager has one of its own, as each reaches engines at
 * addresses of its own. Threads that wait, not many.
 */
public final class EmulatedCoordinator implements AutoCloseable {
    private static final int RECORD = 27;
    private static final int HEAD = 9;
    private static final int BEAT_MS = 1_000;

    /**
     * Of an engine; {@code state} 0 ready, 1 draining, 2 gone; {@code startedMs} Unix time of a
     * late start, else 0.
     */
    public record Listed(int id, InetSocketAddress at, int state, int zone, long startedMs) {
        private void write(ByteBuffer to) {
            to.putInt(id)
                    .put(at.getAddress().getAddress())
                    .putShort((short) at.getPort())
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

    private final List<Socket> open = new ArrayList<>();
    private boolean closed;

    public EmulatedCoordinator(InetSocketAddress at) throws IOException {
        server.setReuseAddress(true);
        server.bind(at, 16);
        daemon(
                () -> {
                    while (true) {
                        Socket s = server.accept();
                        synchronized (this) {
                            open.add(s);
                        }
                        daemon(() -> serve(s));
                    }
                });
    }

    private interface Task {
        void run() throws Exception;
    }

    private static void daemon(Task task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (Exception over) {
                                // The other end is gone, or this one is closed.
                            }
                        },
                        "coordinator");
        thread.setDaemon(true);
        thread.start();
    }

    /** Tells what has changed. */
    public synchronized void tell(List<Listed> changed) {
        ByteBuffer frame = ByteBuffer.allocate(4 + HEAD + RECORD * changed.size());
        frame.putInt(HEAD + RECORD * changed.size()).putLong(events.size() + 2L).put((byte) 2);
        changed.forEach(l -> l.write(frame));
        events.add(frame.array());
        notifyAll();
    }

    private void serve(Socket s) throws Exception {
        long next = Math.max(1, new DataInputStream(s.getInputStream()).readLong() + 1) - 2;
        while (true) {
            byte[] frame =
                    ByteBuffer.allocate(4 + HEAD).putInt(HEAD).putLong(0).put((byte) 0).array();
            synchronized (this) {
                if (next >= events.size() && !closed) {
                    wait(BEAT_MS);
                }
                if (next < events.size()) {
                    next = Math.max(0, next);
                    frame = events.get((int) next++);
                }
            }
            s.getOutputStream().write(frame);
        }
    }

    @Override
    public synchronized void close() throws IOException {
        closed = true;
        server.close();
        for (Socket s : open) {
            s.close();
        }
    }
}
