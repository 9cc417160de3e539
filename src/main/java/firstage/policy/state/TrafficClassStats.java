package firstage.policy.state;

import firstage.policy.api.TrafficClass;

/** Statistics of a traffic class. Work is in ticks on one thread. */
public final class TrafficClassStats {
    public final TrafficClass trafficClass;

    /** Mean work of successful attempts: reported, or measured as latency times threads. */
    public final DecayingMean meanWork;

    /** Mean estimated work of all requests, whether they were answered or not. */
    public final DecayingMean meanEstimatedWork;

    /** Mean memory that successful attempts needed, where engines report it. */
    public final DecayingMean meanMemoryMb;

    /** Latency ratios: latency times threads, divided by the actual or estimated work. */
    public final LogHistogram latencyRatios = new LogHistogram();

    /** Lowest median of the latency ratios so far. */
    public double lowestLatencyRatio;

    /** Margin that a grant adds to the expected memory, as a share of the expected memory. */
    public double grantMargin;

    /** Number of successes from which the margin was learned. */
    public int grantSamples;

    /**
     * Creates statistics without samples.
     *
     * @param grantMargin initial margin of grants
     * @param lowestLatencyRatio initial value of the lowest median ratio
     * @param samples number of samples over which means are taken
     */
    public TrafficClassStats(
            TrafficClass trafficClass, double grantMargin, double lowestLatencyRatio, int samples) {
        this.trafficClass = trafficClass;
        this.grantMargin = grantMargin;
        this.lowestLatencyRatio = lowestLatencyRatio;
        meanWork = new DecayingMean(samples);
        meanEstimatedWork = new DecayingMean(samples);
        meanMemoryMb = new DecayingMean(samples);
    }

    /** Returns the lowest median ratio so far, including that of the current samples. */
    public double bestLatencyRatio() {
        return latencyRatios.totalWeight() > 0
                ? Math.min(lowestLatencyRatio, latencyRatios.quantile(0.5))
                : lowestLatencyRatio;
    }

    /** Records the estimated work of a request; 0 if there is no estimate. */
    public void recordEstimate(long work) {
        if (work > 0) {
            meanEstimatedWork.add(work);
        }
    }

    /**
     * Records a latency ratio. When the samples reach a weight of {@code maxSamples}, the lowest
     * median is updated and the samples are halved.
     */
    public void recordLatencyRatio(double ratio, int maxSamples) {
        latencyRatios.add(ratio);
        if (latencyRatios.totalWeight() >= maxSamples) {
            lowestLatencyRatio = bestLatencyRatio();
            latencyRatios.halve();
        }
    }

    /**
     * Returns the work that a typical request takes from the budget of a warming engine. The result
     * is at least the mean estimate, as the first successes after a start are short requests.
     */
    public double expectedWarmUpWork() {
        return Math.max(typicalWork(), meanEstimatedWork.orElse(0));
    }

    /** Returns the work of a typical request; the latency objective if no work is known yet. */
    public double typicalWork() {
        return meanWork.orElse(trafficClass.latencyObjective());
    }
}
