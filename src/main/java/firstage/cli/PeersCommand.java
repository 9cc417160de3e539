package firstage.cli;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import firstage.config.ManagerConfig;
import firstage.server.membership.MembershipTransport;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code peers}: asks a manager on this machine for its view of the others. */
@Command(
        name = "peers",
        mixinStandardHelpOptions = true,
        description =
                "Asks a running manager on loopback for its view of the members;"
                        + " docs/operators/membership.md.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:the manager's view is agreed",
            "1:the view is not agreed",
            "2:the manager can't be reached, or the address can't be used"
        })
final class PeersCommand implements Callable<Integer> {
    private static final int NOT_AGREED_STATUS = 1;

    @Parameters(
            index = "0",
            paramLabel = "ADDRESS",
            description = "address of the manager's datagrams: listen in its peers file")
    private String address;

    @Option(names = "--json", description = "prints the response as JSON")
    private boolean json;

    /**
     * Runs the command and returns the exit code, which indicates whether the manager's view is
     * agreed.
     */
    static int run(String[] args) {
        return CommandRunner.run(new PeersCommand(), "peers", args);
    }

    @Override
    public Integer call() throws IOException {
        String status =
                ManagerClient.request(
                        ManagerConfig.parseAddress(address), MembershipTransport.STATUS_REQUEST);
        boolean agreed = status.contains("\"agreed\":true");
        if (json) {
            System.out.println(status);
        } else {
            print(status);
        }
        return agreed ? 0 : NOT_AGREED_STATUS;
    }

    private static void print(String status) throws IOException {
        Map<String, String> fields = new LinkedHashMap<>();
        try (JsonParser parser = new JsonFactory().createParser(status)) {
            parser.nextToken();
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                String name = parser.currentName();
                JsonToken value = parser.nextToken();
                if (value == JsonToken.START_ARRAY) {
                    System.out.println(fields);
                    printMembers(parser);
                } else if (value == JsonToken.START_OBJECT) {
                    System.out.println(name + ": " + CommandRunner.readFields(parser));
                } else {
                    fields.put(name, parser.getText());
                }
            }
        }
    }

    private static void printMembers(JsonParser parser) throws IOException {
        printMember("name", "zone", "state", "in view", "link", "since", "version");
        while (parser.nextToken() == JsonToken.START_OBJECT) {
            Map<String, String> member = CommandRunner.readFields(parser);
            printMember(
                    member.get("name"),
                    member.get("zone"),
                    state(member.get("standing")),
                    member.get("in view"),
                    member.get("link"),
                    member.get("since"),
                    member.get("version"));
        }
    }

    private static void printMember(String... columns) {
        System.out.printf("%-12s %-10s %-9s %-8s %-8s %-14s %s%n", (Object[]) columns);
    }

    /** Returns the usual term for a member's state, by the term that the status response uses. */
    private static String state(String standing) {
        return switch (standing) {
            case "here" -> "alive";
            case "doubted" -> "suspect";
            case "gone" -> "dead";
            default -> standing;
        };
    }
}
