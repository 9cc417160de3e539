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
 * A process of hollow managers, seen from the scale run: writes orders to the process and reads the
 * line of figures that the process reports each second.
 */
final class HollowWorkerProcess implements AutoCloseable {
    /**
     * A line that the process reported.
     *
     * @param figures figures by name
     * @param delaysByLabel delays in ms of the managers that met a condition, by its label
     */
    record Report(Map<String, Double> figures, Map<String, List<Double>> delaysByLabel) {
        double figure(String name) {
            return figures.getOrDefault(name, 0.0);
        }

        static Report read(String text) throws IOException {
            Map<String, Double> figures = new TreeMap<>();
            Map<String, List<Double>> delaysByLabel = new TreeMap<>();
            try (JsonParser in = new JsonFactory().createParser(text)) {
                in.nextToken();
                while (in.nextToken() == JsonToken.FIELD_NAME) {
                    String name = in.currentName();
                    if (in.nextToken() != JsonToken.START_OBJECT) {
                        figures.put(name, in.getDoubleValue());
                        continue;
                    }
                    while (in.nextToken() == JsonToken.FIELD_NAME) {
                        List<Double> delays =
                                delaysByLabel.computeIfAbsent(
                                        in.currentName(), l -> new ArrayList<>());
                        in.nextToken();
                        while (in.nextToken() != JsonToken.END_ARRAY) {
                            delays.add(in.getDoubleValue());
                        }
                    }
                }
            }
            return new Report(figures, delaysByLabel);
        }
    }

    final int firstManager;
    final int endManager;
    private final Process process;
    private final PrintStream orders;

    /** Reports so far; guarded by this object. */
    private final List<Report> reports = new ArrayList<>();

    /** Last line that is not a report, or the message of a failed read. */
    private String lastMessage = "";

    /**
     * Starts the process.
     *
     * @param firstManager number of the first manager in the process
     * @param endManager one past the last manager
     * @param errorLog file for the standard error of the process
     */
    HollowWorkerProcess(List<String> command, int firstManager, int endManager, Path errorLog)
            throws IOException {
        this.firstManager = firstManager;
        this.endManager = endManager;
        process = new ProcessBuilder(command).redirectError(errorLog.toFile()).start();
        orders = new PrintStream(process.getOutputStream(), true, StandardCharsets.UTF_8);
        Thread reader = new Thread(this::readOutput, "hollow " + firstManager);
        reader.setDaemon(true);
        reader.start();
    }

    private void readOutput() {
        try (BufferedReader in =
                new BufferedReader(
                        new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                if (line.startsWith("{")) {
                    synchronized (this) {
                        reports.add(Report.read(line));
                    }
                } else {
                    lastMessage = line;
                }
            }
        } catch (IOException readFailed) {
            lastMessage = String.valueOf(readFailed.getMessage());
        }
    }

    void sendOrder(String line) {
        orders.println(line);
    }

    /** Returns the number of reports so far. */
    synchronized int reportCount() {
        return reports.size();
    }

    /** Returns the last report; there must be one. */
    synchronized Report lastReport() {
        return reports.get(reports.size() - 1);
    }

    /** Returns all reports so far: one a second, and one for each {@code heap} order. */
    synchronized List<Report> reports() {
        return List.copyOf(reports);
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /**
     * Returns the last line that is not a report, or the message of a failed read; empty if there
     * is neither.
     */
    String lastMessage() {
        return lastMessage;
    }

    @Override
    public void close() {
        orders.close();
        try {
            if (!process.waitFor(3, TimeUnit.SECONDS)) {
                process.destroyForcibly().waitFor();
            }
        } catch (InterruptedException interrupted) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }
}
