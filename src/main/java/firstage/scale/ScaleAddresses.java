package firstage.scale;

import java.net.InetSocketAddress;

/**
 * Loopback addresses of all participants in a scale run, on one port. Hollow and real managers have
 * addresses of the same form.
 */
record ScaleAddresses(int port) {
    /**
     * Number of managers that share a third octet in a fleet without cells. In a fleet with cells,
     * the managers of a cell share one.
     */
    private static final int MANAGERS_PER_ROW = 200;

    /** Number of values of the third octet for each value of the second octet. */
    private static final int ROWS_PER_SECOND_OCTET = 250;

    private InetSocketAddress address(int secondOctet, int thirdOctet, int fourthOctet) {
        return new InetSocketAddress(
                "127." + secondOctet + "." + thirdOctet + "." + fourthOctet, port);
    }

    /** Returns the address at which a manager receives datagrams. */
    InetSocketAddress datagramAddress(ScalePlan plan, int manager) {
        int row = plan.cellSize() == 0 ? manager / MANAGERS_PER_ROW : plan.cellOf(manager);
        int slot = plan.cellSize() == 0 ? manager % MANAGERS_PER_ROW : plan.slotOf(manager);
        return address(64 + row / ROWS_PER_SECOND_OCTET, row % ROWS_PER_SECOND_OCTET, 1 + slot);
    }

    /** Returns the address at which a real manager listens for clients. */
    InetSocketAddress clientAddress(int realManager) {
        return address(60, 0, 1 + realManager);
    }

    InetSocketAddress coordinator() {
        return address(61, 0, 1);
    }

    /** Returns the address of the one listener that emulates all engines. */
    InetSocketAddress engine() {
        return address(62, 0, 1);
    }
}
