package firstage.policy;

import firstage.policy.api.LoadReport;
import firstage.policy.state.DecayingMean;
import firstage.policy.state.EngineState;
import firstage.util.Ticks;

/** How loaded engines say they are: 0 is idle, 1 is full. */
final class LoadReportTracker {
    /** What an engine reported loses its weight over this time. */
    private static final long REPORT_VALIDITY = Ticks.ofSeconds(5);

    private static final int MEAN_SAMPLES = 64;

    private final DecayingMean meanLoad = new DecayingMean(MEAN_SAMPLES);

    /** Takes over a load report; true where the engine says that it is full. */
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

    /** A figure that is not reported is not a number, and compares as false. */
    private static double largerIfReported(double load, double figure) {
        return figure > load ? figure : load;
    }

    /** The load as reported, and the older that is, the more the mean of all engines. */
    double estimatedLoad(long now, EngineState engine) {
        double mean = meanLoad.orElse(0);
        double weight = Math.max(0, 1 - (double) (now - engine.loadReportedAt) / REPORT_VALIDITY);
        return mean + (engine.reportedLoad - mean) * weight;
    }
}
