package firstage.server;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the classes that a manager without peers loads, and the errors of unusable peers files. */
@Timeout(60)
class PeersIT {
    private static final String JAR = "target/firstage.jar";
    @TempDir private Path folder;

    /** Returns a builder of a Java process, whose output is written to the file {@code out}. */
    private ProcessBuilder javaProcess(String... arguments) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of(arguments));
        return new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(folder.resolve("out").toFile());
    }

    @Test
    void start_withoutPeers_loadsNoFleetControl() throws Exception {
        Path loaded = folder.resolve("loaded");
        Process process =
                javaProcess("-Xlog:class+load:file=" + loaded, "-jar", JAR, "rehearse").start();
        assertThat(process.waitFor(30, TimeUnit.SECONDS)).isTrue();
        String classes = Files.readString(loaded);
        assertThat(classes)
                .contains("firstage.server.ManagerServer")
                .doesNotContain(
                        "firstage.membership.",
                        "firstage.server.membership.MembershipTransport",
                        "firstage.overload.",
                        "firstage.failover.",
                        "firstage.cells.",
                        "firstage.scale.",
                        "dataformat.cbor",
                        "org.tomlj",
                        "picocli",
                        "firstage.faulttest",
                        "firstage.simulation");
    }

    @Test
    void platformCommand_namesNoPeersFile() throws IOException {
        assertThat(Files.readAllLines(Path.of("deploy", "balancer.toml")))
                .filteredOn(line -> line.startsWith("run = "))
                .hasSize(1)
                .allMatch(line -> line.contains(" serve\"") && !line.contains("--peers"));
    }

    /**
     * Starts the program with this peers file and asserts that it exits with status 2.
     *
     * @param peersFile the text of the file, with {@code ~} for a line end
     */
    private void assertExitsWithStatusTwo(String peersFile) throws Exception {
        Path peers = Files.writeString(folder.resolve("peers.toml"), peersFile.replace('~', '\n'));
        Path config =
                Files.writeString(
                        folder.resolve("c.json"),
                        "{\"name\":\"m\",\"listen\":\"127.0.0.1:1\",\"settings\":{}}");
        ProcessBuilder builder = javaProcess("-jar", JAR, "serve", "--peers", peers.toString());
        builder.environment().put("ROUTER_CONFIG", config.toString());
        Process process = builder.start();
        assertThat(process.waitFor(30, TimeUnit.SECONDS)).isTrue();
        assertThat(process.exitValue()).isEqualTo(2);
    }

    /** With an older plan, the manager would use engines again that it has released. */
    @Test
    void peersFile_planOlderThanHeld_isRefused() throws Exception {
        Files.writeString(folder.resolve("peers.toml.plan"), "8\n");
        assertExitsWithStatusTwo(
                "fleet = 'a'~listen = '127.0.0.1:9'~plan = 7~[[cell]]~name = 'c'~zone = 'z'~"
                        + "hosts = ['127.0.0.1:9']");
        assertThat(Files.readAllLines(folder.resolve("out")))
                .hasSize(1)
                .allMatch(
                        line ->
                                line.contains(
                                        "peers.toml: plan: 7 is older than 8, which this manager"
                                                + " held; give it the newer file"));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "fleet = 'a'~listen = '127.0.0.1:9'~[[peer]]~address = 'x'|:3: peer.address: 'x' is"
                        + " no address",
                "fleet = 'a'~listen = '127.0.0.1:9'~colour = 1|:3: colour: is unknown; known are",
                "fleet = 'a'~[[peer]]~address = '127.0.0.1:8'|has no listen; write listen",
                "fleet = 'a'~listen = '127.0.0.1:9'~probe = '1 h'~[[peer]]~address ="
                        + " '127.0.0.1:8'|:3: probe: '1 h' is no time",
                "fleet = 'a'~listen = '127.0.0.1:9'|peer: there are none",
                "fleet = 'a'~listen = '127.0.0.1:9'~plan = 2~[[peer]]~address = '127.0.0.1:8'|:3:"
                        + " plan: is of a fleet in cells",
                "fleet = 'a'~listen = '127.0.0.1:9'~[[cell]]~name = 'c'~zone = 'z'~hosts ="
                        + " ['127.0.0.1:9']|plan: null is no",
                "fleet = 'a'~listen = '127.0.0.1:9'~plan = 1~[[cell]]~name = 'c'~zone = 'z'~hosts ="
                        + " ['x']|cell.hosts: 'x' is no address",
                "fleet = 'a'~listen = '127.0.0.9:9'~plan = 1~[[cell]]~name = 'c'~zone = 'z'~hosts ="
                        + " ['127.0.0.1-3:9']|listen: stands in no cell's hosts",
                "fleet = 'a'~listen = '127.0.0.1:9'~plan = 1~spread = 2~[[cell]]~name = 'c'~zone ="
                    + " 'z'~hosts = ['127.0.0.1:9']|:4: spread: zone z has 1 cells that serve; a"
                    + " spread of up to 1 would do",
                "fleet = 'a'~listen = '127.0.0.1:9'~plan = 2~[[cell]]~name = 'c'~zone = 'z'~hosts ="
                        + " ['127.0.0.1:9']~[before]~plan = 1~cells = ['d']|before.cells: 'd' is no"
                        + " cell of this plan; keep it, with serves = false",
                "fleet = 'a'~listen = '127.0.0.1:9'~plan = 2~[[cell]]~name = 'c'~zone = 'z'~hosts ="
                        + " ['127.0.0.1:9']~[before]~plan = 2~cells = ['c']|before.plan: 2 is not"
                        + " before plan 2",
                "fleet = [|:1:"
            })
    void peersFile_unusable_endsProgramWithOneLine(String peersFile, String message)
            throws Exception {
        assertExitsWithStatusTwo(peersFile);
        assertThat(Files.readString(folder.resolve("out")))
                .contains("can't serve: ", message)
                .contains("peers.toml");
    }
}
