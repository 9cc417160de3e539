package firstage.policy.state;

import firstage.policy.api.ServiceGroup;

/** A service group and what was learned of it. */
public final class Group {
    public final ServiceGroup is;
    public final Mean work;

    /** The estimates of what came, whether it was answered or not. */
    public final Mean told;

    public final Mean memory;

    /** Latency x threads over the batch's figure of work. */
    public final Bins pace = new Bins();

    /** The lowest median pace of late. */
    public double best;

    public double margin;

    /** Answers that taught the margin. */
    public int taught;

    public Group(ServiceGroup is, double margin, double best, int samples) {
        this.is = is;
        this.margin = margin;
        this.best = best;
        work = new Mean(samples);
        told = new Mean(samples);
        memory = new Mean(samples);
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
        return work.or(is.goal());
    }
}
