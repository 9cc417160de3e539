package firstage.cells;

import static org.assertj.core.api.Assertions.assertThat;

import firstage.cells.CellDirectory.CellState;
import firstage.cells.CellDirectory.CellStatus;
import firstage.cells.CellDirectory.InjectedDefect;
import firstage.overload.RendezvousHash;
import firstage.simulation.schedule.SimulatedCells;
import firstage.simulation.schedule.SimulatedCells.FleetShape;
import firstage.simulation.schedule.SimulatedCells.ManagerHost;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests cells in virtual time: delegates killed, a cell dead or cut in two, a region cut off, plans
 * changed while messages are lost. Times are in ticks.
 */
class SimulatedCellsTest {
    private static final long SECOND = 10_000;

    private static SimulatedCells startFleet(int managers, int cellSize, InjectedDefect defect) {
        SimulatedCells fleet =
                new SimulatedCells(new FleetShape(managers, cellSize, 2, 1, true, 400, defect), 7);
        fleet.start(SECOND);
        assertThat(fleet.timeUntilAgreed(20 * SECOND)).isNotNegative();
        fleet.advance(30 * SECOND);
        return fleet;
    }

    private static CellStatus statusOf(SimulatedCells fleet, int observer, int cell) {
        return fleet.hosts()
                .get(observer)
                .cellDirectory()
                .cellStatuses(fleet.events().now())
                .get(cell);
    }

    private static List<ManagerHost> managersOf(SimulatedCells fleet, int cell) {
        return fleet.hosts().stream().filter(manager -> manager.cell() == cell).toList();
    }

    @Test
    void cells_calmFleet_allKnownWithAliveManagers() {
        SimulatedCells fleet = startFleet(32, 8, InjectedDefect.NONE);
        for (ManagerHost manager : fleet.hosts()) {
            assertThat(manager.cellDirectory().cellStatuses(fleet.events().now()))
                    .allMatch(
                            status ->
                                    status.state() == CellState.ACTIVE
                                            && status.aliveManagers() == 8);
        }
    }

    /**
     * All delegates of a cell are killed at once: other managers take their place. With the
     * injected defect none does.
     */
    @ParameterizedTest
    @EnumSource(
            value = InjectedDefect.class,
            names = {"NONE", "FIXED_DELEGATES"})
    void cells_allDelegatesKilled_cellStillHeard(InjectedDefect defect) {
        SimulatedCells fleet = startFleet(32, 8, defect);
        List<String> names =
                managersOf(fleet, 1).stream().map(manager -> manager.membership().name()).toList();
        managersOf(fleet, 1).stream()
                .sorted(
                        Comparator.comparing(
                                manager ->
                                        RendezvousHash.countBefore(
                                                1, names, manager.membership().name())))
                .limit(3)
                .toList()
                .forEach(ManagerHost::kill);
        fleet.advance(45 * SECOND);
        assertThat(statusOf(fleet, 0, 1).state())
                .isEqualTo(defect == InjectedDefect.NONE ? CellState.ACTIVE : CellState.SILENT);
        if (defect == InjectedDefect.NONE) {
            assertThat(statusOf(fleet, 0, 1).aliveManagers()).isEqualTo(5);
        }
    }

    /**
     * With the injected defect, a dead cell still counts as active, because managers keep passing
     * its old rows on.
     */
    @ParameterizedTest
    @EnumSource(
            value = InjectedDefect.class,
            names = {"NONE", "OLDER_ROW_WINS"})
    void cells_wholeCellDies_silentThenHeardAgain(InjectedDefect defect) {
        SimulatedCells fleet = startFleet(32, 8, defect);
        managersOf(fleet, 1).forEach(ManagerHost::kill);
        fleet.advance(60 * SECOND);
        List<ManagerHost> others = fleet.hosts().stream().filter(ManagerHost::up).toList();
        if (defect != InjectedDefect.NONE) {
            assertThat(others)
                    .anyMatch(
                            manager ->
                                    manager.cellDirectory()
                                                    .cellStatuses(fleet.events().now())
                                                    .get(1)
                                                    .state()
                                            == CellState.ACTIVE);
            return;
        }
        assertThat(others)
                .allMatch(
                        manager ->
                                manager.cellDirectory()
                                                .cellStatuses(fleet.events().now())
                                                .get(1)
                                                .state()
                                        == CellState.SILENT);
        managersOf(fleet, 1).forEach(ManagerHost::start);
        fleet.advance(20 * SECOND);
        assertThat(others)
                .allMatch(
                        manager ->
                                manager.cellDirectory()
                                                .cellStatuses(fleet.events().now())
                                                .get(1)
                                                .state()
                                        == CellState.ACTIVE);
    }

