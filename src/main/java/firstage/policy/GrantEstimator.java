package firstage.policy;

import firstage.policy.api.AttemptResult;
import firstage.policy.state.Attempt;
import firstage.policy.state.EngineState;
import firstage.policy.state.RequestState;
import firstage.policy.state.TrafficClassStats;

/** The memory grant of an attempt: the expected memory with a margin that each class learns. */
final class GrantEstimator {
    /** Margins are shares of the expected memory. */
    static final double INITIAL_MARGIN = 0.25;

    /** For a grant that was too small ... */
    private static final double MARGIN_INCREASE = 0.14;

    /** ... against one that sufficed: so one in eight comes out too small. */
    private static final double MARGIN_DECREASE = 0.02;

    /** The first samples, up to this many, move the margin further. */
    private static final double EARLY_SAMPLES = 6;

    /** A grant further below the expected memory would slow the engine for others, too. */
    private static final double MIN_MARGIN = -0.25;

    /** Estimates may be four times too low. */
    private static final double MAX_MARGIN = 3;

    private final double maxGrantShare;

    /**
     * @param maxGrantShare the largest grant, as a share of the engine's memory
     */
    GrantEstimator(double maxGrantShare) {
        this.maxGrantShare = maxGrantShare;
    }

    /**
     * The grant in MB: the estimated or the mean true memory, with the margin; half a core's memory
     * a thread where both are unknown.
     */
    double grantMb(RequestState request, EngineState engine) {
        TrafficClassStats stats = request.classStats;
        double expected = request.expectedMemoryMb();
        double wanted =
                expected > 0
                        ? expected * (1 + stats.grantMargin)
                        : engine.memoryMb / engine.cores / 2 * stats.trafficClass.threads();
        return Math.max(1, Math.min(wanted, maxGrantShare * engine.memoryMb));
    }

    /**
     * A success: the margin learns from its grant.
     *
     * @param saturated whether its engine is saturated, so that memory is scarce
     */
    void recordSuccess(Attempt attempt, AttemptResult result, boolean saturated) {
        if (attempt.request.expectedMemoryMb() <= 0) {
            return;
        }
        TrafficClassStats stats = attempt.request.classStats;
        boolean tooSmall =
                result.actualMemoryMb() > 0
                        ? result.actualMemoryMb() > attempt.grantMb
                        : attempt.spilled;
        double step =
                tooSmall ? MARGIN_INCREASE : saturated ? -MARGIN_DECREASE : -MARGIN_DECREASE / 4;
        stats.grantMargin += step * Math.max(1, EARLY_SAMPLES / ++stats.grantSamples);
        stats.grantMargin = Math.max(MIN_MARGIN, Math.min(MAX_MARGIN, stats.grantMargin));
    }

    /** Whether it spilled though its grant sufficed: its engine had no more memory to give. */
    static boolean spilledForLackOfMemory(Attempt attempt, AttemptResult result) {
        return attempt.spilled && result.actualMemoryMb() <= attempt.grantMb;
    }

    /** An attempt waits for memory at its engine: margins give way before requests do. */
    void onMemoryWait(Attempt attempt) {
        TrafficClassStats stats = attempt.request.classStats;
        stats.grantMargin =
                Math.max(
                        MIN_MARGIN,
                        stats.grantMargin - (attempt.wasBlocked ? 0 : MARGIN_DECREASE * 2));
    }
}
