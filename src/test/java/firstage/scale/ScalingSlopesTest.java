package firstage.scale;

import static org.assertj.core.api.Assertions.assertThat;

import firstage.cells.CellDirectory.InjectedDefect;
import firstage.simulation.schedule.SimulatedCells.FleetShape;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Guards against a control cost of a manager that grows with the fleet: docs/CAPACITY.md calls the
 * cost flat. The tests simulate three sizes, and a defect that the check must find.
 */
class ScalingSlopesTest {
    /**
     * Upper limit for the ratio of bytes a second with eight cells to bytes a second with two.
     * Random variation alone changes the ratio by less than 5%.
     */
    private static final double MAX_RATIO = 1.15;

    /**
     * Upper limit for the increase of row bytes a second per thousand managers. The row of a cell
     * is 12 bytes in the datagrams of three delegates, which makes 58 bytes a second per thousand
     * managers.
     */
    private static final double MAX_ROW_BYTES_PER_THOUSAND = 120;

    private static List<Map<String, Double>> measureSizes(InjectedDefect defect) {
        return IntStream.of(50, 100, 200)
                .parallel()
                .mapToObj(
                        managers ->
                                ScalingSlopes.measure(
                                        new FleetShape(managers, 25, 2, 1, true, 400, defect),
                                        3,
                                        false))
                .toList();
    }

    private static boolean isFlat(List<Map<String, Double>> rows) {
        return rows.get(2).get("bytes a s") < rows.get(0).get("bytes a s") * MAX_RATIO
                && ScalingSlopes.slope(rows, "bytes a s, rows")[0] < MAX_ROW_BYTES_PER_THOUSAND;
    }

    @Test
    void aManagersCostDoesNotGrowWithTheFleet() {
        List<Map<String, Double>> rows = measureSizes(InjectedDefect.NONE);
        assertThat(rows)
                .allSatisfy(
                        row -> {
                            assertThat(row.get("bytes a s")).isLessThan(4_000);
                            assertThat(row.get("a kill known, 99th, s")).isBetween(0.0, 2.5);
                            assertThat(row.get("start: slices in force at 10 s")).isEqualTo(1);
                        });
        assertThat(isFlat(rows)).isTrue();
    }

    /** Guards against a check that misses the defect: one kind of message goes to all cells. */
    @Test
    void aMessageSentToAllIsFound() {
        assertThat(isFlat(measureSizes(InjectedDefect.SENT_TO_ALL_CELLS))).isFalse();
    }
}
