package firstage.policy;

import firstage.policy.state.RequestState;
import java.util.random.RandomGenerator;

/**
 * Load-shedding threshold of the fleet: requests in priority bands below the threshold are shed,
 * and so is a random part of those in the threshold's own band.
 */
final class SheddingThreshold {
    private final RandomGenerator random;
    private int band;
    private double admittedShare = 1;

    SheddingThreshold(RandomGenerator random) {
        this.random = random;
    }

    /** Sets the threshold; see {@code SchedulingPolicy#onSheddingThreshold}. */
    void set(int newBand, double newAdmittedShare) {
        band = newBand;
        admittedShare = newAdmittedShare;
    }

    boolean isActive() {
        return band != 0;
    }

    /** Returns whether this new request is in the threshold's band and is shed at random. */
    boolean shedsOnArrival(RequestState request) {
        return request.priorityBand == band && random.nextDouble() >= admittedShare;
    }

    /**
     * Returns whether a queued request is shed: it is below the threshold and was never started.
     */
    boolean shedsInQueue(RequestState request) {
        return request.attemptsStarted == 0 && request.priorityBand < band;
    }
}
