package firstage.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.core.JsonProcessingException;
import firstage.policy.api.TrafficClass;
import firstage.util.Ticks;
import java.io.FileNotFoundException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests reading the platform's configuration: complete, invalid, and while the file is being
 * replaced.
 */
class ManagerConfigReaderTest {
    private static final Path STORED =
            Path.of("src", "test", "resources", "stored", "manager-config.json");

    @TempDir private Path folder;

    private Path file(String text) throws IOException {
        return Files.writeString(folder.resolve("config.json"), text);
    }

    @Test
    void read_storedFile_givesAddressesAndLimits() throws IOException {
        ManagerConfig config = ManagerConfigReader.read(STORED);
        assertThat(config.name()).isEqualTo("m3");
        assertThat(config.listenAddress()).isEqualTo(new InetSocketAddress("127.0.0.1", 7300));
        assertThat(config.coordinatorAddress()).isEqualTo(new InetSocketAddress("127.0.0.2", 7400));
        assertThat(config.maxFileDescriptors()).isEqualTo(1_024);
        assertThat(config.memoryLimitMb()).isEqualTo(192);
        assertThat(config.maxClientConnections()).isEqualTo(357);
        assertThat(config.maxEngineConnections()).isEqualTo(627);
        assertThat(config.maxClientBytes()).isEqualTo(24L << 20);
        assertThat(config.shutdownTimeout()).isEqualTo(Ticks.ofMillis(3_700));
        assertThat(config.initialEndpoints().get("index")).isEqualTo("12");
    }

    @Test
    void read_storedFile_givesTheDeployment() throws IOException {
        ManagerConfig config = ManagerConfigReader.read(STORED);
        assertThat(config.deployment().seed()).isEqualTo(0xfeedfacecafebeefL);
        assertThat(config.deployment().managers()).isEqualTo(4);
        assertThat(config.deployment().rank()).isEqualTo(3);
        assertThat(config.deployment().tenantRates()).containsExactly(13.0 / Ticks.PER_SECOND);
        TrafficClass lookup = config.deployment().trafficClasses().get(0);
        assertThat(lookup.timeout()).isEqualTo(Ticks.ofSeconds(5));
        assertThat(lookup.latencyObjective()).isEqualTo(Ticks.ofSeconds(1));
        assertThat(lookup.effect()).isEqualTo(TrafficClass.Effect.IDEMPOTENT);
        assertThat(lookup.zones()).containsExactly(1);
    }

    @Test
    void read_fileWithoutLimits_isUnlimited() throws IOException {
        ManagerConfig config =
                ManagerConfigReader.read(file("{\"listen\":\"127.0.0.1:1\",\"settings\":{}}"));
        assertThat(config.name()).isEqualTo("manager");
        assertThat(config.initialEndpoints()).isEqualTo(Map.of());
        assertThat(config.maxEngineConnections()).isEqualTo(Integer.MAX_VALUE / 2);
        assertThat(config.maxClientBytes()).isEqualTo(Long.MAX_VALUE / 2);
    }

    @Test
    void read_unusableAddress_namesFileAndValue() throws IOException {
        Path file = file("{\"listen\":\"somewhere:1\",\"settings\":{}}");
        assertThatThrownBy(() -> ManagerConfigReader.read(file))
                .isInstanceOf(InvalidConfigException.class)
                .hasMessage(file + ": not an address HOST:PORT with a numeric host: somewhere:1");
    }

    @Test
    void read_fileWithoutSettings_namesFile() throws IOException {
        Path file = file("{\"listen\":\"127.0.0.1:1\"}");
        assertThatThrownBy(() -> ManagerConfigReader.read(file))
                .isInstanceOf(InvalidConfigException.class)
                .hasMessage(file + ": settings are missing or not an object");
    }

    /**
     * A file is in these states only while it is being replaced, so a start retries on these
     * exceptions.
     */
    @Test
    void read_missingEmptyOrTruncatedFile_throwsTransientException() throws IOException {
        assertThatThrownBy(() -> ManagerConfigReader.read(folder.resolve("none")))
                .isInstanceOf(FileNotFoundException.class);
        Path empty = file("");
        assertThatThrownBy(() -> ManagerConfigReader.read(empty))
                .isInstanceOf(JsonProcessingException.class);
        Path truncated = file("{\"listen\":\"127.0.0.1:1\",\"settings\":{\"rank\"");
        assertThatThrownBy(() -> ManagerConfigReader.read(truncated))
                .isInstanceOf(JsonProcessingException.class);
    }
}
