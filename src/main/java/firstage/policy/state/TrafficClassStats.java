package firstage.policy.state;

import firstage.policy.api.TrafficClass;

/** A traffic class and what was learned of it. */
public final class TrafficClassStats {
    public final TrafficClass trafficClass;

    /** The true or measured work of its successes. */
    public final DecayingMean work;

    /** The estimated work of all its requests, whether they were answered or not. */
    public final DecayingMean estimatedWork;

    /** The true memory of its successes. */
    public final DecayingMean memoryMb;

    /** Latency times threads over the known or estimated work. */
    public final LogHistogram latencyRatios = new LogHistogram();

    /** The lowest median of those ratios so far. */
    public double lowestRatio;

    /** What is added to the expected memory for a grant, as a share of it. */
    public double grantMargin;

    /** Successes that the margin has learned from. */
    public int grantSamples;

    /** Starts with this margin and ratio; means are over so many samples. */
    public TrafficClassStats(
            TrafficClass trafficClass, double grantMargin, double lowestRatio, int samples) {
        this.trafficClass = trafficClass;
        this.grantMargin = grantMargin;
        this.lowestRatio = lowestRatio;
        work = new DecayingMean(samples);
        estimatedWork = new DecayingMean(samples);
        memoryMb = new DecayingMean(samples);
    }

    /** The lowest median ratio, now or so far. */
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

    /** Adds a ratio; the lowest median of so many samples is kept. */
    public void recordLatencyRatio(double ratio, int samples) {
        latencyRatios.add(ratio);
        if (latencyRatios.total() >= samples) {
            lowestRatio = bestRatio();
            latencyRatios.halve();
        }
    }

    /**
     * The work of a typical request against the budget of an engine that warms up: no less than the
     * mean estimate, as the first successes after a start are those of short requests.
     */
    public double warmUpWork() {
        return Math.max(typicalWork(), estimatedWork.orElse(0));
    }

    /** The work of a typical request; the latency objective where none is known. */
    public double typicalWork() {
        return work.orElse(trafficClass.latencyObjective());
    }
}
