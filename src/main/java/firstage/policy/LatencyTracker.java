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
 * How slow engines are: latencies over the best that the same traffic class has seen, per engine,
 * over all engines and for requests of the top priority. Samples lose half their weight each {@link
 * #DECAY_INTERVAL}.
 */
final class LatencyTracker {
    static final long DECAY_INTERVAL = Ticks.ofSeconds(1);

    /** Samples of a traffic class after which they are halved. */
    private static final int CLASS_SAMPLES = 64;

    /** Samples from which an engine's own median counts, not that of all engines. */
    private static final double MIN_ENGINE_SAMPLES = 12;

    /** Below so many times the best latency an engine is calm. */
    private static final double CALM_RATIO = 1.25;

    /** Above so many times the best latency an engine is slow. */
    private static final double SLOW_RATIO = 1.6;

    /** Latency over estimated work, before any sample: slow first answers must not pass as calm. */
    private static final double INITIAL_BEST_RATIO = 2.5;

    /** The same where engines tell the true work: a thread has a core. */
    private static final double BEST_RATIO_OF_TRUE_WORK = 1.2;

    /** Each decay interval: an outdated best is forgotten in minutes. */
    private static final double BEST_RATIO_DRIFT = 1.002;

    /** Progress up to this share says little about the whole. */
    private static final double MIN_TELLING_PROGRESS = 0.05;

    private final LogHistogram allEngines = new LogHistogram();
    private final LogHistogram topPriority = new LogHistogram();

    static TrafficClassStats newStats(TrafficClass trafficClass) {
        return new TrafficClassStats(
                trafficClass, GrantEstimator.INITIAL_MARGIN, INITIAL_BEST_RATIO, CLASS_SAMPLES);
    }

    /** The median ratio of this engine; of all engines where it has answered too little. */
    double medianRatio(EngineState engine) {
        boolean enough = engine.latencyRatios.total() >= MIN_ENGINE_SAMPLES;
        return (enough ? engine.latencyRatios : allEngines).quantile(0.5);
    }

    /** The median ratio over all engines. */
    double medianRatio() {
        return allEngines.quantile(0.5);
    }

    boolean isSlow(EngineState engine) {
        return medianRatio(engine) > SLOW_RATIO;
    }

    /** Whether the ratio of one result and its engine's median are calm. */
    boolean isCalm(double ratio, EngineState engine) {
        return ratio < CALM_RATIO && medianRatio(engine) < CALM_RATIO;
    }

    /** Whether engines are calm all in all. */
    boolean isFleetCalm() {
        return medianRatio() < CALM_RATIO;
    }

    boolean isTopPrioritySlow() {
        return topPriority.quantile(0.5) >= SLOW_RATIO;
    }

    /**
     * One latency ratio; an engine that is warming up is slow by nature, which is no sign of load.
     *
     * @param capacityShare the share of its capacity that the engine has now
     */
    void record(EngineState engine, double ratio, double capacityShare) {
        engine.latencyRatios.add(ratio * capacityShare);
        allEngines.add(ratio * capacityShare);
    }

    /** An attempt got no answer in time: its time so far is the sample. */
    void recordTimeout(long now, Attempt attempt, double capacityShare) {
        RequestState request = attempt.request;
        double ratio =
                (now - attempt.sentAt) * request.trafficClass().threads() / request.expectedWork();
        record(attempt.engine, ratio, capacityShare);
    }

    /** An attempt in flight has done a share of its estimated work: its whole time is known. */
    void recordProgress(long now, Attempt attempt, double capacityShare) {
        RequestState request = attempt.request;
        if (attempt.fractionDone <= MIN_TELLING_PROGRESS
                || request.incoming.estimatedWork() <= 0
                || attempt.wasBlocked) {
            return;
        }
        double wholeWork =
                (now - attempt.sentAt) / attempt.fractionDone * request.trafficClass().threads();
        double ratio =
                wholeWork / request.incoming.estimatedWork() / request.classStats.bestRatio();
        record(attempt.engine, ratio, capacityShare);
    }

    /** What a success tells of its traffic class; returns its latency over its figure of work. */
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
            // Unknown: a typical request should need no more than half its latency objective.
            work = stats.trafficClass.latencyObjective() * threads / 2.0;
        }
        double ratio = result.duration() * threads / work;
        if (!attempt.wasBlocked) {
            stats.recordLatencyRatio(ratio, CLASS_SAMPLES);
        }
        stats.work.add(
                result.actualWork() > 0
                        ? result.actualWork()
                        : result.duration() * (double) threads);
        return ratio;
    }

    /** The engines of this class tell the true work: the best ratio is that of free cores. */
    void onTrueWorkKnown(TrafficClassStats stats) {
        stats.lowestRatio = Math.min(stats.lowestRatio, BEST_RATIO_OF_TRUE_WORK);
    }

    /** A success against the best of its class; {@code ratio} is that. */
    void recordSuccess(Attempt attempt, double ratio, double capacityShare) {
        if (!attempt.wasBlocked) {
            record(attempt.engine, ratio, capacityShare);
        }
        if (attempt.priority == PriorityClasses.TOP) {
            topPriority.add(ratio);
        }
    }

    /** Once each interval, for what all engines share. */
    void decay(List<TrafficClassStats> classes) {
        allEngines.halve();
        topPriority.halve();
        classes.forEach(stats -> stats.lowestRatio *= BEST_RATIO_DRIFT);
    }

    /** Once each interval, for each engine. */
    void decay(EngineState engine) {
        engine.latencyRatios.halve();
    }
}
