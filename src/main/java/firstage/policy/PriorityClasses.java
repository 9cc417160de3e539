package firstage.policy;

import firstage.policy.state.RequestState;
import firstage.policy.state.TrafficClassStats;
import java.util.List;

/** The priority at an engine: by priority weight for expected work, against the best class. */
final class PriorityClasses {
    /** The highest priority: requests that pay best for their work. */
    static final int TOP = 3;

    private static final int NORMAL = 2;
    private static final int LOW = 1;
    private static final int LOWEST = 0;

    // Shares of the best class' weight for work, from which a priority is given.
    private static final double TOP_FROM = 0.6;
    private static final double NORMAL_FROM = 0.1;
    private static final double LOW_FROM = 0.03;

    private final List<TrafficClassStats> classes;

    PriorityClasses(List<TrafficClassStats> classes) {
        this.classes = classes;
    }

    /** The priority of this request, from 0 to {@link #TOP}. */
    int of(RequestState request) {
        double best =
                classes.stream()
                        .mapToDouble(
                                stats -> stats.trafficClass.priorityWeight() / stats.typicalWork())
                        .max()
                        .orElse(1);
        double rate =
                request.trafficClass().priorityWeight()
                        / Math.max(1, request.expectedWork())
                        / best;
        if (rate >= TOP_FROM) {
            return TOP;
        }
        if (rate >= NORMAL_FROM || request.trafficClass().tableLoad()) {
            return NORMAL;
        }
        return rate >= LOW_FROM ? LOW : LOWEST;
    }
}
