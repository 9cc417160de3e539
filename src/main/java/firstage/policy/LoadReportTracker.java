package firstage.policy;

import firstage.policy.api.LoadReport;
import firstage.policy.state.DecayingMean;
import firstage.policy.state.EngineState;
import firstage.util.Ticks;

/** Tracks the load that engines report: 0 is idle, 1 or more is full. */
final class LoadReportTracker {
    /** Time over which the weight of a load report falls to 0. */
    private static final long REPORT_VALIDITY = Ticks.ofSeconds(5);

    private static final int MEAN_SAMPLES = 64;

    private final DecayingMean meanLoad = new DecayingMean(MEAN_SAMPLES);

    /** Records a load report. Returns whether the engine reports that it is full. */
    boolean record(long now, EngineState engine, LoadReport report) {
        engine.loadReportedAt = now;
        engine.memoryQueueEmpty = report.queuedForMemory() < 1;
        meanLoad.add(engine.reportedLoad);
        double threadLoad = ConcurrencyLimiter.threadLoad(engine, report.activeThreads());
        double load = 0;
        load = largerIfReported(load, report.queuedForMemory());
        load = largerIfReported(load, report.memoryShare());
        load = largerIfReported(load, threadLoad);
        engine.reportedLoad = load;
        return load >= 1;
    }

    /** Returns the larger value; a figure that is not reported is NaN and is ignored. */
    private static double largerIfReported(double load, double figure) {
        return figure > load ? figure : load;
    }

    /**
     * Returns the reported load, blended with the mean load of all engines; the weight of the mean
     * grows with the age of the report.
     */
    double estimatedLoad(long now, EngineState engine) {
        double mean = meanLoad.orElse(0);
        double weight = Math.max(0, 1 - (double) (now - engine.loadReportedAt) / REPORT_VALIDITY);
        return mean + (engine.reportedLoad - mean) * weight;
    }
}
