package firstage.policy;

import firstage.policy.api.AttemptResult;
import firstage.policy.api.TrafficClass;
import firstage.policy.state.Attempt;
import firstage.policy.state.EngineState;
import firstage.policy.state.LogHistogram;
import firstage.policy.state.RequestState;
import firstage.policy.state.TrafficClassStats;
import firstage.util.Ticks;
import java.util.List;

/**
 * Tracks how slow engines are, per engine, over all engines, and for requests of the top priority.
 * Samples are ratios of latencies to the best latency of the same traffic class; they lose half
 * their weight each {@link #DECAY_INTERVAL}.
 */
final class LatencyTracker {
    static final long DECAY_INTERVAL = Ticks.ofSeconds(1);

    /** Number of samples of a traffic class at which their weight is halved. */
    private static final int MAX_CLASS_SAMPLES = 64;

    /** Weight of an engine's samples below which the median of all engines is used instead. */
    private static final double MIN_ENGINE_SAMPLES = 12;

    /** Ratio to the best latency below which the latency of an engine counts as low. */
    private static final double LOW_LATENCY_RATIO = 1.25;

    /** Ratio to the best latency above which an engine is slow. */
    private static final double SLOW_RATIO = 1.6;

    /**
     * Best ratio of latency to estimated work that is assumed before the first sample. Otherwise
     * slow first results would set the best latency themselves, and so count as low latency.
     */
    private static final double INITIAL_BEST_RATIO = 2.5;

    /**
     * Upper bound of the best ratio where engines report the actual work. The ratio of a request is
     * about 1 there if each of its threads has a core of its own.
     */
    private static final double MAX_BEST_RATIO_OF_ACTUAL_WORK = 1.2;

    /**
     * Factor by which the best ratio grows each decay interval, so that an outdated best expires
     * within minutes.
     */
    private static final double BEST_RATIO_DRIFT = 1.002;

    /** Fraction done up to which a progress report is too early to estimate the total duration. */
    private static final double MIN_FRACTION_DONE = 0.05;

    private final LogHistogram allEngineRatios = new LogHistogram();
    private final LogHistogram topPriorityRatios = new LogHistogram();

    static TrafficClassStats newStats(TrafficClass trafficClass) {
        return new TrafficClassStats(
                trafficClass, GrantEstimator.INITIAL_MARGIN, INITIAL_BEST_RATIO, MAX_CLASS_SAMPLES);
    }

    /** Returns the median ratio of this engine, or of all engines if it has too few samples. */
    double medianRatio(EngineState engine) {
        boolean enough = engine.latencyRatios.totalWeight() >= MIN_ENGINE_SAMPLES;
        return (enough ? engine.latencyRatios : allEngineRatios).quantile(0.5);
    }

    /** Returns the median ratio over all engines. */
    double medianRatio() {
        return allEngineRatios.quantile(0.5);
    }

    boolean isSlow(EngineState engine) {
        return medianRatio(engine) > SLOW_RATIO;
    }

    /** Returns whether both the ratio of a result and the median of its engine are low. */
    boolean isLatencyLow(double ratio, EngineState engine) {
        return ratio < LOW_LATENCY_RATIO && medianRatio(engine) < LOW_LATENCY_RATIO;
    }

    /** Returns whether the median ratio over all engines is low. */
    boolean isFleetLatencyLow() {
        return medianRatio() < LOW_LATENCY_RATIO;
    }

    boolean isTopPrioritySlow() {
        return topPriorityRatios.quantile(0.5) >= SLOW_RATIO;
    }

    /**
     * Records a latency ratio. The ratio is scaled by the capacity share, as the slowness of a
     * warming engine is no sign of load.
     *
     * @param capacityShare share of its capacity that the engine has now
     */
    void record(EngineState engine, double ratio, double capacityShare) {
        engine.latencyRatios.add(ratio * capacityShare);
        allEngineRatios.add(ratio * capacityShare);
    }

    /** Records an attempt that timed out, with its time so far as the latency. */
    void recordTimeout(long now, Attempt attempt, double capacityShare) {
        RequestState request = attempt.request;
        double ratio =
                (now - attempt.sentAt) * request.trafficClass().threads() / request.expectedWork();
        record(attempt.engine, ratio, capacityShare);
    }

    /** Records the latency of an attempt in flight, extrapolated from its progress. */
    void recordProgress(long now, Attempt attempt, double capacityShare) {
        RequestState request = attempt.request;
        if (attempt.fractionDone <= MIN_FRACTION_DONE
                || request.incoming.estimatedWork() <= 0
                || attempt.wasBlocked) {
            return;
        }
        double totalWork =
                (now - attempt.sentAt) / attempt.fractionDone * request.trafficClass().threads();
        double ratio =
                totalWork
                        / request.incoming.estimatedWork()
                        / request.classStats.bestLatencyRatio();
        record(attempt.engine, ratio, capacityShare);
    }

    /**
     * Records a successful attempt in the statistics of its traffic class.
     *
     * @return latency times threads, divided by the actual, estimated or assumed work
     */
    double recordForClass(Attempt attempt, AttemptResult result) {
        RequestState request = attempt.request;
        TrafficClassStats stats = request.classStats;
        int threads = stats.trafficClass.threads();
        double work;
        if (result.actualWork() > 0) {
            work = result.actualWork();
        } else if (request.incoming.estimatedWork() > 0) {
            work = request.incoming.estimatedWork();
        } else {
            // Neither is known: a typical request should need half its latency objective at most.
            work = stats.trafficClass.latencyObjective() * threads / 2.0;
        }
        double ratio = result.duration() * threads / work;
        if (!attempt.wasBlocked) {
            stats.recordLatencyRatio(ratio, MAX_CLASS_SAMPLES);
        }
        stats.meanWork.add(
                result.actualWork() > 0
                        ? result.actualWork()
                        : result.duration() * (double) threads);
        return ratio;
    }

    /** Caps the best ratio of a class whose engines report the actual work of requests. */
    void onActualWorkReported(TrafficClassStats stats) {
        stats.lowestLatencyRatio =
                Math.min(stats.lowestLatencyRatio, MAX_BEST_RATIO_OF_ACTUAL_WORK);
    }

    /**
     * Records the latency of a successful attempt.
     *
     * @param ratio ratio of the latency to the best latency of the class
     */
    void recordSuccess(Attempt attempt, double ratio, double capacityShare) {
        if (!attempt.wasBlocked) {
            record(attempt.engine, ratio, capacityShare);
        }
        if (attempt.priority == PriorityAssigner.TOP) {
            topPriorityRatios.add(ratio);
        }
    }

    /** Halves the samples that all engines share; called once each {@link #DECAY_INTERVAL}. */
    void decay(List<TrafficClassStats> classes) {
        allEngineRatios.halve();
        topPriorityRatios.halve();
        classes.forEach(stats -> stats.lowestLatencyRatio *= BEST_RATIO_DRIFT);
    }

    /** Halves the samples of an engine; called once each {@link #DECAY_INTERVAL}. */
    void decay(EngineState engine) {
        engine.latencyRatios.halve();
    }
}
