package firstage.emulator;

import java.util.random.RandomGenerator;

/** The faults of one direction of a link. Set from any thread, read by the proxy's. */
public final class LinkFaults {
    /** A lost TCP segment is retransmitted after about this, in ticks. */
    private static final long RETRANSMISSION_DELAY = 2_000;

    /** Share of the datagram loss rate at which the chunks of a connection are retransmitted. */
    private static final double RETRANSMITTED_SHARE_OF_LOSS = 0.1;

    private final RandomGenerator random;
    private volatile boolean cut;
    private volatile double loss;
    private volatile long delay;
    private volatile long changedAt = Long.MIN_VALUE / 4;

    LinkFaults(RandomGenerator random) {
        this.random = random;
    }

    /** While cut, nothing passes. */
    public void setCut(boolean newCut) {
        cut = newCut;
        changedAt = System.nanoTime() / 100_000;
    }

    /** Datagrams are lost with this probability. */
    public void setLoss(double probability) {
        loss = probability;
        changedAt = System.nanoTime() / 100_000;
    }

    /** Delays everything by once to twice this, in ticks. */
    public void setDelay(long minDelay) {
        delay = minDelay;
        changedAt = System.nanoTime() / 100_000;
    }

    /** Whether it is faulty, or changed within the last {@code time} ticks. */
    public boolean faultyWithin(long duration) {
        return cut || loss > 0 || delay > 0 || System.nanoTime() / 100_000 - changedAt < duration;
    }

    boolean isCut() {
        return cut;
    }

    /** Draws whether a datagram passes; called by one thread. */
    boolean passes() {
        return !cut && random.nextDouble() >= loss;
    }

    /** Draws the delay of the next datagram or chunk, in ticks; called by one thread. */
    long drawDelay(boolean datagram) {
        long linkDelay = delay <= 0 ? 0 : delay + random.nextLong(delay + 1);
        return linkDelay
                + (!datagram && loss > 0 && random.nextDouble() < loss * RETRANSMITTED_SHARE_OF_LOSS
                        ? RETRANSMISSION_DELAY
                        : 0);
    }
}
