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

/**
 * Two real managers, each a cell of its own: engines go from the one to the other with a new plan.
 */
@Timeout(120)
class CellsIT {
    private static final int ENGINES = 16;
    @TempDir private Path folder;
    private final Map<String, Process> programs = new HashMap<>();
    private ServerSocket lock;

    @AfterEach
    void stop() throws Exception {
        for (Process p : programs.values()) {
            p.destroyForcibly().waitFor();
        }
        lock.close();
    }

    private String at(String cell, int second) {
        return "127." + second + "." + (cell.equals("a") ? 0 : 1) + ".1:" + lock.getLocalPort();
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
        ManagerConfigWriter.config(
                file,
                plan,
                new ManagerConfigWriter.Place(
                        cell,
                        ManagerConfig.parseAddress(at(cell, 60)),
                        null,
                        rank,
                        0,
                        e -> ManagerConfig.parseAddress(at("a", 62))),
                rank);
        return file;
    }

    private void start(String cell, int plan) throws Exception {
        if (programs.containsKey(cell)) {
            programs.get(cell).destroyForcibly().waitFor();
        }
        String cells =
                "[[cell]]\nname = 'a'\nzone = 'z'\nhosts = ['"
                        + at("a", 64)
                        + "']\n"
                        + (plan == 1 ? "" : "serves = false\n")
                        + "[[cell]]\nname = 'b'\nzone = 'z'\nhosts = ['"
                        + at("b", 64)
                        + "']\n"
                        + (plan == 1 ? "" : "[before]\nplan = 1\ncells = ['a', 'b']\n");
        Path peers =
                Files.writeString(
                        folder.resolve(cell + ".toml"),
                        "fleet = 'f'\nlisten = '"
                                + at(cell, 64)
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
        programs.put(
                cell,
                builder.redirectErrorStream(true)
                        .redirectOutput(
                                ProcessBuilder.Redirect.appendTo(
                                        folder.resolve(cell + ".log").toFile()))
                        .start());
    }

    /** What it tells of its view; again and again, until that has these words. */
    private String await(String cell, String words) throws IOException {
        String[] to = at(cell, 64).split(":");
        byte[] asked = MembershipTransport.STATUS_REQUEST.getBytes(StandardCharsets.US_ASCII);
        DatagramPacket answer = new DatagramPacket(new byte[64 * 1024], 64 * 1024);
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            socket.setSoTimeout(200);
            while (true) {
                assertThat(programs.get(cell).isAlive())
                        .as(Files.readString(folder.resolve(cell + ".log")))
                        .isTrue();
                socket.send(
                        new DatagramPacket(
                                asked,
                                asked.length,
                                new InetSocketAddress(to[0], Integer.parseInt(to[1]))));
                try {
                    socket.receive(answer);
                    String told =
                            new String(
                                    answer.getData(),
                                    0,
                                    answer.getLength(),
                                    StandardCharsets.UTF_8);
                    if (told.contains(words)) {
                        return told;
                    }
                } catch (SocketTimeoutException again) {
                    assertThat(again).isNotNull();
                }
            }
        }
    }

    @Test
    void enginesAreTakenOverOnceTheCellThatLosesThemHoldsTheNewPlan() throws Exception {
        lock = LoopbackAddresses.hold();
        CellPlan one =
                new CellPlan(
                        1,
                        1,
                        List.of(
                                new CellPlan.Cell("a", "z", 1, true),
                                new CellPlan.Cell("b", "z", 1, true)));
        long moving = IntStream.rangeClosed(1, ENGINES).filter(e -> one.serves(0, e, "z")).count();
        assertThat(moving).isBetween(3L, 13L);
        start("a", 1);
        start("b", 1);
        assertThat(await("b", "\"cells heard\":2"))
                .contains(
                        "\"cell\":\"b\"",
                        "\"plan\":1",
                        "\"share\":1.0",
                        "\"engines waited for\":0");
        start("b", 2);
        String waiting = await("b", "\"cells heard\":2");
        assertThat(waiting)
                .contains(
                        "\"plan\":2",
                        "\"plan not held by\":\"a",
                        "\"engines waited for\":" + moving);
        start("a", 2);
        assertThat(await("b", "\"engines waited for\":0")).contains("\"plan not held by\":\"\"");
        assertThat(Files.readString(folder.resolve("b.log")))
                .contains("cell {\"engines taken over\":" + moving + "}")
                .contains("cell {\"is\":\"follows\",\"name\":\"a\"")
                .doesNotContain("Exception", "AssertionError");
        start("a", 1);
        assertThat(programs.get("a").waitFor(30, TimeUnit.SECONDS)).isTrue();
        assertThat(programs.get("a").exitValue()).isEqualTo(2);
        assertThat(Files.readString(folder.resolve("a.log")))
                .contains("a.toml: plan: 1 is older than 2");
    }
}
