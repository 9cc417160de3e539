package firstage.emulator;

import java.util.random.RandomGenerator;

/** Faults of one direction of a link. Set from any thread, applied by the proxy's thread. */
public final class LinkFaults {
    /** Approximate time after which a lost TCP segment is retransmitted, in ticks. */
    private static final long RETRANSMISSION_DELAY = 2_000;

    /**
     * Probability that a chunk of a connection is retransmitted, as a share of the probability that
     * a datagram is lost.
     */
    private static final double RETRANSMITTED_SHARE_OF_LOSS = 0.1;

    private final RandomGenerator random;
    private volatile boolean cut;
    private volatile double loss;
    private volatile long delay;
    private volatile long changedAt = Long.MIN_VALUE / 4;

    LinkFaults(RandomGenerator random) {
        this.random = random;
    }

    /** Cuts or repairs the link; nothing passes while it is cut. */
    public void setCut(boolean newCut) {
        cut = newCut;
        changedAt = System.nanoTime() / 100_000;
    }

    /** Sets the probability with which a datagram is lost. */
    public void setLoss(double probability) {
        loss = probability;
        changedAt = System.nanoTime() / 100_000;
    }

    /** Sets the minimum delay in ticks; the delays are random, up to twice this value. */
    public void setDelay(long minDelay) {
        delay = minDelay;
        changedAt = System.nanoTime() / 100_000;
    }

    /** Returns whether the link is faulty, or changed within the last {@code duration} ticks. */
    public boolean wasFaultyWithin(long duration) {
        return cut || loss > 0 || delay > 0 || System.nanoTime() / 100_000 - changedAt < duration;
    }

    boolean isCut() {
        return cut;
    }

    /** Draws whether the next datagram passes; must be called by one thread only. */
    boolean passes() {
        return !cut && random.nextDouble() >= loss;
    }

    /**
     * Draws the delay of the next datagram or chunk, in ticks; must be called by one thread only.
     */
    long drawDelay(boolean datagram) {
        long linkDelay = delay <= 0 ? 0 : delay + random.nextLong(delay + 1);
        return linkDelay
                + (!datagram && loss > 0 && random.nextDouble() < loss * RETRANSMITTED_SHARE_OF_LOSS
                        ? RETRANSMISSION_DELAY
                        : 0);
    }
}
