package firstage.cli;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import firstage.simulation.InvalidPlanException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code fault-test show}: prints selected events of a run. */
@Command(
        name = "show",
        mixinStandardHelpOptions = true,
        description =
                "Prints the events of a request, an engine, a manager or a point in time, from all"
                        + " processes.")
final class FaultTestShowCommand implements Callable<Integer> {
    // Fields of the timeline's events.
    private static final String TIME_MS = "ms";
    private static final String KIND = "what";
    private static final String REQUEST = "batch";

    private static final double MAX_DISTANCE_MS = 500;

    @Parameters(index = "0", paramLabel = "DIR", description = "the record of a run")
    private Path folder;

    @Option(names = "--batch", paramLabel = "ID", description = "events of this request")
    private String request;

    @Option(names = "--engine", paramLabel = "N", description = "events at this engine")
    private String engine;

    @Option(names = "--manager", paramLabel = "N", description = "events at this manager")
    private String manager;

    @Option(
            names = "--at",
            paramLabel = "S",
            description = "events within half a second of this second")
    private Double atSecond;

    @Override
    public Integer call() throws IOException {
        Path file = folder.resolve("timeline.jsonl");
        if (!Files.exists(file)) {
            throw new InvalidPlanException(
                    file + " does not exist; name the folder that fault-test run printed");
        }
        int matchingEvents = 0;
        for (String line : Files.readAllLines(file)) {
            Map<String, String> event = parseEvent(line);
            if (matchesOptions(event)) {
                matchingEvents++;
                print(event);
            }
        }
        if (matchingEvents == 0) {
            throw new InvalidPlanException("no event matches the options in " + file);
        }
        return 0;
    }

    /**
     * Returns whether an event matches the options. Without options, all events match but those of
     * single requests.
     */
    private boolean matchesOptions(Map<String, String> event) {
        if (request == null && engine == null && manager == null && atSecond == null) {
            return !event.containsKey(REQUEST);
        }
        return (request == null || request.equals(event.get(REQUEST)))
                && (engine == null || engine.equals(event.get("engine")))
                && (manager == null || manager.equals(event.get("manager")))
                && (atSecond == null
                        || Math.abs(timeMs(event) - atSecond * 1_000) <= MAX_DISTANCE_MS);
    }

    private static double timeMs(Map<String, String> event) {
        return Double.parseDouble(event.get(TIME_MS));
    }

    private static void print(Map<String, String> event) {
        double timeMs = timeMs(event);
        event.remove(TIME_MS);
        System.out.printf(Locale.ROOT, "%10.1f ms  %-12s %s%n", timeMs, event.remove(KIND), event);
    }

    private static Map<String, String> parseEvent(String line) throws IOException {
        try (JsonParser parser = new JsonFactory().createParser(line)) {
            parser.nextToken();
            return CommandRunner.readFields(parser);
        }
    }
}
