package firstage.membership;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import firstage.cells.CellActions;
import firstage.cells.CellDirectory;
import firstage.cells.CellPlan;
import firstage.overload.LoadRow;
import firstage.overload.OverloadDigest;
import firstage.overload.OverloadDigest.EngineReport;
import firstage.policy.api.DemandHistogram;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.Stream;
import org.assertj.core.data.Offset;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests that managers of two versions of the program understand each other: datagrams recorded from
 * an earlier version are decoded to the same values, and the same values are encoded to the same
 * bytes.
 */
class RecordedDatagramsTest {
    private static final Map<String, byte[]> RECORDED = recorded();
    private static final long STARTED_AT = 1_700_000_000_000L;
    private static final byte[] NONE = new byte[0];

    private static final Member M0 =
            new Member("m0", "north", STARTED_AT, MemberState.ALIVE, "1.4.0", 1);
    private static final Member M1 =
            new Member("m1", "south", STARTED_AT + 1, MemberState.SUSPECT, "", 0.5);
    private static final Member M2 = new Member("m2", "", 5, MemberState.DEAD, "1.3.9", 2);
    private static final Member M3 = new Member("m3", "north", 6, MemberState.LEFT, "1.4.0", 1);

    private static final List<EngineReport> REPORTS =
            List.of(new EngineReport(7, true, 12_345), new EngineReport(-9_000_000_000L, false, 0));

    private static Map<String, byte[]> recorded() {
        Map<String, byte[]> recorded = new TreeMap<>();
        try (InputStream in =
                RecordedDatagramsTest.class.getResourceAsStream("/recorded/datagrams.txt")) {
            new String(in.readAllBytes(), StandardCharsets.UTF_8)
                    .lines()
                    .filter(line -> !line.startsWith("#"))
                    .map(line -> line.split(" "))
                    .forEach(parts -> recorded.put(parts[0], HexFormat.of().parseHex(parts[1])));
        } catch (IOException exception) {
            throw new IllegalStateException(exception);
        }
        return recorded;
    }

    /** Name of a recorded message and the values that it was encoded from. */
    private record Case(String name, MembershipMessage message) {
        @Override
        public String toString() {
            return name;
        }
    }

    private static Stream<Case> messages() {
        byte[] digest = RECORDED.get("overload-reports-and-rows");
        return Stream.of(
                new Case(
                        "ping",
                        new MembershipMessage(
                                "shop",
                                "m0",
                                STARTED_AT,
                                MembershipMessage.Kind.PING,
                                1,
                                "",
                                0,
                                0,
                                -1,
                                false,
                                List.of(),
                                List.of(),
                                List.of(M0),
                                NONE)),
                new Case(
                        "ack-with-grant",
                        new MembershipMessage(
                                "shop",
                                "m0",
                                STARTED_AT,
                                MembershipMessage.Kind.ACK,
                                300,
                                "m1",
                                12,
                                -77,
                                1_999,
                                true,
                                List.of("m2", "m3"),
                                List.of("m4"),
                                List.of(M0, M1),
                                digest)),
                new Case(
                        "ping-request",
                        new MembershipMessage(
                                "shop",
                                "m0",
                                STARTED_AT,
                                MembershipMessage.Kind.PING_REQUEST,
                                70_000,
                                "m1",
                                12,
                                Long.MAX_VALUE,
                                0,
                                false,
                                List.of(),
                                List.of("m1"),
                                List.of(M0, M1),
                                digest)),
                new Case(
                        "indirect-ack",
                        new MembershipMessage(
                                "shop",
                                "m1",
                                STARTED_AT + 1,
                                MembershipMessage.Kind.INDIRECT_ACK,
                                70_000,
                                "m1",
                                13,
                                Long.MIN_VALUE,
                                20,
                                false,
                                List.of(),
                                List.of(),
                                List.of(M1),
                                new byte[] {1, 2, 3})),
                new Case(
                        "sync",
                        new MembershipMessage(
                                "shop",
                                "m0",
                                STARTED_AT,
                                MembershipMessage.Kind.SYNC,
                                0,
                                "",
                                13,
                                4,
                                5,
                                false,
                                List.of(),
                                List.of(),
                                List.of(M0, M1, M2, M3),
                                digest)),
                new Case(
                        "sync-reply",
                        new MembershipMessage(
                                "shop",
                                "m3",
                                6,
                                MembershipMessage.Kind.SYNC_REPLY,
                                0,
                                "",
                                13,
                                4,
                                5,
                                false,
                                List.of(),
                                List.of(),
                                List.of(M3, M2, M1, M0),
                                NONE)));
    }

    @ParameterizedTest
    @MethodSource("messages")
    void message_recordedBytes_readAndWrittenAlike(Case recorded) throws Exception {
        MessageCodec codec = new MessageCodec(MessageCodec.MAX_DATAGRAM_BYTES);
        byte[] bytes = RECORDED.get(recorded.name);
        assertThat(codec.decode(bytes)).usingRecursiveComparison().isEqualTo(recorded.message);
        assertThat(codec.encode(recorded.message)).isEqualTo(bytes);
    }

