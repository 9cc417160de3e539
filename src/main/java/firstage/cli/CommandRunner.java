package firstage.cli;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import picocli.CommandLine;

/**
 * Runner of sub-commands that picocli parses: input that can't be used results in one line on
 * standard error and status 2.
 */
final class CommandRunner {
    private CommandRunner() {}

    /**
     * Reads the fields of the JSON object at the parser's position as text, up to the end of the
     * object.
     */
    static Map<String, String> readFields(JsonParser parser) throws IOException {
        Map<String, String> fields = new LinkedHashMap<>();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            fields.put(name, parser.getText());
        }
        return fields;
    }

    /** Runs a command with its arguments and returns the exit code. */
    static int run(Object command, String name, String[] args) {
        CommandLine commandLine = new CommandLine(command);
        commandLine.setExecutionExceptionHandler(
                (exception, failedCommand, parseResult) -> {
                    System.err.println(name + ": " + Main.firstLineOfMessage(exception));
                    return Main.INVALID_INPUT_STATUS;
                });
        return commandLine.execute(args);
    }
}
