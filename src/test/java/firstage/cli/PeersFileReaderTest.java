package firstage.cli;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import firstage.cells.CellPlan;
import firstage.config.InvalidConfigException;
import firstage.config.PeerConfig;
import firstage.util.Ticks;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests that peers files and plan number files of earlier versions are still read with the same
 * values.
 */
class PeersFileReaderTest {
    private static final Path STORED = Path.of("src", "test", "resources", "stored");
    private static final Path WITHOUT_CELLS = STORED.resolve("peers.toml");
    private static final Path WITH_CELLS = STORED.resolve("peers-cells.toml");
    private static final Path PLAN_NUMBER = STORED.resolve("peers-cells.toml.plan");

    @TempDir private Path folder;

    private static InetSocketAddress address(String host) {
        return new InetSocketAddress(host, 7946);
    }

    @Test
    void read_storedFileWithoutCells_givesEachValue() throws IOException {
        PeerConfig peers = PeersFileReader.read(WITHOUT_CELLS, "unused");
        assertThat(peers)
                .isEqualTo(
                        new PeerConfig(
                                "shop",
                                "m0",
                                "north",
                                1.0,
                                address("127.0.0.1"),
                                Ticks.ofMillis(200),
                                List.of(address("127.0.0.2"), address("127.0.0.3")),
                                STORED.resolve("peers.toml.withdrew"),
                                null));
    }

    @Test
    void read_fileWithoutName_takesTheDefault() throws IOException {
        Path file = folder.resolve("peers.toml");
        Files.writeString(file, Files.readString(WITHOUT_CELLS).replaceFirst("(?m)^name = .*", ""));
        assertThat(PeersFileReader.read(file, "m7").name()).isEqualTo("m7");
    }

    @Test
    void read_storedFileWithCells_givesPlaceAndPeers() throws IOException {
        PeerConfig peers = PeersFileReader.read(WITH_CELLS, "unused");
        assertThat(peers.zone()).isEqualTo("north");
        assertThat(peers.probeInterval()).isEqualTo(Ticks.ofSeconds(1));
        assertThat(peers.withdrawalMark()).isEqualTo(STORED.resolve("peers-cells.toml.withdrew"));
        assertThat(peers.peerAddresses())
                .containsExactly(address("10.1.2.1"), address("10.1.2.2"), address("10.1.2.9"));
        assertThat(peers.cellPlacement().cell()).isEqualTo(1);
        assertThat(peers.cellPlacement().slot()).isEqualTo(1);
        assertThat(peers.cellPlacement().addressesByCell())
                .hasSize(3)
                .startsWith(List.of(address("10.1.1.1"), address("10.1.1.2"), address("10.1.1.3")))
                .endsWith(List.of(address("10.1.3.1")));
    }

    @Test
    void read_storedFileWithCells_givesBothPlans() throws IOException {
        PeerConfig.CellPlacement placement =
                PeersFileReader.read(WITH_CELLS, "unused").cellPlacement();
        assertThat(placement.plan())
                .isEqualTo(
                        new CellPlan(
                                3,
                                2,
                                List.of(
                                        new CellPlan.Cell("n-1", "north", 3, true),
                                        new CellPlan.Cell("n-2", "north", 3, true),
                                        new CellPlan.Cell("n-3", "north", 1, false))));
        assertThat(placement.previousPlan())
                .isEqualTo(
                        new CellPlan(
                                2,
                                2,
                                List.of(
                                        new CellPlan.Cell("n-1", "north", 3, true),
                                        new CellPlan.Cell("n-2", "north", 3, false),
                                        new CellPlan.Cell("n-3", "north", 1, true))));
    }

    /**
     * Writes a copy of the stored file with this plan's number, and beside it the stored number 3.
     */
    private Path peersFileOfPlan(int number) throws IOException {
        Path file = folder.resolve("peers-cells.toml");
        String text =
                Files.readString(WITH_CELLS).replace("\nplan = 3\n", "\nplan = " + number + "\n");
        Files.writeString(file, text.replaceFirst("(?s)\\[before\\].*", ""));
        Files.copy(PLAN_NUMBER, folder.resolve("peers-cells.toml.plan"));
        return file;
    }

    @Test
    void store_olderThanTheStoredPlan_isRefusedNamingBoth() throws IOException {
        Path file = peersFileOfPlan(2);
        PeerConfig peers = PeersFileReader.read(file, "unused");
        assertThatThrownBy(() -> PlanNumberFile.store(file, peers))
                .isInstanceOf(InvalidConfigException.class)
                .hasMessage(
                        file
                                + ": plan: 2 is older than 3, which this manager held; give it the"
                                + " newer file");
        assertThat(folder.resolve("peers-cells.toml.plan")).hasContent("3");
    }

    @Test
    void store_newerThanTheStoredPlan_writesItsNumber() throws IOException {
        Path file = peersFileOfPlan(14);
        PlanNumberFile.store(file, PeersFileReader.read(file, "unused"));
        assertThat(Files.readString(folder.resolve("peers-cells.toml.plan"))).isEqualTo("14\n");
    }

    /**
     * A kill or a full disk during the write must not leave the file without a number: an older
     * plan would then be accepted.
     */
    @Test
    void store_writeFails_keepsThePreviousNumber() throws IOException {
        Path file = peersFileOfPlan(14);
        PeerConfig peers = PeersFileReader.read(file, "unused");
        Files.createDirectory(folder.resolve("peers-cells.toml.plan.new"));
        assertThatThrownBy(() -> PlanNumberFile.store(file, peers)).isInstanceOf(IOException.class);
        assertThat(folder.resolve("peers-cells.toml.plan")).hasContent("3");
    }

    @Test
    void store_theStoredPlan_leavesTheFile() throws IOException {
        Path file = peersFileOfPlan(3);
        Path stored = folder.resolve("peers-cells.toml.plan");
        Files.writeString(stored, " 3 \n");
        PlanNumberFile.store(file, PeersFileReader.read(file, "unused"));
        assertThat(Files.readString(stored)).isEqualTo(" 3 \n");
    }

    @Test
    void store_firstPlan_writesTheBytesThatEarlierVersionsRead() throws IOException {
        Path file = peersFileOfPlan(3);
        Path stored = folder.resolve("peers-cells.toml.plan");
        Files.delete(stored);
        PlanNumberFile.store(file, PeersFileReader.read(file, "unused"));
        assertThat(stored).hasSameBinaryContentAs(PLAN_NUMBER);
    }

    @Test
    void store_fleetWithoutCells_writesNothing() throws IOException {
        Path file = folder.resolve("peers.toml");
        Files.copy(WITHOUT_CELLS, file);
        PlanNumberFile.store(file, PeersFileReader.read(file, "unused"));
        assertThat(folder).isDirectoryNotContaining("glob:**.plan");
    }

    @Test
    void read_wrongValue_namesFileLineAndCure() throws IOException {
        Path file = folder.resolve("peers.toml");
        Files.writeString(file, Files.readString(WITHOUT_CELLS).replace("\"200 ms\"", "\"1 h\""));
        assertThatThrownBy(() -> PeersFileReader.read(file, "unused"))
                .isInstanceOfSatisfying(
                        InvalidConfigException.class,
                        exception -> {
                            assertThat(exception.file()).isEqualTo(file.toString());
                            assertThat(exception.line()).isEqualTo(6);
                            assertThat(exception)
                                    .hasMessage(
                                            file
                                                    + ":6: probe: '1 h' is no time from 50 ms to"
                                                    + " 10 s; \"200 ms\" would do");
                        });
    }
}
