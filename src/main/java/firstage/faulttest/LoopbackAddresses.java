package firstage.faulttest;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/**
 * The loopback addresses of a run, all on one port, so that concurrent runs differ by port only.
 * All addresses at which one manager reaches others share their second number.
 */
public record LoopbackAddresses(int port) {
    private static final int FIRST_PORT = 21_000;
    private static final int PORT_STEP = 3;
    private static final int MAX_TRIES = 2_000;

    /** A run holds its port by listening here. */
    private static final String LOCK_ADDRESS = "127.1.9.1";

    private static final int FIRST_PROXIED_NETWORK = 10;

    /**
     * Reserves a port that no other run holds; the search starts at one derived from the process
     * id.
     *
     * @throws IOException if none is free
     */
    public static ServerSocket reservePort() throws IOException {
        IOException lastFailure = null;
        for (int i = 0; i < MAX_TRIES; i++) {
            int port = FIRST_PORT + (int) ((ProcessHandle.current().pid() + i) * PORT_STEP % 9_000);
            try {
                ServerSocket lock = new ServerSocket();
                lock.bind(new InetSocketAddress(LOCK_ADDRESS, port));
                return lock;
            } catch (IOException taken) {
                lastFailure = taken;
            }
        }
        throw new IOException(
                "no port is free for a fault test: "
                        + (lastFailure == null ? "" : lastFailure.getMessage()));
    }

    private InetSocketAddress address(int second, int third, int fourth) {
        return new InetSocketAddress("127." + second + "." + third + "." + fourth, port);
    }

    /** Where a manager listens for clients. */
    InetSocketAddress manager(int manager) {
        return address(1, 0, manager + 1);
    }

    /** Where a manager receives gossip datagrams. */
    InetSocketAddress gossip(int manager) {
        return address(1, 2, manager + 1);
    }

    InetSocketAddress coordinator(int manager) {
        return address(1, 1, manager + 1);
    }

    /** Where an engine listens, behind the proxy. */
    InetSocketAddress engine(int engine) {
        return address(2, 1 + engine / 250, 1 + engine % 250);
    }

    /** Where a manager reaches an engine, through the proxy. */
    InetSocketAddress engineSeenBy(int manager, int engine) {
        return address(FIRST_PROXIED_NETWORK + manager, 1 + engine / 250, 1 + engine % 250);
    }

    /** Where a manager reaches another, through the proxy. */
    InetSocketAddress peerSeenBy(int manager, int peer) {
        return address(FIRST_PROXIED_NETWORK + manager, 9, 1 + peer);
    }

    public static String hostPort(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
