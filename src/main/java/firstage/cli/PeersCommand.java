package firstage.cli;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import firstage.config.ManagerConfig;
import firstage.server.membership.MembershipTransport;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code peers}: asks a manager of this machine for its view of the others. */
@Command(
        name = "peers",
        mixinStandardHelpOptions = true,
        description =
                "Asks a running manager on loopback whom it holds for here;"
                        + " docs/operators/membership.md.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:its view is agreed",
            "1:it is not",
            "2:it can't be reached, or the address can't be used"
        })
final class PeersCommand implements Callable<Integer> {
    private static final int ANSWER_MS = 400;
    private static final int TRIES = 5;
    private static final int MOST = 64 * 1024;

    @Parameters(
            index = "0",
            paramLabel = "ADDRESS",
            description = "where its datagrams come in: listen of its peers file")
    private String address;

    @Option(names = "--json", description = "the answer as it came")
    private boolean json;

    static int run(String[] args) {
        return CommandRunner.run(new PeersCommand(), "peers", args);
    }

    @Override
    public Integer call() throws IOException {
        String answer =
                ask(ManagerConfig.parseAddress(address), MembershipTransport.STATUS_REQUEST);
        boolean agreed = answer.contains("\"agreed\":true");
        if (json) {
            System.out.println(answer);
        } else {
            print(answer);
        }
        return agreed ? 0 : 1;
    }

    /** Sends it until an answer comes: the manager's view. */
    static String ask(InetSocketAddress at, String what) throws IOException {
        if (!at.getAddress().isLoopbackAddress()) {
            throw new IOException(
                    at.getAddress().getHostAddress() + " is not on this machine; ask there");
        }
        byte[] asked = what.getBytes(StandardCharsets.UTF_8);
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            socket.setSoTimeout(ANSWER_MS);
            DatagramPacket answer = new DatagramPacket(new byte[MOST], MOST);
            for (int i = 0; i < TRIES; i++) {
                socket.send(new DatagramPacket(asked, asked.length, at));
                try {
                    socket.receive(answer);
                    return new String(
                            answer.getData(), 0, answer.getLength(), StandardCharsets.UTF_8);
                } catch (SocketTimeoutException again) {
                    // Datagrams may be lost, and a manager may be busy.
                }
            }
        }
        throw new IOException(
                "no answer from "
                        + at.getAddress().getHostAddress()
                        + ":"
                        + at.getPort()
                        + "; is it up, and started with --peers?");
    }

    private static void print(String answer) throws IOException {
        Map<String, String> top = new LinkedHashMap<>();
        try (JsonParser in = new JsonFactory().createParser(answer)) {
            in.nextToken();
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                String name = in.currentName();
                JsonToken value = in.nextToken();
                if (value == JsonToken.START_ARRAY) {
                    System.out.println(top);
                    System.out.printf(
                            "%-12s %-10s %-9s %-8s %-8s %-14s %s%n",
                            "name", "zone", "state", "in view", "link", "since", "version");
                    while (in.nextToken() == JsonToken.START_OBJECT) {
                        Map<String, String> m = CommandRunner.fields(in);
                        System.out.printf(
                                "%-12s %-10s %-9s %-8s %-8s %-14s %s%n",
                                m.get("name"),
                                m.get("zone"),
                                state(m.get("standing")),
                                m.get("in view"),
                                m.get("link"),
                                m.get("since"),
                                m.get("version"));
                    }
                } else if (value == JsonToken.START_OBJECT) {
                    System.out.println(name + ": " + CommandRunner.fields(in));
                } else {
                    top.put(name, in.getText());
                }
            }
        }
    }

    /** The term for a member's state, by the word of the status answer. */
    private static String state(String standing) {
        return switch (standing) {
            case "here" -> "alive";
            case "doubted" -> "suspect";
            case "gone" -> "dead";
            default -> standing;
        };
    }
}
