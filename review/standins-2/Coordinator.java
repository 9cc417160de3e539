import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** A sound coordinator: tells the events after the number that a manager names, and an empty frame each second. */
final class Coordinator {
    /** A change of one engine. */
    record Event(int engine, String host, int port, int state, int zone, long startedAt) {}

    private final ServerSocket server;
    private final int first;
    private final List<Event> events = new ArrayList<>();

    /** Time that it takes until it tells anything on a new connection. */
    volatile long slowMs;

    /** @param first number of the last event that the configurations hold */
    Coordinator(String host, int first) throws IOException {
        this.first = first;
        server = new ServerSocket(0, 100, InetAddress.getByName(host));
        Engine.daemon(this::accept);
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    synchronized void tell(Event event) {
        events.add(event);
        notifyAll();
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = server.accept();
                Engine.daemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            long known = new DataInputStream(socket.getInputStream()).readLong();
            Engine.pause(slowMs);
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            long heartbeat = 0;
            while (true) {
                List<Event> news = new ArrayList<>();
                long last;
                synchronized (this) {
                    last = first + events.size();
                    for (long n = Math.max(known, first); n < last; n++) {
                        news.add(events.get((int) (n - first)));
                    }
                    if (news.isEmpty() && Engine.now() < heartbeat) {
                        wait(50);
                        continue;
                    }
                }
                if (news.isEmpty()) {
                    out.writeInt(9);
                    out.writeLong(last);
                    out.writeByte(0);
                    heartbeat = Engine.now() + 1_000;
                }
                for (Event e : news) {
                    out.writeInt(9 + 27);
                    out.writeLong(++known);
                    out.writeByte(2);
                    out.writeInt(e.engine);
                    out.write(InetAddress.getByName(e.host).getAddress());
                    out.writeShort(e.port);
                    out.writeByte(e.state);
                    out.writeByte(e.zone);
                    out.writeByte(0);
                    out.writeShort(0);
                    out.writeInt(1_000);
                    out.writeLong(e.startedAt);
                }
                out.flush();
                known = Math.max(known, last);
            }
        } catch (IOException e) {
            // The manager closed the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
