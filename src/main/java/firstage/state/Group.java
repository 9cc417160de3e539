package firstage.state;

import firstage.door.ServiceGroup;

/** A service group and what was learned of it. */
public final class Group {
    public final ServiceGroup is;
    public final Mean work;
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

    /** Work of a usual batch, as the cold rule weighs it; the goal where nothing is known yet. */
    public double usualWork() {
        return work.or(is.goal());
    }
}
