package firstage.faulttest;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/**
 * Loopback addresses of a run, all on one port, so that concurrent runs differ by port only. All
 * addresses at which one manager reaches engines and peers share their second octet.
 */
public record LoopbackAddresses(int port) {
    private static final int FIRST_PORT = 21_000;
    private static final int PORT_STEP = 3;
    private static final int MAX_TRIES = 2_000;

    /** Address on which a run listens to keep its port reserved. */
    private static final String LOCK_ADDRESS = "127.1.9.1";

    /** Second octet of the proxy's addresses for manager 0; each further manager has the next. */
    private static final int FIRST_PROXIED_NETWORK = 10;

    /**
     * Reserves a port that no other run holds. The search starts at a port derived from the process
     * id.
     *
     * @throws IOException if no port is free
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

    private InetSocketAddress address(int octet2, int octet3, int octet4) {
        return new InetSocketAddress("127." + octet2 + "." + octet3 + "." + octet4, port);
    }

    /** Returns the address on which a manager listens for clients. */
    InetSocketAddress manager(int manager) {
        return address(1, 0, manager + 1);
    }

    /** Returns the address on which a manager receives gossip datagrams. */
    InetSocketAddress gossip(int manager) {
        return address(1, 2, manager + 1);
    }

    InetSocketAddress coordinator(int manager) {
        return address(1, 1, manager + 1);
    }

    /** Returns the address on which an engine listens, behind the proxy. */
    InetSocketAddress engine(int engine) {
        return address(2, 1 + engine / 250, 1 + engine % 250);
    }

    /** Returns the proxy's address at which a manager reaches an engine. */
    InetSocketAddress engineSeenBy(int manager, int engine) {
        return address(FIRST_PROXIED_NETWORK + manager, 1 + engine / 250, 1 + engine % 250);
    }

    /** Returns the proxy's address at which a manager reaches a peer's gossip address. */
    InetSocketAddress peerSeenBy(int manager, int peer) {
        return address(FIRST_PROXIED_NETWORK + manager, 9, 1 + peer);
    }

    public static String hostPort(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
