package firstage.cli;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import firstage.simulation.PairedComparison;
import firstage.simulation.SimulationResult;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;

/** What fleet runs came to, for people, for scripts and as a picture. */
final class FleetTables {
    private static final int WIDE = 900;
    private static final int HIGH = 500;

    private FleetTables() {}

    static void print(PrintStream to, List<SimulationResult> results) {
        to.printf("%-28s %10s %10s%n", "figure", "mean", "deviation");
        for (String name : results.get(0).figures().keySet()) {
            SummaryStatistics all = new SummaryStatistics();
            results.forEach(r -> all.addValue(r.figures().get(name)));
            to.printf(
                    Locale.ROOT,
                    "%-28s %10.4f %10.4f%n",
                    name,
                    all.getMean(),
                    results.size() > 1 ? all.getStandardDeviation() : 0);
        }
        results.stream()
                .filter(r -> !r.broken().isEmpty())
                .forEach(
                        r ->
                                to.println(
                                        "RULE BROKEN, seed "
                                                + r.seed()
                                                + ": "
                                                + r.broken().get(0)));
    }

    static void print(PrintStream to, PairedComparison comparison) {
        to.printf(
                "%-28s %10s %10s %12s %10s  %s%n",
                "figure", "left", "right", "right - left", "bar", "verdict");
        for (PairedComparison.Row row : comparison.rows()) {
            to.printf(
                    Locale.ROOT,
                    "%-28s %10.4f %10.4f %+12.4f %10.4f  %s%n",
                    row.figure(),
                    row.left(),
                    row.right(),
                    row.difference(),
                    row.bar(),
                    words(row));
        }
        comparison.broken().forEach(what -> to.println("RULE BROKEN, no verdict: " + what));
        to.println(
                "verdict by service: "
                        + (comparison.verdict() == PairedComparison.Verdict.BROKEN
                                ? "none, a rule broke"
                                : words(comparison.rows().get(0))));
    }

    private static String words(PairedComparison.Row row) {
        return switch (row.verdict()) {
            case LEFT -> "left is better";
            case RIGHT -> "right is better";
            case NONE -> "no verdict; " + row.runsNeeded() + " runs would be likely to tell";
            case BROKEN -> "-";
        };
    }

    /** Writes runs.csv, result.json and chart.png into a folder that it makes. */
    static void write(
            Path folder, String origin, List<SimulationResult> results, PairedComparison comparison)
            throws IOException {
        Files.createDirectories(folder);
        List<String> names = List.copyOf(results.get(0).figures().keySet());
        List<String> lines =
                new ArrayList<>(List.of("choice,seed,batches," + String.join(",", names)));
        for (SimulationResult r : results) {
            StringBuilder line = new StringBuilder(r.choice() + "," + r.seed() + "," + r.batches());
            names.forEach(name -> line.append(',').append(r.figures().get(name)));
            lines.add(line.toString());
        }
        Files.write(folder.resolve("runs.csv"), lines);
        json(folder.resolve("result.json"), origin, results, comparison);
        chart(folder.resolve("chart.png"), origin, results, comparison);
    }

    private static void json(
            Path file, String origin, List<SimulationResult> results, PairedComparison comparison)
            throws IOException {
        try (JsonGenerator out = new JsonFactory().createGenerator(Files.newBufferedWriter(file))) {
            out.useDefaultPrettyPrinter();
            out.writeStartObject();
            out.writeStringField("made of", origin);
            if (comparison != null) {
                out.writeStringField(
                        "verdict", comparison.verdict().name().toLowerCase(Locale.ROOT));
                out.writeArrayFieldStart("rows");
                for (PairedComparison.Row row : comparison.rows()) {
                    out.writeStartObject();
                    out.writeStringField("figure", row.figure());
                    out.writeNumberField("left", row.left());
                    out.writeNumberField("right", row.right());
                    out.writeNumberField("difference", row.difference());
                    out.writeNumberField("bar", row.bar());
                    out.writeStringField("verdict", row.verdict().name().toLowerCase(Locale.ROOT));
                    out.writeNumberField("runs needed", row.runsNeeded());
                    out.writeEndObject();
                }
                out.writeEndArray();
            }
            out.writeArrayFieldStart("runs");
            for (SimulationResult r : results) {
                out.writeStartObject();
                out.writeStringField("choice", r.choice());
                out.writeNumberField("seed", r.seed());
                out.writeArrayFieldStart("broken");
                for (String what : r.broken()) {
                    out.writeString(what);
                }
                out.writeEndArray();
                out.writeEndObject();
            }
            out.writeEndArray();
            out.writeEndObject();
        }
    }

    private static void chart(
            Path file, String origin, List<SimulationResult> results, PairedComparison comparison)
            throws IOException {
        System.setProperty("java.awt.headless", "true");
        CategoryChart chart =
                new CategoryChartBuilder()
                        .width(WIDE)
                        .height(HIGH)
                        .title(origin + " (engines simulated)")
                        .yAxisTitle("share of utility")
                        .build();
        chart.getStyler().setYAxisMin(0.0).setYAxisMax(1.0).setXAxisLabelRotation(30);
        List<String> shares =
                results.get(0).figures().keySet().stream()
                        .filter(PairedComparison::moreIsBetter)
                        .toList();
        for (String choice : results.stream().map(SimulationResult::choice).distinct().toList()) {
            List<Double> means = new ArrayList<>();
            List<Double> bars = new ArrayList<>();
            for (String name : shares) {
                SummaryStatistics all = new SummaryStatistics();
                results.stream()
                        .filter(r -> r.choice().equals(choice))
                        .forEach(r -> all.addValue(r.figures().get(name)));
                means.add(all.getMean());
                bars.add(all.getN() > 1 ? all.getStandardDeviation() : 0);
            }
            chart.addSeries(choice, shares, means, bars);
        }
        BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
    }
}
