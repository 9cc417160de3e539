package firstage.simulation;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;

/**
 * Two choices on the same seeds. For each figure the difference is taken seed by seed, and its
 * interval is Student's at 95%, widened for the many figures shown (Bonferroni): all the bars of a
 * table hold together. A verdict is given where the bar does not touch zero; else nobody can tell,
 * and it is said how many runs would be likely to.
 */
public final class PairedComparison {
    private static final double CONFIDENCE = 0.95;
    private static final int MAX_RUNS = 100_000;

    /** Who is better by a figure. */
    public enum Verdict {
        LEFT,
        RIGHT,
        NONE,
        BROKEN
    }

    /**
     * {@code halfInterval}: half the width of the interval round {@code difference} (right less
     * left).
     */
    public record Row(
            String figure,
            double left,
            double right,
            double difference,
            double halfInterval,
            Verdict verdict,
            int runsNeeded) {}

    private final List<Row> rows = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();
    private final int runs;

    /** Both sides in the order of the same seeds, at least two. */
    public PairedComparison(List<SimulationResult> left, List<SimulationResult> right) {
        if (left.size() != right.size() || left.size() < 2) {
            throw new IllegalArgumentException("two runs or more of each, on the same seeds");
        }
        runs = left.size();
        for (int i = 0; i < runs; i++) {
            if (left.get(i).seed() != right.get(i).seed()) {
                throw new IllegalArgumentException("pairs are of one seed");
            }
            add(left.get(i));
            add(right.get(i));
        }
        List<String> names = List.copyOf(left.get(0).figures().keySet());
        double quantile =
                new TDistribution(runs - 1)
                        .inverseCumulativeProbability(1 - (1 - CONFIDENCE) / 2 / names.size());
        for (String name : names) {
            rows.add(row(name, left, right, quantile));
        }
    }

    private void add(SimulationResult result) {
        result.violations().stream()
                .limit(1)
                .forEach(
                        what ->
                                violations.add(
                                        result.policyName()
                                                + ", seed "
                                                + result.seed()
                                                + ": "
                                                + what));
    }

    private Row row(
            String name,
            List<SimulationResult> left,
            List<SimulationResult> right,
            double quantile) {
        SummaryStatistics lefts = new SummaryStatistics();
        SummaryStatistics rights = new SummaryStatistics();
        SummaryStatistics differences = new SummaryStatistics();
        for (int i = 0; i < runs; i++) {
            double l = left.get(i).figures().get(name);
            double r = right.get(i).figures().get(name);
            lefts.addValue(l);
            rights.addValue(r);
            differences.addValue(r - l);
        }
        double mean = differences.getMean();
        double halfInterval = quantile * differences.getStandardDeviation() / Math.sqrt(runs);
        boolean significant = Math.abs(mean) > halfInterval && mean != 0;
        Verdict verdict =
                !violations.isEmpty()
                        ? Verdict.BROKEN
                        : !significant
                                ? Verdict.NONE
                                : mean > 0 == moreIsBetter(name) ? Verdict.RIGHT : Verdict.LEFT;
        double needed =
                mean == 0
                        ? MAX_RUNS
                        : Math.pow(quantile * differences.getStandardDeviation() / mean, 2);
        return new Row(
                name,
                lefts.getMean(),
                rights.getMean(),
                mean,
                halfInterval,
                verdict,
                significant
                        ? runs
                        : (int) Math.min(MAX_RUNS, Math.max(runs + 1, Math.ceil(needed))));
    }

    /**
     * Shares of priority weight, of which more is better; of latencies, rejections, errors and late
     * answers less is.
     */
    public static boolean moreIsBetter(String name) {
        return !name.contains(" ms ")
                && !name.startsWith("pushed back")
                && !name.startsWith("errored")
                && !name.startsWith("to a sick")
                && !name.startsWith("late");
    }

    public List<Row> rows() {
        return rows;
    }

    /** The first that broke in each run that broke one: such a comparison has no verdict. */
    public List<String> violations() {
        return violations;
    }

    public int runs() {
        return runs;
    }

    /** By the first figure, service as a whole. */
    public Verdict verdict() {
        return violations.isEmpty() ? rows.get(0).verdict() : Verdict.BROKEN;
    }
}
