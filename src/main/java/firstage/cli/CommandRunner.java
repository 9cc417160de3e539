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
    private CommandRunner() {}

    /** What a parser that stands in a JSON object finds there, as text, up to the object's end. */
    static Map<String, String> fields(JsonParser parser) throws IOException {
        Map<String, String> fields = new LinkedHashMap<>();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            fields.put(name, parser.getText());
        }
        return fields;
    }

    /** Runs a command by its arguments; the exit code. */
    static int run(Object command, String name, String[] args) {
        CommandLine commandLine = new CommandLine(command);
        commandLine.setExecutionExceptionHandler(
                (fault, failed, parsed) -> {
                    System.err.println(name + ": " + Main.oneLine(fault));
                    return Main.UNUSABLE_STATUS;
                });
        return commandLine.execute(args);
    }
}
