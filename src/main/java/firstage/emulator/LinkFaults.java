package firstage.emulator;

import java.util.random.RandomGenerator;

/** One direction between two parties, and what is wrong with it; settable from any thread. */
public final class LinkFaults {
    /** A lost segment on a connection is sent again after about this; tenths of a millisecond. */
    private static final long SENT_AGAIN = 2_000;

    /** Of the loss of datagrams: so much of the pieces of a connection stand still for that. */
    private static final double OF_LOSS = 0.1;

    private final RandomGenerator chance;
    private volatile boolean cut;
    private volatile double loss;
    private volatile long delay;
    private volatile long harmedAt = Long.MIN_VALUE / 4;

    LinkFaults(RandomGenerator chance) {
        this.chance = chance;
    }

    /** Nothing passes. */
    public void cut(boolean now) {
        cut = now;
        harmedAt = System.nanoTime() / 100_000;
    }

    /** Datagrams are lost with this chance. */
    public void loss(double share) {
        loss = share;
        harmedAt = System.nanoTime() / 100_000;
    }

    /** Everything comes later by this and up to as much again; tenths of a millisecond. */
    public void delay(long by) {
        delay = by;
        harmedAt = System.nanoTime() / 100_000;
    }

    /** Whether it was harmed or mended within this; tenths of a millisecond. */
    public boolean harmedWithin(long time) {
        return cut || loss > 0 || delay > 0 || System.nanoTime() / 100_000 - harmedAt < time;
    }

    boolean isCut() {
        return cut;
    }

    /** Whether a datagram comes through; one thread asks. */
    boolean passes() {
        return !cut && chance.nextDouble() >= loss;
    }

    /** How much later the next piece comes; one thread asks. */
    long later(boolean datagram) {
        long by = delay <= 0 ? 0 : delay + chance.nextLong(delay + 1);
        return by
                + (!datagram && loss > 0 && chance.nextDouble() < loss * OF_LOSS ? SENT_AGAIN : 0);
    }
}
