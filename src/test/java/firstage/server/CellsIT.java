package firstage.server;

import static org.assertj.core.api.Assertions.assertThat;

import firstage.cells.CellPlan;
import firstage.config.ManagerConfig;
import firstage.faulttest.LoopbackAddresses;
import firstage.faulttest.ManagerConfigWriter;
import firstage.server.membership.MembershipTransport;
import firstage.simulation.FleetPlan;
import firstage.simulation.FleetPlanReader;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests two real managers, each a cell: a new plan moves engines from one cell to the other. */
@Timeout(120)
class CellsIT {
    private static final int ENGINES = 16;

    // Second octets of the loopback addresses of a manager's client side, of its engines, and of
    // its side for peers.
    private static final int HTTP_OCTET = 60;
    private static final int ENGINE_OCTET = 62;
    private static final int PEERS_OCTET = 64;

    @TempDir private Path folder;
    private final Map<String, Process> managers = new HashMap<>();
    private ServerSocket portLock;

    @AfterEach
    void stop() throws Exception {
        for (Process manager : managers.values()) {
            manager.destroyForcibly().waitFor();
        }
        portLock.close();
    }

    private String address(String cell, int secondOctet) {
        return "127."
                + secondOctet
                + "."
                + (cell.equals("a") ? 0 : 1)
                + ".1:"
                + portLock.getLocalPort();
    }

    private Path config(String cell) throws IOException {
        FleetPlan plan =
                FleetPlanReader.read(
                        Files.readString(Path.of("deploy", "fault-tests", "calm.toml"))
                                .replace("zones = \"north, south\"", "zones = \"z\"")
                                .replace("count = 4", "count = 2")
                                .replace("count = 6", "count = " + ENGINES));
        Path file = folder.resolve(cell + ".json");
        int rank = cell.equals("a") ? 0 : 1;
        ManagerConfigWriter.writeConfig(
                file,
                plan,
                new ManagerConfigWriter.ManagerSpec(
                        cell,
                        ManagerConfig.parseAddress(address(cell, HTTP_OCTET)),
                        null,
                        rank,
                        0,
                        engine -> ManagerConfig.parseAddress(address("a", ENGINE_OCTET))),
                rank);
        return file;
    }

    private void start(String cell, int plan) throws Exception {
        if (managers.containsKey(cell)) {
            managers.get(cell).destroyForcibly().waitFor();
        }
        String cells =
                "[[cell]]\nname = 'a'\nzone = 'z'\nhosts = ['"
                        + address("a", PEERS_OCTET)
                        + "']\n"
                        + (plan == 1 ? "" : "serves = false\n")
                        + "[[cell]]\nname = 'b'\nzone = 'z'\nhosts = ['"
                        + address("b", PEERS_OCTET)
                        + "']\n"
                        + (plan == 1 ? "" : "[before]\nplan = 1\ncells = ['a', 'b']\n");
        Path peers =
                Files.writeString(
                        folder.resolve(cell + ".toml"),
                        "fleet = 'f'\nlisten = '"
                                + address(cell, PEERS_OCTET)
                                + "'\nplan = "
                                + plan
                                + "\n"
                                + cells);
        ProcessBuilder builder =
                new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-ea",
                        "-Xmx64m",
                        "-jar",
                        "target/firstage.jar",
                        "serve",
                        "--peers",
                        peers.toString());
        builder.environment().put("ROUTER_CONFIG", config(cell).toString());
        managers.put(
                cell,
                builder.redirectErrorStream(true)
                        .redirectOutput(
                                ProcessBuilder.Redirect.appendTo(
                                        folder.resolve(cell + ".log").toFile()))
                        .start());
    }

    /** Requests the view of a cell's manager until it contains {@code text}; returns the view. */
    private String awaitView(String cell, String text) throws IOException {
        String[] hostAndPort = address(cell, PEERS_OCTET).split(":");
        byte[] request = MembershipTransport.STATUS_REQUEST.getBytes(StandardCharsets.US_ASCII);
        DatagramPacket answer = new DatagramPacket(new byte[64 * 1024], 64 * 1024);
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            socket.setSoTimeout(200);
            while (true) {
                assertThat(managers.get(cell).isAlive())
                        .as(Files.readString(folder.resolve(cell + ".log")))
                        .isTrue();
                socket.send(
                        new DatagramPacket(
                                request,
                                request.length,
                                new InetSocketAddress(
                                        hostAndPort[0], Integer.parseInt(hostAndPort[1]))));
                try {
                    socket.receive(answer);
                    String view =
                            new String(
                                    answer.getData(),
                                    0,
                                    answer.getLength(),
                                    StandardCharsets.UTF_8);
                    if (view.contains(text)) {
                        return view;
                    }
                } catch (SocketTimeoutException noAnswer) {
                    assertThat(noAnswer).isNotNull();
                }
            }
        }
    }

    @Test
    void movedEngines_losingCellHoldsNewPlan_areTakenOver() throws Exception {
        portLock = LoopbackAddresses.reservePort();
        CellPlan firstPlan =
                new CellPlan(
                        1,
                        1,
                        List.of(
                                new CellPlan.Cell("a", "z", 1, true),
                                new CellPlan.Cell("b", "z", 1, true)));
        long movedEngines =
                IntStream.rangeClosed(1, ENGINES)
                        .filter(id -> firstPlan.serves(0, id, "z"))
                        .count();
        assertThat(movedEngines).isBetween(3L, 13L);
        start("a", 1);
        start("b", 1);
        assertThat(awaitView("b", "\"cells heard\":2"))
                .contains(
                        "\"cell\":\"b\"",
                        "\"plan\":1",
                        "\"share\":1.0",
                        "\"engines waited for\":0");
        start("b", 2);
        String viewWithNewPlan = awaitView("b", "\"cells heard\":2");
        assertThat(viewWithNewPlan)
                .contains(
                        "\"plan\":2",
                        "\"plan not held by\":\"a",
                        "\"engines waited for\":" + movedEngines);
        start("a", 2);
        assertThat(awaitView("b", "\"engines waited for\":0"))
                .contains("\"plan not held by\":\"\"");
        assertThat(Files.readString(folder.resolve("b.log")))
                .contains("cell {\"engines taken over\":" + movedEngines + "}")
                .contains("cell {\"is\":\"follows\",\"name\":\"a\"")
                .doesNotContain("Exception", "AssertionError");
        start("a", 1);
        assertThat(managers.get("a").waitFor(30, TimeUnit.SECONDS)).isTrue();
        assertThat(managers.get("a").exitValue()).isEqualTo(2);
        assertThat(Files.readString(folder.resolve("a.log")))
                .contains("a.toml: plan: 1 is older than 2");
    }
}
