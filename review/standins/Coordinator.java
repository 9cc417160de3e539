import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * A coordinator as PROTOCOL.md describes it. Event 1 is the list in the configuration; later events
 * are frames, and an empty frame follows each second.
 */
final class Coordinator {
    /** An engine in an event; state 0 ready, 1 draining, 2 gone. */
    record Listed(int id, InetSocketAddress address, int state) {}

    final InetSocketAddress address;
    private final Record record;
    private final List<byte[]> events = new ArrayList<>();
    private int frames;

    Coordinator(String host, Record record) throws IOException {
        this.record = record;
        ServerSocket server = new ServerSocket();
        server.bind(new InetSocketAddress(InetAddress.getByName(host), 0), 64);
        address = new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
        Engine.daemon(() -> {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                Engine.daemon(() -> serve(socket));
            }
        });
    }

    synchronized void publish(List<Listed> changed) {
        int length = 9 + 27 * changed.size();
        ByteBuffer frame = ByteBuffer.allocate(4 + length);
        frame.putInt(length).putLong(events.size() + 2).put((byte) 2);
        for (Listed engine : changed) {
            frame.putInt(engine.id).put(engine.address.getAddress().getAddress())
                    .putShort((short) engine.address.getPort()).put((byte) engine.state)
                    .put((byte) 0).put((byte) 0).putShort((short) 0).putInt(1000).putLong(0);
        }
        events.add(frame.array());
        record.say("coordinator publishes event " + (events.size() + 1) + ": " + changed);
        notifyAll();
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            long last = new DataInputStream(socket.getInputStream()).readLong();
            record.line("coordinator: watch opened, last event " + last);
            OutputStream out = socket.getOutputStream();
            int next = (int) Math.max(0, last - 1);
            while (true) {
                byte[] frame = ByteBuffer.allocate(13).putInt(9).array();
                synchronized (this) {
                    if (next >= events.size()) {
                        wait(1_000);
                    }
                    if (next < events.size()) {
                        frame = events.get(next++);
                    }
                }
                out.write(frame);
                out.flush();
            }
        } catch (IOException closed) {
            record.line("coordinator: watch closed");
        }
    }
}
