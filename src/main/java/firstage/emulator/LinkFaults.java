package firstage.emulator;

import java.util.random.RandomGenerator;

/** One direction between two parties, and what is wrong with it; settable from any thread. */
public final class LinkFaults {
    /** A lost segment on a connection is sent again after about this; tenths of a millisecond. */
    private static final long RETRANSMISSION_DELAY = 2_000;

    /** Of the loss of datagrams: so much of the pieces of a connection stand still for that. */
    private static final double RETRANSMITTED_SHARE_OF_LOSS = 0.1;

    private final RandomGenerator random;
    private volatile boolean cut;
    private volatile double loss;
    private volatile long delay;
    private volatile long changedAt = Long.MIN_VALUE / 4;

    LinkFaults(RandomGenerator random) {
        this.random = random;
    }

    /** Nothing passes. */
    public void setCut(boolean now) {
        cut = now;
        changedAt = System.nanoTime() / 100_000;
    }

    /** Datagrams are lost with this chance. */
    public void setLoss(double share) {
        loss = share;
        changedAt = System.nanoTime() / 100_000;
    }

    /** Everything comes later by this and up to as much again; tenths of a millisecond. */
    public void setDelay(long ticks) {
        delay = ticks;
        changedAt = System.nanoTime() / 100_000;
    }

    /** Whether it was harmed or mended within this; tenths of a millisecond. */
    public boolean faultyWithin(long time) {
        return cut || loss > 0 || delay > 0 || System.nanoTime() / 100_000 - changedAt < time;
    }

    boolean isCut() {
        return cut;
    }

    /** Whether a datagram comes through; one thread asks. */
    boolean passes() {
        return !cut && random.nextDouble() >= loss;
    }

    /** How much later the next piece comes; one thread asks. */
    long drawDelay(boolean datagram) {
        long ticks = delay <= 0 ? 0 : delay + random.nextLong(delay + 1);
        return ticks
                + (!datagram && loss > 0 && random.nextDouble() < loss * RETRANSMITTED_SHARE_OF_LOSS
                        ? RETRANSMISSION_DELAY
                        : 0);
    }
}
