package firstage.cells;

import static org.assertj.core.api.Assertions.assertThat;

import firstage.cells.CellDirectory.CellState;
import firstage.cells.CellDirectory.CellStatus;
import firstage.cells.CellDirectory.InjectedDefect;
import firstage.overload.RendezvousHash;
import firstage.simulation.schedule.SimulatedCells;
import firstage.simulation.schedule.SimulatedCells.Place;
import firstage.simulation.schedule.SimulatedCells.Shape;
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
 * Cells in virtual time: deputies killed, cells dead and cut, a region alone, plans changed under
 * loss.
 */
class SimulatedCellsTest {
    private static final long SECOND = 10_000;

    private static SimulatedCells field(int managers, int cell, InjectedDefect fault) {
        SimulatedCells f = new SimulatedCells(new Shape(managers, cell, 2, 1, true, 400, fault), 7);
        f.start(SECOND);
        assertThat(f.untilAgreed(20 * SECOND)).isNotNegative();
        f.pass(30 * SECOND);
        return f;
    }

    private static CellStatus known(SimulatedCells f, int by, int cell) {
        return f.places().get(by).cells().cells(f.calendar().now()).get(cell);
    }

    private static List<Place> of(SimulatedCells f, int cell) {
        return f.places().stream().filter(p -> p.cell() == cell).toList();
    }

    @Test
    void cells_calmFleet_allKnownWithAliveManagers() {
        SimulatedCells f = field(32, 8, InjectedDefect.NONE);
        for (Place p : f.places()) {
            assertThat(p.cells().cells(f.calendar().now()))
                    .allMatch(k -> k.state() == CellState.ACTIVE && k.aliveManagers() == 8);
        }
    }

    /**
     * The deputies by rendezvous, all killed at once: others take their place, and with the fault
     * nobody does.
     */
    @ParameterizedTest
    @EnumSource(
            value = InjectedDefect.class,
            names = {"NONE", "FIXED_DELEGATES"})
    void cells_allDelegatesKilled_cellStillHeard(InjectedDefect fault) {
        SimulatedCells f = field(32, 8, fault);
        List<String> names = of(f, 1).stream().map(p -> p.members().name()).toList();
        of(f, 1).stream()
                .sorted(
                        Comparator.comparing(
                                p -> RendezvousHash.countBefore(1, names, p.members().name())))
                .limit(3)
                .toList()
                .forEach(Place::kill);
        f.pass(45 * SECOND);
        assertThat(known(f, 0, 1).state())
                .isEqualTo(fault == InjectedDefect.NONE ? CellState.ACTIVE : CellState.SILENT);
        if (fault == InjectedDefect.NONE) {
            assertThat(known(f, 0, 1).aliveManagers()).isEqualTo(5);
        }
    }

    /** With the fault old rows, told on and on, keep a dead cell alive. */
    @ParameterizedTest
    @EnumSource(
            value = InjectedDefect.class,
            names = {"NONE", "OLDER_ROW_WINS"})
    void cells_wholeCellDies_silentThenHeardAgain(InjectedDefect fault) {
        SimulatedCells f = field(32, 8, fault);
        of(f, 1).forEach(Place::kill);
        f.pass(60 * SECOND);
        List<Place> others = f.places().stream().filter(Place::up).toList();
        if (fault != InjectedDefect.NONE) {
            assertThat(others)
                    .anyMatch(
                            p ->
                                    p.cells().cells(f.calendar().now()).get(1).state()
                                            == CellState.ACTIVE);
            return;
        }
        assertThat(others)
                .allMatch(
                        p ->
                                p.cells().cells(f.calendar().now()).get(1).state()
                                        == CellState.SILENT);
        of(f, 1).forEach(Place::start);
        f.pass(20 * SECOND);
        assertThat(others)
                .allMatch(
                        p ->
                                p.cells().cells(f.calendar().now()).get(1).state()
                                        == CellState.ACTIVE);
    }

