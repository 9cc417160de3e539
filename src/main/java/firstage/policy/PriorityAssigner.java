package firstage.policy;

import firstage.policy.state.RequestState;
import firstage.policy.state.TrafficClassStats;
import java.util.List;

/**
 * Assigns the priority of a request at its engine, by the priority weight per unit of expected work
 * relative to that of the best traffic class.
 */
final class PriorityAssigner {
    /** Highest priority, for requests with the most priority weight per unit of work. */
    static final int TOP = 3;

    private static final int NORMAL = 2;
    private static final int LOW = 1;
    private static final int LOWEST = 0;

    // Minimum weight per work of each priority, as a share of that of the best traffic class.
    private static final double MIN_SHARE_FOR_TOP = 0.6;
    private static final double MIN_SHARE_FOR_NORMAL = 0.1;
    private static final double MIN_SHARE_FOR_LOW = 0.03;

    private final List<TrafficClassStats> trafficClasses;

    PriorityAssigner(List<TrafficClassStats> trafficClasses) {
        this.trafficClasses = trafficClasses;
    }

    /** Returns the priority of this request, from 0 to {@link #TOP}. */
    int priorityOf(RequestState request) {
        double bestWeightPerWork =
                trafficClasses.stream()
                        .mapToDouble(
                                stats -> stats.trafficClass.priorityWeight() / stats.typicalWork())
                        .max()
                        .orElse(1);
        double shareOfBest =
                request.trafficClass().priorityWeight()
                        / Math.max(1, request.expectedWork())
                        / bestWeightPerWork;
        if (shareOfBest >= MIN_SHARE_FOR_TOP) {
            return TOP;
        }
        if (shareOfBest >= MIN_SHARE_FOR_NORMAL || request.trafficClass().tableLoad()) {
            return NORMAL;
        }
        return shareOfBest >= MIN_SHARE_FOR_LOW ? LOW : LOWEST;
    }
}
