package firstage.policy.state;

import firstage.policy.api.TrafficClass;

/** A service group and what was learned of it. */
public final class TrafficClassStats {
    public final TrafficClass is;
    public final DecayingMean work;

    /** The estimates of what came, whether it was answered or not. */
    public final DecayingMean told;

    public final DecayingMean memory;

    /** Latency x threads over the batch's figure of work. */
    public final LogHistogram pace = new LogHistogram();

    /** The lowest median pace of late. */
    public double best;

    public double margin;

    /** Answers that taught the margin. */
    public int taught;

    public TrafficClassStats(TrafficClass is, double margin, double best, int samples) {
        this.is = is;
        this.margin = margin;
        this.best = best;
        work = new DecayingMean(samples);
        told = new DecayingMean(samples);
        memory = new DecayingMean(samples);
    }

    public double best() {
        return pace.total() > 0 ? Math.min(best, pace.quantile(0.5)) : best;
    }

    /** A pace seen; the lowest median of so many is kept. */
    public void ran(double ratio, int samples) {
        pace.add(ratio);
        if (pace.total() >= samples) {
            best = best();
            pace.halve();
        }
    }

    /**
     * Work of a usual batch as the cold rule weighs it. The first answers after a start are those
     * of the short ones: a mean of them alone pushed cold engines over, so it is no less than the
     * mean of what was told of all that came.
     */
    public double weight() {
        return Math.max(usualWork(), told.or(0));
    }

    /** Work of a usual batch; the goal where nothing is known yet. */
    public double usualWork() {
        return work.or(is.latencyObjective());
    }
}
