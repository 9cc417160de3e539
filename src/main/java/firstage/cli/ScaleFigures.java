package firstage.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Writer of the figures of a scale test, by name, to files for other programs. */
final class ScaleFigures {
    private ScaleFigures() {}

    /** Writes a line of names and one line for each row; a row may lack some of the figures. */
    static void writeCsv(Path file, List<Map<String, Double>> rows) throws IOException {
        List<String> names =
                rows.stream().flatMap(row -> row.keySet().stream()).distinct().toList();
        List<String> lines = new ArrayList<>(List.of("\"" + String.join("\",\"", names) + "\""));
        for (Map<String, Double> row : rows) {
            lines.add(
                    String.join(
                            ",",
                            names.stream()
                                    .map(name -> row.containsKey(name) ? text(row.get(name)) : "")
                                    .toList()));
        }
        Files.write(file, lines);
    }

    /** Writes one row as a JSON object. */
    static void writeJson(Path file, Map<String, Double> row) throws IOException {
        List<String> lines =
                row.entrySet().stream()
                        .map(figure -> "  \"" + figure.getKey() + "\": " + text(figure.getValue()))
                        .toList();
        Files.writeString(file, "{\n" + String.join(",\n", lines) + "\n}\n");
    }

    private static String text(double value) {
        return String.format(Locale.ROOT, "%.4f", value);
    }
}
