package firstage.policy;

import firstage.policy.state.RequestState;
import java.util.random.RandomGenerator;

/**
 * The fleet's load-shedding level: requests of lower priority bands are answered at once, and of
 * those in the band itself all but a share.
 */
final class SheddingThreshold {
    private final RandomGenerator random;
    private int band;
    private double admittedShare = 1;

    SheddingThreshold(RandomGenerator random) {
        this.random = random;
    }

    /** See {@code SchedulingPolicy#onSheddingThreshold}. */
    void set(int newBand, double newAdmittedShare) {
        band = newBand;
        admittedShare = newAdmittedShare;
    }

    boolean isActive() {
        return band != 0;
    }

    /** Whether the random share of the threshold's own band sheds this new request. */
    boolean shedsOnArrival(RequestState request) {
        return request.priorityBand == band && random.nextDouble() >= admittedShare;
    }

    /** Whether it is shed, as its band is below the threshold and nothing was started for it. */
    boolean isBelow(RequestState request) {
        return request.attemptsStarted == 0 && request.priorityBand < band;
    }
}
