package firstage.simulation;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;

/**
 * A comparison of two policies on the same seeds. The difference of each figure is taken seed by
 * seed, with a confidence interval by Student's t distribution at 95%, widened for the number of
 * figures (Bonferroni): all intervals of a table hold together. A figure has a verdict where the
 * interval excludes zero; otherwise the comparison estimates how many runs would be needed.
 */
public final class PairedComparison {
    private static final double CONFIDENCE = 0.95;

    /** Highest estimate of the runs that are needed for a significant difference. */
    private static final int MAX_RUNS_NEEDED = 100_000;

    /**
     * The side that is better by a figure. {@code NONE}: the difference is not significant; {@code
     * BROKEN}: a run broke a rule.
     */
    public enum Verdict {
        LEFT,
        RIGHT,
        NONE,
        BROKEN
    }

    /**
     * The comparison by one figure.
     *
     * @param left the mean of the left side
     * @param right the mean of the right side
     * @param difference the mean of right minus left
     * @param halfInterval half the width of the confidence interval around {@code difference}
     * @param runsNeeded the runs that would probably be needed for a significant difference; the
     *     runs made if it is significant
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

    /** Compares two or more runs of each side, in the same order of seeds. */
    public PairedComparison(List<SimulationResult> left, List<SimulationResult> right) {
        if (left.size() != right.size() || left.size() < 2) {
            throw new IllegalArgumentException(
                    "both sides need two or more runs, on the same seeds");
        }
        runs = left.size();
        for (int i = 0; i < runs; i++) {
            if (left.get(i).seed() != right.get(i).seed()) {
                throw new IllegalArgumentException("both runs of a pair need the same seed");
            }
            addViolation(left.get(i));
            addViolation(right.get(i));
        }
        List<String> names = List.copyOf(left.get(0).figures().keySet());
        double quantile =
                new TDistribution(runs - 1)
                        .inverseCumulativeProbability(1 - (1 - CONFIDENCE) / 2 / names.size());
        for (String name : names) {
            rows.add(row(name, left, right, quantile));
        }
    }

    private void addViolation(SimulationResult result) {
        result.violations().stream()
                .limit(1)
                .forEach(
                        violation ->
                                violations.add(
                                        result.policyName()
                                                + ", seed "
                                                + result.seed()
                                                + ": "
                                                + violation));
    }

    private Row row(
            String name,
            List<SimulationResult> left,
            List<SimulationResult> right,
            double quantile) {
        SummaryStatistics leftStatistics = new SummaryStatistics();
        SummaryStatistics rightStatistics = new SummaryStatistics();
        SummaryStatistics differences = new SummaryStatistics();
        for (int i = 0; i < runs; i++) {
            double leftValue = left.get(i).figures().get(name);
            double rightValue = right.get(i).figures().get(name);
            leftStatistics.addValue(leftValue);
            rightStatistics.addValue(rightValue);
            differences.addValue(rightValue - leftValue);
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
        double runsNeeded =
                mean == 0
                        ? MAX_RUNS_NEEDED
                        : Math.pow(quantile * differences.getStandardDeviation() / mean, 2);
        return new Row(
                name,
                leftStatistics.getMean(),
                rightStatistics.getMean(),
                mean,
                halfInterval,
                verdict,
                significant
                        ? runs
                        : (int)
                                Math.min(
                                        MAX_RUNS_NEEDED,
                                        Math.max(runs + 1, Math.ceil(runsNeeded))));
    }

    /**
     * Returns whether higher values of a figure are better: true for shares of priority weight,
     * false for latencies, rejections, errors, late answers and attempts sent to faulty engines.
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

    /**
     * Returns the first violation of each run that broke a rule. With violations, all verdicts of
     * the comparison are {@link Verdict#BROKEN}.
     */
    public List<String> violations() {
        return violations;
    }

    public int runs() {
        return runs;
    }

    /** Returns the verdict on the first figure, the service as a whole. */
    public Verdict verdict() {
        return violations.isEmpty() ? rows.get(0).verdict() : Verdict.BROKEN;
    }
}