    /** No part takes what the other uses; healed, they are one again. */
    @ParameterizedTest
    @ValueSource(ints = {1, 3, 4})
    void shares_cellCutInTwo_atMostTheWhole(int apart) {
        SimulatedCells f = field(24, 8, InjectedDefect.NONE);
        f.cut(p -> p < apart, true);
        for (int i = 0; i < 120; i++) {
            f.pass(SECOND / 2);
            assertThat(of(f, 0).stream().mapToDouble(Place::share).sum())
                    .isLessThanOrEqualTo(1 + 1e-9);
        }
        // Of eight, four are enough to keep all, fewer keep half, and five take of the other half
        // what they may.
        assertThat(of(f, 0).stream().mapToDouble(Place::share).sum()).isGreaterThan(0.9);
        assertThat(of(f, 0).get(0).share()).isEqualTo(apart < 4 ? 0.0625 : 0.125);
        assertThat(of(f, 1).stream().mapToDouble(Place::share).sum()).isEqualTo(1);
        f.cut(p -> false, false);
        assertThat(f.untilAgreed(10 * SECOND)).isNotNegative();
        f.pass(20 * SECOND);
        assertThat(of(f, 0).stream().mapToDouble(Place::share).sum()).isGreaterThan(1 - 1e-9);
    }

    /**
     * Majorities lie within cells, so a region that is alone keeps all of its slices; coming back
     * costs no burst.
     */
    @Test
    void shares_regionCutOff_keptAndNoBurstAfter() {
        SimulatedCells f = field(48, 8, InjectedDefect.NONE);
        long usual = seconds(f, 10);
        // Every other cell is of the one region, as the zones are.
        f.cut(p -> p / 8 % 2 == 0, true);
        f.pass(120 * SECOND);
        assertThat(f.inForce()).isEqualTo(1);
        assertThat(known(f, 0, 1).state()).isEqualTo(CellState.SILENT);
        assertThat(known(f, 0, 2).state()).isEqualTo(CellState.ACTIVE);
        f.cut(p -> false, false);
        assertThat(seconds(f, 10)).isLessThan(usual * 6 / 5);
        f.pass(20 * SECOND);
        assertThat(IntStream.range(0, 6)).allMatch(c -> known(f, 0, c).state() == CellState.ACTIVE);
    }

    private static long seconds(SimulatedCells f, int count) {
        long before = f.bytes().values().stream().mapToLong(b -> b).sum();
        f.pass(count * SECOND);
        return f.bytes().values().stream().mapToLong(b -> b).sum() - before;
    }

    /**
     * Managers are killed and started anew with the next plan, under loss and cuts: parts by leases
     * stay within.
     */
    @ParameterizedTest
    @EnumSource(
            value = InjectedDefect.class,
            names = {"NONE", "GAINS_BEFORE_RELEASE"})
    void shares_planChange_atMostTheWhole(InjectedDefect fault) {
        double worst = 0;
        double last = 0;
        for (int seed = 0; seed < 4; seed++) {
            SimulatedCells f = new SimulatedCells(new Shape(24, 4, 2, 2, false, 400, fault), seed);
            f.start(SECOND);
            f.pass(10 * SECOND);
            f.loses(0.2);
            // Six cells; the one before the last goes, so its engines are taken over.
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
            List<Place> order = new ArrayList<>(f.places());
            Collections.shuffle(order, new Random(seed));
            for (Place p : order) {
                f.cut(q -> q % 7 == 3, f.chance().nextInt(4) == 0);
                p.kill();
                f.pass(f.chance().nextLong(SECOND));
                p.start(next);
                f.pass(f.chance().nextLong(4 * SECOND));
                worst = Math.max(worst, most(f));
            }
            f.cut(q -> false, false);
            f.pass(90 * SECOND);
            worst = Math.max(worst, most(f));
            last = most(f);
            assertThat(f.places()).allMatch(p -> p.cells().cellsBehindPlan().isEmpty());
        }
        if (fault == InjectedDefect.NONE) {
            assertThat(worst).isLessThanOrEqualTo(1 + 1e-9);
            assertThat(last).isGreaterThan(0.999);
        } else {
            assertThat(worst).isGreaterThan(1 + 1e-9);
        }
    }

    private static double most(SimulatedCells f) {
        double most = 0;
        for (long engine = 1; engine <= 24; engine++) {
            String zone = "z" + engine % 2;
            double sum = 0;
            for (Place p : f.places()) {
                sum += p.up() && p.cells().mayUse(engine, zone) ? p.share() : 0;
            }
            most = Math.max(most, sum);
        }
        return most;
    }
}
