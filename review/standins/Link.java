import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.LongSupplier;

/** A proxy that passes on all bytes, those towards the workload manager after a delay. */
final class Link {
    final InetSocketAddress address;

    private record Piece(byte[] bytes, long dueNanos) {}

    Link(String host, InetSocketAddress target, LongSupplier delayMs) throws IOException {
        ServerSocket server = new ServerSocket();
        server.bind(new InetSocketAddress(InetAddress.getByName(host), 0), 64);
        address = new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
        Engine.daemon(() -> {
            while (true) {
                Socket near = server.accept();
                Socket far = new Socket(target.getAddress(), target.getPort());
                near.setTcpNoDelay(true);
                far.setTcpNoDelay(true);
                pump(near, far, () -> 0);
                pump(far, near, delayMs);
            }
        });
    }

    private static void pump(Socket from, Socket to, LongSupplier delayMs) {
        BlockingQueue<Piece> pieces = new LinkedBlockingQueue<>();
        Engine.daemon(() -> {
            InputStream in = from.getInputStream();
            byte[] buffer = new byte[16 * 1024];
            int n;
            do {
                try {
                    n = in.read(buffer);
                } catch (IOException reset) {
                    n = -1;
                }
                byte[] bytes = n < 0 ? null : java.util.Arrays.copyOf(buffer, n);
                pieces.add(new Piece(bytes, System.nanoTime() + delayMs.getAsLong() * 1_000_000));
            } while (n >= 0);
        });
        Engine.daemon(() -> {
            OutputStream out = to.getOutputStream();
            while (true) {
                Piece piece = pieces.take();
                long left = piece.dueNanos - System.nanoTime();
                if (left > 0) {
                    Thread.sleep(left / 1_000_000, (int) (left % 1_000_000));
                }
                if (piece.bytes == null) {
                    to.close();
                    return;
                }
                out.write(piece.bytes);
                out.flush();
            }
        });
    }
}
