package firstage.cli;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import firstage.simulation.PairedComparison;
import firstage.simulation.SimulationResult;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;

/** Writer of the results of fleet runs as files: a table for scripts, JSON, and a chart. */
final class FleetFiles {
    private static final int CHART_WIDTH = 900;
    private static final int CHART_HEIGHT = 500;

    private FleetFiles() {}

    /**
     * Writes runs.csv, result.json and chart.png into a folder, which it creates.
     *
     * @param origin the plan, seeds and version that produced the figures
     */
    static void write(
            Path folder,
            String origin,
            List<SimulationResult> results,
            Optional<PairedComparison> comparison)
            throws IOException {
        Files.createDirectories(folder);
        writeCsv(folder.resolve("runs.csv"), results);
        writeJson(folder.resolve("result.json"), origin, results, comparison);
        writeChart(folder.resolve("chart.png"), origin, results);
    }

    private static void writeCsv(Path file, List<SimulationResult> results) throws IOException {
        List<String> names = List.copyOf(results.get(0).figures().keySet());
        List<String> lines =
                new ArrayList<>(List.of("choice,seed,batches," + String.join(",", names)));
        for (SimulationResult result : results) {
            StringBuilder line =
                    new StringBuilder(
                            result.policyName() + "," + result.seed() + "," + result.requests());
            names.forEach(name -> line.append(',').append(result.figures().get(name)));
            lines.add(line.toString());
        }
        Files.write(file, lines);
    }

    private static void writeJson(
            Path file,
            String origin,
            List<SimulationResult> results,
            Optional<PairedComparison> comparison)
            throws IOException {
        try (JsonGenerator out = new JsonFactory().createGenerator(Files.newBufferedWriter(file))) {
            out.useDefaultPrettyPrinter();
            out.writeStartObject();
            out.writeStringField("made of", origin);
            if (comparison.isPresent()) {
                writeComparison(out, comparison.get());
            }
            out.writeArrayFieldStart("runs");
            for (SimulationResult result : results) {
                writeRun(out, result);
            }
            out.writeEndArray();
            out.writeEndObject();
        }
    }

    private static void writeComparison(JsonGenerator out, PairedComparison comparison)
            throws IOException {
        out.writeStringField("verdict", verdictName(comparison.verdict()));
        out.writeArrayFieldStart("rows");
        for (PairedComparison.Row row : comparison.rows()) {
            out.writeStartObject();
            out.writeStringField("figure", row.figure());
            out.writeNumberField("left", row.left());
            out.writeNumberField("right", row.right());
            out.writeNumberField("difference", row.difference());
            out.writeNumberField("bar", row.halfInterval());
            out.writeStringField("verdict", verdictName(row.verdict()));
            out.writeNumberField("runs needed", row.runsNeeded());
            out.writeEndObject();
        }
        out.writeEndArray();
    }

    private static String verdictName(PairedComparison.Verdict verdict) {
        return verdict.name().toLowerCase(Locale.ROOT);
    }

    private static void writeRun(JsonGenerator out, SimulationResult result) throws IOException {
        out.writeStartObject();
        out.writeStringField("choice", result.policyName());
        out.writeNumberField("seed", result.seed());
        out.writeArrayFieldStart("broken");
        for (String rule : result.violations()) {
            out.writeString(rule);
        }
        out.writeEndArray();
        out.writeEndObject();
    }

    private static void writeChart(Path file, String origin, List<SimulationResult> results)
            throws IOException {
        System.setProperty("java.awt.headless", "true");
        CategoryChart chart =
                new CategoryChartBuilder()
                        .width(CHART_WIDTH)
                        .height(CHART_HEIGHT)
                        .title(origin + " (engines simulated)")
                        .yAxisTitle("share of utility")
                        .build();
        chart.getStyler().setYAxisMin(0.0).setYAxisMax(1.0).setXAxisLabelRotation(30);
        List<String> shares =
                results.get(0).figures().keySet().stream()
                        .filter(PairedComparison::moreIsBetter)
                        .toList();
        for (String choice :
                results.stream().map(SimulationResult::policyName).distinct().toList()) {
            List<Double> means = new ArrayList<>();
            List<Double> deviations = new ArrayList<>();
            for (String name : shares) {
                SummaryStatistics statistics = new SummaryStatistics();
                results.stream()
                        .filter(result -> result.policyName().equals(choice))
                        .forEach(result -> statistics.addValue(result.figures().get(name)));
                means.add(statistics.getMean());
                deviations.add(statistics.getN() > 1 ? statistics.getStandardDeviation() : 0);
            }
            chart.addSeries(choice, shares, means, deviations);
        }
        BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
    }
}
