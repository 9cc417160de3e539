package firstage.faulttest;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/**
 * Records a run in files: a line of JSON for each event, a table with a row for each second, and
 * charts. Not thread-safe.
 */
final class RunRecorder implements AutoCloseable {
    /** The interval of a fault, in seconds since traffic began. */
    record FaultInterval(double start, double end) {
        boolean contains(int second) {
            return second >= start && second < end;
        }
    }

    private static final int CHART_WIDTH = 1_000;
    private static final int CHART_HEIGHT = 420;
    private final Path folder;
    private final Writer timeline;
    private final JsonFactory json = new JsonFactory();

    /** Values by column name, one map for each second. */
    private final List<Map<String, Double>> valuesBySecond = new ArrayList<>();

    private final Map<String, Integer> columnNames = new TreeMap<>();
    private final Map<String, Double> sums = new TreeMap<>();

    RunRecorder(Path folder) throws IOException {
        this.folder = folder;
        Files.createDirectories(folder);
        timeline = Files.newBufferedWriter(folder.resolve("timeline.jsonl"));
    }

    /**
     * Writes an event.
     *
     * @param time ticks since traffic began
     * @param pairs names and values of the event's fields in turn
     */
    void writeEvent(long time, String name, Object... pairs) {
        try (JsonGenerator out = json.createGenerator(timeline)) {
            out.disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
            out.writeStartObject();
            out.writeNumberField("ms", time / 10.0);
            out.writeStringField("what", name);
            for (int i = 0; i < pairs.length; i += 2) {
                out.writeFieldName((String) pairs[i]);
                if (pairs[i + 1] instanceof Number number) {
                    out.writeNumber(
                            number.doubleValue() == number.longValue()
                                    ? String.valueOf(number.longValue())
                                    : number.toString());
                } else {
                    out.writeString(String.valueOf(pairs[i + 1]));
                }
            }
            out.writeEndObject();
            out.flush();
            timeline.write('\n');
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /** Adds to a column's value in the second of {@code time} and to its sum over the run. */
    void add(long time, String name, double amount) {
        int second = (int) Math.max(0, time / 10_000);
        while (valuesBySecond.size() <= second) {
            valuesBySecond.add(new TreeMap<>());
        }
        valuesBySecond.get(second).merge(name, amount, Double::sum);
        columnNames.putIfAbsent(name, columnNames.size());
        sums.merge(name, amount, Double::sum);
    }

    double sum(String name) {
        return sums.getOrDefault(name, 0.0);
    }

    double valueInSecond(int second, String name) {
        return second < valuesBySecond.size()
                ? valuesBySecond.get(second).getOrDefault(name, 0.0)
                : 0;
    }

    /** Writes the table of seconds and the charts; one chart shows the faults as a series. */
    void writeTables(String title, List<FaultInterval> faults, List<String> zones)
            throws IOException {
        List<String> rows =
                new ArrayList<>(List.of("second," + String.join(",", columnNames.keySet())));
        for (int second = 0; second < valuesBySecond.size(); second++) {
            StringBuilder row = new StringBuilder(String.valueOf(second));
            for (String name : columnNames.keySet()) {
                row.append(',')
                        .append(String.format(Locale.ROOT, "%.2f", valueInSecond(second, name)));
            }
            rows.add(row.toString());
        }
        Files.write(folder.resolve("seconds.csv"), rows);
        System.setProperty("java.awt.headless", "true");
        XYChart served = chart(title, "share of utility");
        for (String zone : zones) {
            addSeries(
                    served,
                    zone,
                    second ->
                            valueInSecond(second, "asked " + zone) == 0
                                    ? Double.NaN
                                    : valueInSecond(second, "earned " + zone)
                                            / valueInSecond(second, "asked " + zone));
        }
        addSeries(
                served,
                "fault",
                second ->
                        faults.stream().anyMatch(fault -> fault.contains(second))
                                ? 0.02
                                : Double.NaN);
        BitmapEncoder.saveBitmap(
                served, folder.resolve("served.png").toString(), BitmapEncoder.BitmapFormat.PNG);
        XYChart calls = chart(title, "a second");
        for (String name :
                List.of(
                        "first dispatches",
                        "further dispatches",
                        "probes",
                        "pushed-back",
                        "errored",
                        "client retries")) {
            addSeries(calls, name, second -> valueInSecond(second, name));
        }
        BitmapEncoder.saveBitmap(
                calls, folder.resolve("calls.png").toString(), BitmapEncoder.BitmapFormat.PNG);
    }

    private static XYChart chart(String title, String yAxisTitle) {
        return new XYChartBuilder()
                .width(CHART_WIDTH)
                .height(CHART_HEIGHT)
                .title(title + " (engines simulated)")
                .xAxisTitle("second")
                .yAxisTitle(yAxisTitle)
                .build();
    }

    private interface BySecond {
        double at(int second);
    }

    private void addSeries(XYChart chart, String name, BySecond figure) {
        double[] x = new double[Math.max(1, valuesBySecond.size())];
        double[] y = new double[x.length];
        for (int second = 0; second < x.length; second++) {
            x[second] = second;
            y[second] = figure.at(second);
        }
        chart.addSeries(name, x, y).setMarker(SeriesMarkers.NONE);
    }

    @Override
    public void close() throws IOException {
        timeline.close();
    }
}
