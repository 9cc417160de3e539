package firstage.scale;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Chart of the mean number of bytes that a manager sends in each second of a scale run. */
final class TrafficChart {
    private static final int WIDTH = 900;
    private static final int HEIGHT = 420;
    private static final int UP_COLUMN = 1;
    private static final int BYTES_COLUMN = 2;

    private TrafficChart() {}

    /**
     * Draws the chart to a PNG file.
     *
     * @param rows lines of the table of seconds, with the heading first
     */
    static void draw(Path file, String title, List<String> rows) throws IOException {
        System.setProperty("java.awt.headless", "true");
        XYChart chart =
                new XYChartBuilder()
                        .width(WIDTH)
                        .height(HEIGHT)
                        .title(title)
                        .xAxisTitle("second")
                        .yAxisTitle("bytes a second per manager")
                        .build();
        double[] seconds = new double[Math.max(1, rows.size() - 2)];
        double[] bytesPerManager = new double[seconds.length];
        for (int i = 0; i + 2 < rows.size(); i++) {
            String[] row = rows.get(i + 2).split(",");
            String[] previousRow = rows.get(i + 1).split(",");
            seconds[i] = i + 1;
            bytesPerManager[i] =
                    (Double.parseDouble(row[BYTES_COLUMN])
                                    - Double.parseDouble(previousRow[BYTES_COLUMN]))
                            / Math.max(1, Double.parseDouble(row[UP_COLUMN]));
        }
        chart.addSeries("sent", seconds, bytesPerManager).setMarker(SeriesMarkers.NONE);
        BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
    }
}
