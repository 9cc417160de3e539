package firstage.scale;

import java.net.InetSocketAddress;

/** Who is where, all on loopback and on one port; hollow and real managers alike. */
record ScaleAddresses(int port) {
    /** Managers share the third number by so many where the fleet is one. */
    private static final int IN_A_ROW = 200;

    private static final int ROWS = 250;

    private InetSocketAddress at(int second, int third, int fourth) {
        return new InetSocketAddress("127." + second + "." + third + "." + fourth, port);
    }

    /** Where a manager's datagrams come in. */
    InetSocketAddress mail(ScalePlan plan, int manager) {
        int row = plan.cell() == 0 ? manager / IN_A_ROW : plan.cellOf(manager);
        int seat = plan.cell() == 0 ? manager % IN_A_ROW : plan.slotOf(manager);
        return at(64 + row / ROWS, row % ROWS, 1 + seat);
    }

    /** Where a real manager listens for clients. */
    InetSocketAddress manager(int real) {
        return at(60, 0, 1 + real);
    }

    InetSocketAddress coordinator() {
        return at(61, 0, 1);
    }

    /** One listener stands for all engines. */
    InetSocketAddress engine() {
        return at(62, 0, 1);
    }
}
