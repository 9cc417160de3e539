package firstage.policy;

import firstage.policy.api.AttemptResult;
import firstage.policy.state.Attempt;
import firstage.policy.state.EngineState;
import firstage.policy.state.RequestState;
import firstage.policy.state.TrafficClassStats;

/** Estimates memory grants: the expected memory plus a margin learned per traffic class. */
final class GrantEstimator {
    /** Initial margin; all margins are shares of the expected memory. */
    static final double INITIAL_MARGIN = 0.25;

    /** Increase of the margin after a grant that was too small. */
    private static final double MARGIN_INCREASE = 0.14;

    /**
     * Decrease of the margin after a grant that sufficed at a saturated engine. It is a seventh of
     * the increase, so that in the long run one grant in eight is too small there. At other engines
     * a quarter of it applies.
     */
    private static final double MARGIN_DECREASE = 0.02;

    /** Number of first samples of a class that change the margin by larger steps. */
    private static final double EARLY_SAMPLES = 6;

    /** Lowest margin; smaller grants would slow down the engine for other requests as well. */
    private static final double MIN_MARGIN = -0.25;

    /** Highest margin; estimates may be too low by a factor of four. */
    private static final double MAX_MARGIN = 3;

    private final double maxGrantShare;

    /**
     * Creates an estimator.
     *
     * @param maxGrantShare largest grant, as a share of the engine's memory
     */
    GrantEstimator(double maxGrantShare) {
        this.maxGrantShare = maxGrantShare;
    }

    /**
     * Returns the grant in MB: the expected memory plus the margin. If the expected memory is
     * unknown, the grant per thread is half of the engine's memory per core.
     */
    double grantMb(RequestState request, EngineState engine) {
        TrafficClassStats stats = request.classStats;
        double expected = request.expectedMemoryMb();
        double uncapped =
                expected > 0
                        ? expected * (1 + stats.grantMargin)
                        : engine.memoryMb / engine.cores / 2 * stats.trafficClass.threads();
        return Math.max(1, Math.min(uncapped, maxGrantShare * engine.memoryMb));
    }

    /**
     * Adjusts the margin of the class after a successful attempt.
     *
     * @param saturated whether the engine is saturated; memory is scarce then, so that a grant that
     *     sufficed lowers the margin faster
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

    /** Returns whether the attempt spilled with a sufficient grant, as the engine lacked memory. */
    static boolean spilledForLackOfMemory(Attempt attempt, AttemptResult result) {
        return attempt.spilled && result.actualMemoryMb() <= attempt.grantMb;
    }

    /**
     * Lowers the margin of a class when one of its attempts waits for memory at its engine, so that
     * grants shrink before requests are held back. Does so once per attempt.
     */
    void onMemoryWait(Attempt attempt) {
        TrafficClassStats stats = attempt.request.classStats;
        stats.grantMargin =
                Math.max(
                        MIN_MARGIN,
                        stats.grantMargin - (attempt.wasBlocked ? 0 : MARGIN_DECREASE * 2));
    }
}
