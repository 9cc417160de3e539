package firstage.policy.state;

import firstage.policy.api.TrafficClass;

/** A service group and what was learned of it. */
public final class TrafficClassStats {
    public final TrafficClass trafficClass;
    public final DecayingMean work;

    /** The estimates of what came, whether it was answered or not. */
    public final DecayingMean estimatedWork;

    public final DecayingMean memoryMb;

    /** Latency x threads over the batch's figure of work. */
    public final LogHistogram latencyRatios = new LogHistogram();

    /** The lowest median pace of late. */
    public double lowestRatio;

    public double grantMargin;

    /** Answers that taught the margin. */
    public int grantSamples;

    public TrafficClassStats(
            TrafficClass trafficClass, double grantMargin, double lowestRatio, int samples) {
        this.trafficClass = trafficClass;
        this.grantMargin = grantMargin;
        this.lowestRatio = lowestRatio;
        work = new DecayingMean(samples);
        estimatedWork = new DecayingMean(samples);
        memoryMb = new DecayingMean(samples);
    }

    public double bestRatio() {
        return latencyRatios.total() > 0
                ? Math.min(lowestRatio, latencyRatios.quantile(0.5))
                : lowestRatio;
    }

    /** Counts the estimated work of a request, in ticks on one thread; 0 is no estimate. */
    public void recordEstimate(long work) {
        if (work > 0) {
            estimatedWork.add(work);
        }
    }

    /** A pace seen; the lowest median of so many is kept. */
    public void recordLatencyRatio(double ratio, int samples) {
        latencyRatios.add(ratio);
        if (latencyRatios.total() >= samples) {
            lowestRatio = bestRatio();
            latencyRatios.halve();
        }
    }

    /**
     * Work of a usual batch as the cold rule weighs it. The first answers after a start are those
     * of the short ones: a mean of them alone pushed cold engines over, so it is no less than the
     * mean of what was told of all that came.
     */
    public double warmUpWork() {
        return Math.max(typicalWork(), estimatedWork.or(0));
    }

    /** Work of a usual batch; the goal where nothing is known yet. */
    public double typicalWork() {
        return work.or(trafficClass.latencyObjective());
    }
}
