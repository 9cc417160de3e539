package firstage.scale;

import static org.assertj.core.api.Assertions.assertThat;

import firstage.cells.CellDirectory.InjectedDefect;
import firstage.simulation.schedule.SimulatedCells.Shape;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * What docs/CAPACITY.md calls flat is flat: three sizes in virtual time, and a fault that the check
 * must find.
 */
class ScalingSlopesTest {
    /** Of bytes a second between two cells and eight: chance alone makes under a twentieth. */
    private static final double ALIKE = 1.15;

    /**
     * A cell's row is 12 bytes in the datagrams of three deputies: 58 bytes a second for a thousand
     * managers more.
     */
    private static final double BY_A_THOUSAND = 120;

    private static List<Map<String, Double>> rows(InjectedDefect fault) {
        return IntStream.of(50, 100, 200)
                .parallel()
                .mapToObj(
                        n -> ScalingSlopes.play(new Shape(n, 25, 2, 1, true, 400, fault), 3, false))
                .toList();
    }

    private static boolean flat(List<Map<String, Double>> rows) {
        return rows.get(2).get("bytes a s") < rows.get(0).get("bytes a s") * ALIKE
                && ScalingSlopes.slope(rows, "bytes a s, rows")[0] < BY_A_THOUSAND;
    }

    @Test
    void aManagersCostDoesNotGrowWithTheFleet() {
        List<Map<String, Double>> rows = rows(InjectedDefect.NONE);
        assertThat(rows)
                .allSatisfy(
                        r -> {
                            assertThat(r.get("bytes a s")).isLessThan(4_000);
                            assertThat(r.get("a kill known, 99th, s")).isBetween(0.0, 2.5);
                            assertThat(r.get("start: slices in force at 10 s")).isEqualTo(1);
                        });
        assertThat(flat(rows)).isTrue();
    }

    /** One kind of message sent to all cells. */
    @Test
    void aMessageSentToAllIsFound() {
        assertThat(flat(rows(InjectedDefect.SENT_TO_ALL_CELLS))).isFalse();
    }
}
