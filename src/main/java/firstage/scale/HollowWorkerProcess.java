package firstage.scale;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * A process of hollow managers as the run sees it: orders go in, a line of figures comes out each
 * second.
 */
final class HollowWorkerProcess implements AutoCloseable {
    /**
     * One line: figures by name, and by label how long each manager took to come to a moment, in
     * ms.
     */
    record Line(Map<String, Double> figures, Map<String, List<Double>> reached) {
        double figure(String name) {
            return figures.getOrDefault(name, 0.0);
        }

        static Line read(String text) throws IOException {
            Map<String, Double> figures = new TreeMap<>();
            Map<String, List<Double>> reached = new TreeMap<>();
            try (JsonParser in = new JsonFactory().createParser(text)) {
                in.nextToken();
                while (in.nextToken() == JsonToken.FIELD_NAME) {
                    String name = in.currentName();
                    if (in.nextToken() != JsonToken.START_OBJECT) {
                        figures.put(name, in.getDoubleValue());
                        continue;
                    }
                    while (in.nextToken() == JsonToken.FIELD_NAME) {
                        List<Double> all =
                                reached.computeIfAbsent(in.currentName(), l -> new ArrayList<>());
                        in.nextToken();
                        while (in.nextToken() != JsonToken.END_ARRAY) {
                            all.add(in.getDoubleValue());
                        }
                    }
                }
            }
            return new Line(figures, reached);
        }
    }

    final int from;
    final int to;
    private final Process process;
    private final PrintStream orders;
    private final List<Line> lines = new ArrayList<>();
    private String words = "";

    HollowWorkerProcess(List<String> command, int from, int to, Path log) throws IOException {
        this.from = from;
        this.to = to;
        process = new ProcessBuilder(command).redirectError(log.toFile()).start();
        orders = new PrintStream(process.getOutputStream(), true, StandardCharsets.UTF_8);
        Thread reader = new Thread(this::read, "hollow " + from);
        reader.setDaemon(true);
        reader.start();
    }

    private void read() {
        try (BufferedReader in =
                new BufferedReader(
                        new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                if (line.startsWith("{")) {
                    synchronized (this) {
                        lines.add(Line.read(line));
                    }
                } else {
                    words = line;
                }
            }
        } catch (IOException over) {
            words = String.valueOf(over.getMessage());
        }
    }

    void order(String line) {
        orders.println(line);
    }

    synchronized int told() {
        return lines.size();
    }

    /** The last line so far. */
    synchronized Line last() {
        return lines.get(lines.size() - 1);
    }

    /** All lines so far, one a second. */
    synchronized List<Line> lines() {
        return List.copyOf(lines);
    }

    boolean lives() {
        return process.isAlive();
    }

    String lastWords() {
        return words;
    }

    @Override
    public void close() {
        orders.close();
        try {
            if (!process.waitFor(3, TimeUnit.SECONDS)) {
                process.destroyForcibly().waitFor();
            }
        } catch (InterruptedException fault) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }
}
