package firstage.cli;

import firstage.simulation.PairedComparison;
import firstage.simulation.SimulationResult;
import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;

/** Printer of the results of fleet runs as text. */
final class FleetTables {
    private FleetTables() {}

    /** Prints each figure over all runs, and the rules that were violated. */
    static void print(PrintStream out, List<SimulationResult> results) {
        out.printf("%-28s %10s %10s%n", "figure", "mean", "deviation");
        for (String name : results.get(0).figures().keySet()) {
            SummaryStatistics statistics = new SummaryStatistics();
            results.forEach(result -> statistics.addValue(result.figures().get(name)));
            out.printf(
                    Locale.ROOT,
                    "%-28s %10.4f %10.4f%n",
                    name,
                    statistics.getMean(),
                    results.size() > 1 ? statistics.getStandardDeviation() : 0);
        }
        results.stream()
                .filter(result -> !result.violations().isEmpty())
                .forEach(
                        result ->
                                out.println(
                                        "RULE BROKEN, seed "
                                                + result.seed()
                                                + ": "
                                                + result.violations().get(0)));
    }

    /** Prints each figure of both choices, and which choice is better. */
    static void print(PrintStream out, PairedComparison comparison) {
        out.printf(
                "%-28s %10s %10s %12s %10s  %s%n",
                "figure", "left", "right", "right - left", "bar", "verdict");
        for (PairedComparison.Row row : comparison.rows()) {
            out.printf(
                    Locale.ROOT,
                    "%-28s %10.4f %10.4f %+12.4f %10.4f  %s%n",
                    row.figure(),
                    row.left(),
                    row.right(),
                    row.difference(),
                    row.halfInterval(),
                    verdict(row));
        }
        comparison.violations().forEach(rule -> out.println("RULE BROKEN, no verdict: " + rule));
        out.println(
                "verdict by service: "
                        + (comparison.verdict() == PairedComparison.Verdict.BROKEN
                                ? "none, a rule was violated"
                                : verdict(comparison.rows().get(0))));
    }

    private static String verdict(PairedComparison.Row row) {
        return switch (row.verdict()) {
            case LEFT -> "left is better";
            case RIGHT -> "right is better";
            case NONE -> "no verdict; " + row.runsNeeded() + " runs are likely to be enough";
            case BROKEN -> "-";
        };
    }
}
