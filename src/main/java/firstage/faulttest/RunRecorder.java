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
 * What happened, as files: a line of JSON for each event, a row for each second, charts. One
 * thread.
 */
final class RunRecorder implements AutoCloseable {
    private static final int WIDE = 1_000;
    private static final int HIGH = 420;
    private final Path folder;
    private final Writer lines;
    private final JsonFactory json = new JsonFactory();

    /** By second and name. */
    private final List<Map<String, Double>> seconds = new ArrayList<>();

    private final Map<String, Integer> names = new TreeMap<>();
    private final Map<String, Double> sums = new TreeMap<>();

    RunRecorder(Path folder) throws IOException {
        this.folder = folder;
        Files.createDirectories(folder);
        lines = Files.newBufferedWriter(folder.resolve("timeline.jsonl"));
    }

    /**
     * One event; {@code at} in tenths of a millisecond since traffic began; pairs of name and
     * value.
     */
    void event(long at, String what, Object... pairs) {
        try (JsonGenerator out = json.createGenerator(lines)) {
            out.disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
            out.writeStartObject();
            out.writeNumberField("ms", at / 10.0);
            out.writeStringField("what", what);
            for (int i = 0; i < pairs.length; i += 2) {
                out.writeFieldName((String) pairs[i]);
                if (pairs[i + 1] instanceof Number n) {
                    out.writeNumber(
                            n.doubleValue() == n.longValue()
                                    ? String.valueOf(n.longValue())
                                    : n.toString());
                } else {
                    out.writeString(String.valueOf(pairs[i + 1]));
                }
            }
            out.writeEndObject();
            out.flush();
            lines.write('\n');
        } catch (IOException fault) {
            throw new UncheckedIOException(fault);
        }
    }

    /** Adds to a second's figure and to its sum. */
    void add(long at, String name, double amount) {
        int second = (int) Math.max(0, at / 10_000);
        while (seconds.size() <= second) {
            seconds.add(new TreeMap<>());
        }
        seconds.get(second).merge(name, amount, Double::sum);
        names.putIfAbsent(name, names.size());
        sums.merge(name, amount, Double::sum);
    }

    double sum(String name) {
        return sums.getOrDefault(name, 0.0);
    }

    double second(int second, String name) {
        return second < seconds.size() ? seconds.get(second).getOrDefault(name, 0.0) : 0;
    }

    /** The table of seconds, and the charts; faults are shaded by a series of their own. */
    void tables(String title, List<double[]> faults, List<String> zones) throws IOException {
        List<String> rows = new ArrayList<>(List.of("second," + String.join(",", names.keySet())));
        for (int s = 0; s < seconds.size(); s++) {
            StringBuilder row = new StringBuilder(String.valueOf(s));
            for (String name : names.keySet()) {
                row.append(',').append(String.format(Locale.ROOT, "%.2f", second(s, name)));
            }
            rows.add(row.toString());
        }
        Files.write(folder.resolve("seconds.csv"), rows);
        System.setProperty("java.awt.headless", "true");
        XYChart served = chart(title, "share of utility");
        for (String zone : zones) {
            series(
                    served,
                    zone,
                    s ->
                            second(s, "asked " + zone) == 0
                                    ? Double.NaN
                                    : second(s, "earned " + zone) / second(s, "asked " + zone));
        }
        series(
                served,
                "fault",
                s -> faults.stream().anyMatch(f -> s >= f[0] && s < f[1]) ? 0.02 : Double.NaN);
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
            series(calls, name, s -> second(s, name));
        }
        BitmapEncoder.saveBitmap(
                calls, folder.resolve("calls.png").toString(), BitmapEncoder.BitmapFormat.PNG);
    }

    private static XYChart chart(String title, String y) {
        return new XYChartBuilder()
                .width(WIDE)
                .height(HIGH)
                .title(title + " (engines simulated)")
                .xAxisTitle("second")
                .yAxisTitle(y)
                .build();
    }

    private interface BySecond {
        double at(int second);
    }

    private void series(XYChart chart, String name, BySecond figure) {
        double[] x = new double[Math.max(1, seconds.size())];
        double[] y = new double[x.length];
        for (int s = 0; s < x.length; s++) {
            x[s] = s;
            y[s] = figure.at(s);
        }
        chart.addSeries(name, x, y).setMarker(SeriesMarkers.NONE);
    }

    @Override
    public void close() throws IOException {
        lines.close();
    }
}
