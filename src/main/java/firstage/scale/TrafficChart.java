package firstage.scale;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Bytes a second of a manager over a run. */
final class TrafficChart {
    private static final int WIDE = 900;
    private static final int HIGH = 420;
    private static final int UP = 1;
    private static final int BYTES = 2;

    private TrafficChart() {}

    /** {@code rows}: the table of seconds, its head first. */
    static void draw(Path file, String title, List<String> rows) throws IOException {
        System.setProperty("java.awt.headless", "true");
        XYChart chart =
                new XYChartBuilder()
                        .width(WIDE)
                        .height(HIGH)
                        .title(title)
                        .xAxisTitle("second")
                        .yAxisTitle("bytes a second of a manager")
                        .build();
        double[] x = new double[Math.max(1, rows.size() - 2)];
        double[] y = new double[x.length];
        for (int s = 0; s + 2 < rows.size(); s++) {
            String[] now = rows.get(s + 2).split(",");
            String[] before = rows.get(s + 1).split(",");
            x[s] = s + 1;
            y[s] =
                    (Double.parseDouble(now[BYTES]) - Double.parseDouble(before[BYTES]))
                            / Math.max(1, Double.parseDouble(now[UP]));
        }
        chart.addSeries("sent", x, y).setMarker(SeriesMarkers.NONE);
        BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
    }
}
