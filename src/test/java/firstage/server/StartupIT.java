package firstage.server;

import static firstage.fixtures.ManagerSettings.LOOKUP;
import static org.assertj.core.api.Assertions.assertThat;

import firstage.fixtures.BackgroundTasks;
import firstage.fixtures.ManagerFixture;
import firstage.fixtures.QueryClient;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the start of the process, until it serves. */
class StartupIT extends ManagerFixture {
    @ParameterizedTest
    @CsvSource({
        "'{\"listen\":'",
        "'{}'",
        "'{\"settings\":{}}'",
        "'{\"settings\":{},\"listen\":\"nowhere\"}'"
    })
    void start_brokenConfiguration_endsWithOneLine(String brokenConfig) throws Exception {
        // The first process is killed, as it would write to the same log.
        manager.kill();
        manager.start(brokenConfig);
        assertThat(manager.awaitExit()).isEqualTo(2);
        List<String> log = Files.readAllLines(folder.resolve("log"));
        assertThat(log.get(log.size() - 1)).startsWith("can't serve: ");
        assertThat(log.stream().filter(line -> line.contains("tried again"))).hasSizeLessThan(2);
    }

    /** Programs that rewrite a file truncate it and fill it in pieces, or remove it first. */
    @ParameterizedTest
    @ValueSource(strings = {"missing", "empty", "truncated"})
    void start_configurationBeingReplaced_isReadAgain(String state) throws Exception {
        manager.kill();
        String wholeConfig = config();
        manager.start(
                state.equals("truncated")
                        ? wholeConfig.substring(0, wholeConfig.length() / 2)
                        : "");
        if (state.equals("missing")) {
            Files.delete(manager.configFile());
        }
        // On a busy machine, the first read of the file may take longer than the file stays
        // unusable in this test.
        manager.awaitLog("tried again");
        Thread.sleep(1_200);
        assertThat(manager.isAlive()).isTrue();
        Files.writeString(manager.configFile(), wholeConfig);
        manager.awaitAlive();
        assertThat(manager.log()).containsOnlyOnce("tried again");
    }

    @Test
    void start_addressStillHeld_isTriedAgain() throws Exception {
        manager.kill();
        try (ServerSocket holder = new ServerSocket()) {
            holder.setReuseAddress(true);
            holder.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), manager.port()));
            manager.start(config());
            // On a busy machine, the first attempt to bind may take longer than the address stays
            // in use in this test.
            manager.awaitLog("tried again");
            Thread.sleep(1_500);
            assertThat(manager.isAlive()).isTrue();
        }
        manager.awaitAlive();
        assertThat(manager.log()).containsOnlyOnce("tried again");
    }

    /**
     * Restarts the process under load, killed and terminated in turn, while the configuration is
     * rewritten in pieces. Six restarts by default; {@code -Dfirstage.restarts=200} for a long run.
     */
    @Test
    @Timeout(600)
    void restart_underLoad_neverFails() throws Exception {
        int restarts = Integer.getInteger("firstage.restarts", 6);
        String wholeConfig = config();
        boolean[] stopped = {false};
        BackgroundTasks.start(
                () -> {
                    while (!stopped[0]) {
                        try (QueryClient client = newClient()) {
                            for (int i = 0; i < 50; i++) {
                                client.requestToEnd(LOOKUP, "", "SELECT 1", 1000);
                            }
                        } catch (IOException down) {
                            Thread.sleep(2);
                        }
                    }
                });
        Path rewritten = Files.writeString(folder.resolve("rewritten.json"), wholeConfig);
        BackgroundTasks.start(
                () -> {
                    while (!stopped[0]) {
                        Files.writeString(rewritten, "");
                        Thread.sleep(1);
                        Files.writeString(
                                rewritten, wholeConfig.substring(0, wholeConfig.length() / 3));
                        Thread.sleep(1);
                        Files.writeString(rewritten, wholeConfig);
                        Thread.sleep(3);
                    }
                });
        for (int i = 0; i < restarts; i++) {
            if (i % 2 == 0) {
                manager.kill();
            } else {
                manager.terminate();
                assertThat(manager.awaitExit()).as("restart %d", i).isZero();
            }
            manager.startWith(rewritten);
            manager.awaitAlive();
        }
        stopped[0] = true;
    }
}
