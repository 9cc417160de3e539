package firstage.cli;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import picocli.CommandLine;

/**
 * Runs a sub-command of several words: one line on standard error and status 2 where something
 * can't be used.
 */
final class CommandRunner {
    private static final int FAULT = 2;

    private CommandRunner() {}

    /** What a parser that stands in a JSON object finds there, as text, up to the object's end. */
    static Map<String, String> fields(JsonParser in) throws IOException {
        Map<String, String> fields = new LinkedHashMap<>();
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = in.currentName();
            in.nextToken();
            fields.put(name, in.getText());
        }
        return fields;
    }

    static int run(Object command, String name, String[] args) {
        CommandLine line = new CommandLine(command);
        line.setExecutionExceptionHandler(
                (fault, failed, parsed) -> {
                    System.err.println(name + ": " + Main.oneLine(fault));
                    return FAULT;
                });
        return line.execute(args);
    }
}
