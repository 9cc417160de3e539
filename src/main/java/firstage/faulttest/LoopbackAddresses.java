package firstage.faulttest;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/**
 * Who is where, all on loopback and all on one port, so that two yards at once need only another
 * port. A manager and what it reaches by a way of its own share the second number of the address.
 */
public record LoopbackAddresses(int port) {
    private static final int FIRST = 21_000;
    private static final int STEP = 3;
    private static final int TRIES = 2_000;

    /** A yard holds its port as long as it runs. */
    private static final String LOCK = "127.1.9.1";

    private static final int WAYS = 10;

    /** The first port that no other yard holds, from one that differs by process. */
    public static ServerSocket hold() throws IOException {
        IOException last = null;
        for (int i = 0; i < TRIES; i++) {
            int port = FIRST + (int) ((ProcessHandle.current().pid() + i) * STEP % 9_000);
            try {
                ServerSocket lock = new ServerSocket();
                lock.bind(new InetSocketAddress(LOCK, port));
                return lock;
            } catch (IOException taken) {
                last = taken;
            }
        }
        throw new IOException(
                "no port is free for a yard: " + (last == null ? "" : last.getMessage()));
    }

    private InetSocketAddress at(int second, int third, int fourth) {
        return new InetSocketAddress("127." + second + "." + third + "." + fourth, port);
    }

    /** Where a manager listens for clients. */
    InetSocketAddress manager(int m) {
        return at(1, 0, m + 1);
    }

    /** Where a manager's datagrams come in. */
    InetSocketAddress mail(int m) {
        return at(1, 2, m + 1);
    }

    InetSocketAddress coordinator(int m) {
        return at(1, 1, m + 1);
    }

    /** Where an engine truly is. */
    InetSocketAddress engine(int e) {
        return at(2, 1 + e / 250, 1 + e % 250);
    }

    /** Where a manager reaches an engine. */
    InetSocketAddress engineFrom(int m, int e) {
        return at(WAYS + m, 1 + e / 250, 1 + e % 250);
    }

    /** Where a manager reaches another. */
    InetSocketAddress peerFrom(int m, int peer) {
        return at(WAYS + m, 9, 1 + peer);
    }

    public static String text(InetSocketAddress at) {
        return at.getAddress().getHostAddress() + ":" + at.getPort();
    }
}