    @Test
    void engineReports_recordedBytes_readAndWrittenAlike() {
        byte[] bytes = RECORDED.get("overload-reports");
        assertThat(OverloadDigest.decode(bytes).reports()).isEqualTo(REPORTS);
        assertThat(OverloadDigest.encode(REPORTS, List.of())).isEqualTo(bytes);
    }

    @Test
    void loadRows_recordedBytes_readAndWrittenAlike() {
        double[] arrivalRates = new double[DemandHistogram.BANDS];
        arrivalRates[0] = 0.5;
        arrivalRates[3] = 12;
        arrivalRates[DemandHistogram.BANDS - 1] = 0.001;
        int[] ejectedPercent = {0, 60, 255};
        int[] zoneOrders = {1, 1, 77, 2, 2, -5};
        List<LoadRow> rows =
                List.of(
                        new LoadRow(
                                -17,
                                123_456,
                                arrivalRates,
                                3.5,
                                0.25,
                                17,
                                2,
                                ejectedPercent,
                                zoneOrders),
                        new LoadRow(
                                99,
                                1,
                                new double[DemandHistogram.BANDS],
                                0,
                                0,
                                0,
                                255,
                                new int[0],
                                new int[0]));
        byte[] bytes = RECORDED.get("overload-rows");
        assertThat(OverloadDigest.encode(List.of(), rows)).isEqualTo(bytes);
        assertThat(OverloadDigest.encode(REPORTS, rows))
                .isEqualTo(RECORDED.get("overload-reports-and-rows"));

        List<LoadRow> read = OverloadDigest.decode(bytes).rows();
        assertThat(read).hasSize(2);
        LoadRow first = read.get(0);
        // Values are sent in steps of an eighth of an octave.
        assertThat(first.arrivalRates()).containsExactly(arrivalRates, within(0.6));
        assertThat(first.startRate()).isCloseTo(3.5, Offset.offset(0.2));
        assertThat(first.queuedWork()).isCloseTo(0.25, Offset.offset(0.015));
        assertThat(first.runningThreads()).isCloseTo(17, Offset.offset(0.8));
        assertThat(first)
                .usingRecursiveComparison()
                .ignoringFields("arrivalRates", "startRate", "queuedWork", "runningThreads")
                .isEqualTo(rows.get(0));
        assertThat(read.get(1)).usingRecursiveComparison().isEqualTo(rows.get(1));
        assertThat(OverloadDigest.encode(List.of(), read)).isEqualTo(bytes);
    }

    /** Records the datagrams that a cell directory sends. */
    private static final class SentDatagrams implements CellActions {
        private final List<String> targets = new ArrayList<>();
        private final List<byte[]> datagrams = new ArrayList<>();

        @Override
        public void send(int cell, int slot, byte[] datagram) {
            targets.add(cell + "." + slot);
            datagrams.add(datagram);
        }

        @Override
        public void onEnginesReleased(long now) {}

        @Override
        public void logCellEvent(long now, String event, String cell, String reason) {}

        @Override
        public int sheddingThreshold() {
            return 9;
        }
    }

    private static CellDirectory directory(int cell, int slot, String name, CellActions actions) {
        CellPlan plan =
                new CellPlan(
                        7,
                        1,
                        List.of(
                                new CellPlan.Cell("a", "north", 3, true),
                                new CellPlan.Cell("b", "south", 2, true),
                                new CellPlan.Cell("c", "south", 4, false)));
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(5);
        return new CellDirectory(
                plan,
                null,
                cell,
                slot,
                name,
                "shop",
                STARTED_AT,
                random,
                actions,
                CellDirectory.InjectedDefect.NONE);
    }

    @Test
    void cellRows_sameInputs_writtenAsRecorded() {
        SentDatagrams sent = new SentDatagrams();
        CellDirectory cells = directory(0, 1, "m1", sent);
        cells.onViewChanged(List.of("m0", "m1"));
        for (long now = 1_000_000; now < 1_030_000; now += 200) {
            cells.tick(now);
        }
        assertThat(sent.targets).containsExactly("2.0", "1.1", "1.0");
        assertThat(sent.datagrams)
                .allSatisfy(d -> assertThat(d).isEqualTo(RECORDED.get("cells-to-2.0")));
        assertThat(cells.encodeDigest(new byte[] {1, 2, 3})).isEqualTo(RECORDED.get("cell-digest"));
    }

    @Test
    void cellRows_recordedDatagram_readToTheSameValues() {
        CellDirectory cells = directory(1, 0, "m9", new SentDatagrams());
        cells.onDatagram(2_000_000, RECORDED.get("cells-to-1.1"));
        assertThat(cells.rejectedMessages()).isEmpty();
        assertThat(cells.cellStatuses(2_000_000).get(0))
                .isEqualTo(
                        new CellDirectory.CellStatus(
                                "a", "north", CellDirectory.CellState.ACTIVE, 0, 0, 2, 3, 9));
    }

    @Test
    void cellRows_recordedDigest_readToTheSameValues() {
        CellDirectory cells = directory(0, 2, "m2", new SentDatagrams());
        byte[] fleetDigest = cells.onDigest(2_000_000, 1, RECORDED.get("cell-digest"));
        assertThat(fleetDigest).containsExactly(1, 2, 3);
        assertThat(cells.cellStatuses(2_000_000).get(0).aliveManagers()).isEqualTo(2);
    }
}