    /**
     * Neither part of the cell takes shares that the other part uses; after the partition heals,
     * the cell has one view again.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 3, 4})
    void shares_cellCutInTwo_atMostTheWhole(int isolated) {
        SimulatedCells fleet = startFleet(24, 8, InjectedDefect.NONE);
        fleet.setPartition(manager -> manager < isolated, true);
        for (int i = 0; i < 120; i++) {
            fleet.advance(SECOND / 2);
            assertThat(managersOf(fleet, 0).stream().mapToDouble(ManagerHost::share).sum())
                    .isLessThanOrEqualTo(1 + 1e-9);
        }
        // Of eight managers, four are enough to keep their whole shares. Fewer keep half of their
        // shares, and the majority takes over the other half as far as it may.
        assertThat(managersOf(fleet, 0).stream().mapToDouble(ManagerHost::share).sum())
                .isGreaterThan(0.9);
        assertThat(managersOf(fleet, 0).get(0).share()).isEqualTo(isolated < 4 ? 0.0625 : 0.125);
        assertThat(managersOf(fleet, 1).stream().mapToDouble(ManagerHost::share).sum())
                .isEqualTo(1);
        fleet.setPartition(manager -> false, false);
        assertThat(fleet.timeUntilAgreed(10 * SECOND)).isNotNegative();
        fleet.advance(20 * SECOND);
        assertThat(managersOf(fleet, 0).stream().mapToDouble(ManagerHost::share).sum())
                .isGreaterThan(1 - 1e-9);
    }

    /**
     * Majorities are formed within cells, so a region that is cut off keeps all of its slices, and
     * its return causes no burst of messages.
     */
    @Test
    void shares_regionCutOff_keptAndNoBurstAfter() {
        SimulatedCells fleet = startFleet(48, 8, InjectedDefect.NONE);
        long usualBytes = bytesInSeconds(fleet, 10);
        // Cells alternate between the two regions, as they do between the zones.
        fleet.setPartition(manager -> manager / 8 % 2 == 0, true);
        fleet.advance(120 * SECOND);
        assertThat(fleet.quotaFractionInForce()).isEqualTo(1);
        assertThat(statusOf(fleet, 0, 1).state()).isEqualTo(CellState.SILENT);
        assertThat(statusOf(fleet, 0, 2).state()).isEqualTo(CellState.ACTIVE);
        fleet.setPartition(manager -> false, false);
        assertThat(bytesInSeconds(fleet, 10)).isLessThan(usualBytes * 6 / 5);
        fleet.advance(20 * SECOND);
        assertThat(IntStream.range(0, 6))
                .allMatch(c -> statusOf(fleet, 0, c).state() == CellState.ACTIVE);
    }

    private static long bytesInSeconds(SimulatedCells fleet, int seconds) {
        long before = fleet.bytesByKind().values().stream().mapToLong(b -> b).sum();
        fleet.advance(seconds * SECOND);
        return fleet.bytesByKind().values().stream().mapToLong(b -> b).sum() - before;
    }

    /**
     * Managers are killed and restarted with the next plan while messages are lost and links are
     * cut: the shares by leases never add up to more than the whole.
     */
    @ParameterizedTest
    @EnumSource(
            value = InjectedDefect.class,
            names = {"NONE", "GAINS_BEFORE_RELEASE"})
    void shares_planChange_atMostTheWhole(InjectedDefect defect) {
        double largestSum = 0;
        double finalSum = 0;
        for (int seed = 0; seed < 4; seed++) {
            SimulatedCells fleet =
                    new SimulatedCells(new FleetShape(24, 4, 2, 2, false, 400, defect), seed);
            fleet.start(SECOND);
            fleet.advance(10 * SECOND);
            fleet.setLossProbability(0.2);
            // Six cells; the last but one stops serving, so that others take over its engines.
            CellPlan next =
                    new CellPlan(
                            2,
                            2,
                            SimulatedCells.plan(2, 2, 6, 2, 4).cells().stream()
                                    .map(
                                            c ->
                                                    new CellPlan.Cell(
                                                            c.name(),
                                                            c.zone(),
                                                            c.slots(),
                                                            !c.name().equals("c4")))
                                    .toList());
            List<ManagerHost> order = new ArrayList<>(fleet.hosts());
            Collections.shuffle(order, new Random(seed));
            for (ManagerHost manager : order) {
                fleet.setPartition(other -> other % 7 == 3, fleet.random().nextInt(4) == 0);
                manager.kill();
                fleet.advance(fleet.random().nextLong(SECOND));
                manager.start(next);
                fleet.advance(fleet.random().nextLong(4 * SECOND));
                largestSum = Math.max(largestSum, maxShareSum(fleet));
            }
            fleet.setPartition(other -> false, false);
            fleet.advance(90 * SECOND);
            largestSum = Math.max(largestSum, maxShareSum(fleet));
            finalSum = maxShareSum(fleet);
            assertThat(fleet.hosts())
                    .allMatch(manager -> manager.cellDirectory().cellsBehindPlan().isEmpty());
        }
        if (defect == InjectedDefect.NONE) {
            assertThat(largestSum).isLessThanOrEqualTo(1 + 1e-9);
            assertThat(finalSum).isGreaterThan(0.999);
        } else {
            assertThat(largestSum).isGreaterThan(1 + 1e-9);
        }
    }

    private static double maxShareSum(SimulatedCells fleet) {
        double maxShareSum = 0;
        for (long engine = 1; engine <= 24; engine++) {
            String zone = "z" + engine % 2;
            double sum = 0;
            for (ManagerHost manager : fleet.hosts()) {
                sum +=
                        manager.up() && manager.cellDirectory().mayUse(engine, zone)
                                ? manager.share()
                                : 0;
            }
            maxShareSum = Math.max(maxShareSum, sum);
        }
        return maxShareSum;
    }
}
