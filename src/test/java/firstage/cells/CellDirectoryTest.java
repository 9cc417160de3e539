package firstage.cells;

import static org.assertj.core.api.Assertions.assertThat;

import firstage.cells.CellDirectory.InjectedDefect;
import firstage.cells.CellPlan.Cell;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Who serves which engine, and how an engine goes from one cell to another: all orders of few
 * events.
 */
class CellDirectoryTest {
    private static final long SECOND = 10_000;
    private static final CellPlan OLD = plan(1, true, true, false);
    private static final CellPlan NEW = plan(2, false, true, true);

    /** Three cells of one zone, the first of two managers. */
    private static CellPlan plan(int number, boolean a, boolean b, boolean c) {
        return new CellPlan(
                number,
                1,
                List.of(
                        new Cell("a", "z", 2, a),
                        new Cell("b", "z", 1, b),
                        new Cell("c", "z", 1, c)));
    }

    /** A manager without a membership: what it tells is kept, and heard by whom a test wants. */
    private static final class Manager implements CellActions {
        private final String name;
        private final int cell;
        private final int slot;
        private final InjectedDefect fault;
        private CellDirectory cells;
        private final List<byte[]> told = new ArrayList<>();
        private int freed;

        private Manager(String name, int cell, int slot, InjectedDefect fault) {
            this.name = name;
            this.cell = cell;
            this.slot = slot;
            this.fault = fault;
        }

        private void start(CellPlan plan, CellPlan before) {
            cells =
                    new CellDirectory(
                            plan,
                            before,
                            cell,
                            slot,
                            name,
                            "f",
                            1_000_000,
                            RandomGeneratorFactory.of("L64X128MixRandom").create(name.hashCode()),
                            this,
                            fault);
            cells.onViewChanged(cell == 0 ? List.of("a0", "a1") : List.of(name));
        }

        @Override
        public void send(int toCell, int toSlot, byte[] datagram) {
            told.add(datagram);
        }

        @Override
        public void enginesReleased(long now) {
            freed++;
        }

        @Override
        public void logCellEvent(long now, String what, String of, String why) {
            // Not looked at.
        }

        @Override
        public int sheddingThreshold() {
            return 0;
        }
    }

    private static final class Group {
        private final List<Manager> all;
        private long now = 100 * SECOND;

        private Group(InjectedDefect fault) {
            all =
                    List.of(
                            new Manager("a0", 0, 0, fault),
                            new Manager("a1", 0, 1, fault),
                            new Manager("b0", 1, 0, fault),
                            new Manager("c0", 2, 0, fault));
            all.forEach(m -> m.start(OLD, null));
            pass();
        }

        private void pass() {
            for (int i = 0; i < 8; i++) {
                now += SECOND;
                all.forEach(m -> m.cells.tick(now));
            }
        }

        private void within(int from, int to) {
            all.get(to)
                    .cells
                    .onDigest(
                            now, all.get(from).slot, all.get(from).cells.encodeDigest(new byte[0]));
        }

        /** All that this one ever told, or the last of it, comes now. */
        private void across(int from, int to, boolean first) {
            List<byte[]> told = all.get(from).told;
            if (!told.isEmpty()) {
                all.get(to).cells.onDatagram(now, told.get(first ? 0 : told.size() - 1));
            }
        }

        private void play(int event) {
            switch (event) {
                case 0, 1, 2, 3 -> all.get(event).start(NEW, OLD);
                case 4 -> within(0, 1);
                case 5 -> within(1, 0);
                case 6 -> {
                    across(0, 3, false);
                    across(0, 2, false);
                }
                default -> {
                    across(1, 3, false);
                    across(1, 2, true);
                    across(0, 3, true);
                    across(2, 3, false);
                }
            }
            pass();
        }

        private double sum(long engine) {
            double sum = 0;
            for (Manager m : all) {
                sum += m.cells.mayUse(engine, "z") ? OLD.share(m.cell) : 0;
            }
            return sum;
        }
    }

    /** Some that move from the first cell to the third, and some that stay. */
    private static final long[] ENGINES =
            LongStream.range(1, 40)
                    .filter(e -> !OLD.servingCells(e, "z").equals(NEW.servingCells(e, "z")))
                    .limit(3)
                    .toArray();

    private static double worst(int depth, InjectedDefect fault) {
        return IntStream.range(0, 1 << 3 * depth)
                .parallel()
                .mapToDouble(
                        order -> {
                            Group g = new Group(fault);
                            double worst = 0;
                            for (int i = 0; i < depth; i++) {
                                g.play(order >> 3 * i & 7);
                                worst =
                                        Math.max(
                                                worst,
                                                Arrays.stream(ENGINES)
                                                        .mapToDouble(g::sum)
                                                        .max()
                                                        .orElse(0));
                            }
                            return worst;
                        })
                .max()
                .orElse(0);
    }

    @Test
    void mayUse_anyOrderOfFiveEvents_atMostTheWhole() {
        assertThat(ENGINES).hasSize(3);
        assertThat(worst(Integer.getInteger("firstage.cells", 5), InjectedDefect.NONE))
                .isLessThanOrEqualTo(1 + 1e-9);
    }

    @ParameterizedTest
    @CsvSource({"GAINS_BEFORE_RELEASE", "SILENT_MANAGERS_IGNORED"})
    void mayUse_injectedDefect_exceedsTheWhole(InjectedDefect fault) {
        assertThat(worst(4, fault)).isGreaterThan(1 + 1e-9);
    }

    /**
     * Each manager holds whichever plan it likes, and believes whatever it heard: the rule rests on
     * nobody's word.
     */
    private static double coldParts(CellPlan was, CellPlan is, long engine, InjectedDefect fault) {
        double sum = 0;
        for (int c = 0; c < is.cells().size(); c++) {
            double old = was.serves(c, engine, "n") ? was.warmUpShare(null, c, engine, "n") : 0;
            double now = 0;
            if (is.serves(c, engine, "n")) {
                CellDirectory cells =
                        new CellDirectory(
                                is,
                                was,
                                c,
                                0,
                                "x",
                                "f",
                                1,
                                RandomGeneratorFactory.of("L64X128MixRandom").create(c),
                                new Manager("x", c, 0, fault),
                                fault);
                now = cells.warmUpShare(engine, "n");
            }
            sum += is.cells().get(c).slots() * Math.max(old, now);
        }
        return sum;
    }

    private static double worstColdParts(InjectedDefect fault) {
        Random chance = new Random(11);
        double worst = 0;
        for (int i = 0; i < 300; i++) {
            int spread = 1 + chance.nextInt(4);
            int count = spread + 1 + chance.nextInt(6);
            List<Cell> was = new ArrayList<>();
            List<Cell> is = new ArrayList<>();
            for (int c = 0; c < count; c++) {
                int slots = 1 + chance.nextInt(60);
                was.add(new Cell("c" + c, "n", slots, c < spread || chance.nextInt(4) > 0));
                is.add(new Cell("c" + c, "n", slots, c >= count - spread || chance.nextInt(4) > 0));
            }
            int more = 1 + chance.nextInt(60);
            was.add(new Cell("new", "n", more, false));
            is.add(new Cell("new", "n", more, true));
            for (long e = 1; e <= 20; e++) {
                worst =
                        Math.max(
                                worst,
                                coldParts(
                                        new CellPlan(1, spread, was),
                                        new CellPlan(2, spread, is),
                                        e,
                                        fault));
            }
        }
        return worst;
    }

    @Test
    void warmUpShare_anyPlansHeld_atMostTheWhole() {
        assertThat(worstColdParts(InjectedDefect.NONE)).isBetween(0.99, 1 + 1e-9);
        assertThat(worstColdParts(InjectedDefect.GAINS_WARM_UP_SHARE)).isGreaterThan(1.5);
    }

    @Test
    void mayUse_allFormerCellsReleased_takenOver() {
        Group g = new Group(InjectedDefect.NONE);
        long moves =
                LongStream.range(1, 100)
                        .filter(
                                e ->
                                        OLD.servingCells(e, "z").equals(List.of(0))
                                                && NEW.servingCells(e, "z").equals(List.of(2)))
                        .findFirst()
                        .orElseThrow();
        assertThat(g.all.get(0).cells.mayUse(moves, "z")).isTrue();
        for (int e = 0; e < 4; e++) {
            g.play(e);
        }
        assertThat(g.all.get(3).cells.mayUse(moves, "z")).isFalse();
        assertThat(g.all.get(3).cells.awaits(moves, "z")).isTrue();
        for (int i = 0; i < 3; i++) {
            g.play(4);
            g.play(5);
            g.play(6);
            g.play(7);
        }
        assertThat(g.all.get(3).cells.mayUse(moves, "z")).isTrue();
        assertThat(g.all.get(3).freed).isPositive();
        assertThat(g.sum(moves)).isEqualTo(1);
    }

    @Test
    void share_cellsOfAZone_sumToOne() {
        CellPlan plan =
                new CellPlan(
                        1,
                        4,
                        IntStream.range(0, 26)
                                .mapToObj(c -> new Cell("c" + c, c % 2 == 0 ? "n" : "s", 40, true))
                                .toList());
        int[] served = new int[26];
        for (long e = 1; e <= 1_720; e++) {
            String zone = e % 2 == 0 ? "n" : "s";
            List<Integer> by = plan.servingCells(e, zone);
            assertThat(by).hasSize(4).allMatch(c -> plan.cells().get(c).zone().equals(zone));
            for (int c = 0; c < 26; c++) {
                assertThat(plan.serves(c, e, zone)).isEqualTo(by.contains(c));
                served[c] += by.contains(c) ? 1 : 0;
            }
            assertThat(by.stream().mapToDouble(c -> 40 * plan.share(c)).sum()).isEqualTo(1);
        }
        // 860 engines a zone, four cells each, over 13: 265 on the mean.
        assertThat(Arrays.stream(served)).allMatch(n -> n > 215 && n < 315);
    }

    @Test
    void plan_cellAdded_onlyItsEnginesMove() {
        CellPlan before = new CellPlan(1, 2, cells(8));
        CellPlan after = new CellPlan(2, 2, cells(9));
        int moved = 0;
        for (long e = 1; e <= 900; e++) {
            List<Integer> was = before.servingCells(e, "n");
            List<Integer> is = after.servingCells(e, "n");
            if (!was.containsAll(is)) {
                assertThat(is).contains(8);
                assertThat(is.stream().filter(c -> c != 8)).allMatch(was::contains);
                moved++;
            }
        }
        assertThat(moved).isBetween(150, 250);
    }

    private static List<Cell> cells(int count) {
        return IntStream.range(0, count).mapToObj(c -> new Cell("c" + c, "n", 10, true)).toList();
    }

    @Test
    void onDatagram_malformedOrForeign_changesNothing() {
        Group g = new Group(InjectedDefect.NONE);
        CellDirectory a = g.all.get(0).cells;
        byte[] good = g.all.get(2).told.get(0);
        for (int length = 0; length < good.length; length++) {
            a.onDatagram(g.now, Arrays.copyOf(good, length));
            a.onDigest(g.now, 1, Arrays.copyOf(good, length));
        }
        Random chance = new Random(5);
        for (int i = 0; i < 5_000; i++) {
            byte[] bad = good.clone();
            bad[chance.nextInt(13)] ^= (byte) (1 << chance.nextInt(8));
            a.onDatagram(g.now, bad);
        }
        assertThat(a.rejectedMessages())
                .containsKeys("another form", "another fleet", "another plan of this number");
        CellDirectory other =
                new CellDirectory(
                        plan(1, true, true, true),
                        null,
                        1,
                        0,
                        "b0",
                        "f",
                        1_000_000,
                        RandomGeneratorFactory.of("L64X128MixRandom").create(1),
                        g.all.get(2),
                        InjectedDefect.NONE);
        assertThat(other.onDigest(g.now, 0, a.encodeDigest(new byte[] {7}))).isEmpty();
        assertThat(a.onDigest(g.now, 1, g.all.get(1).cells.encodeDigest(new byte[] {7})))
                .containsExactly(7);
    }

    @Test
    void filter_awaitedEngines_keptAndNothingElse() {
        Group g = new Group(InjectedDefect.NONE);
        Manager c = g.all.get(3);
        c.start(NEW, OLD);
        EngineSubset<Long> sieve = new EngineSubset<>(c.cells, e -> e, e -> "z", e -> false);
        List<Long> engines = LongStream.range(1, 200).boxed().toList();
        List<Long> mine =
                engines.stream().filter(e -> NEW.servingCells(e, "z").equals(List.of(2))).toList();
        assertThat(sieve.filter(true, engines)).isEmpty();
        assertThat(sieve.awaitedCount()).isEqualTo(mine.size()).isBetween(60, 140);
        for (int e = 0; e < 3; e++) {
            g.play(e);
        }
        for (int i = 0; i < 3; i++) {
            g.play(4);
            g.play(5);
            g.play(6);
            g.play(7);
        }
        assertThat(sieve.takeReleased()).isEqualTo(mine);
        assertThat(sieve.awaitedCount()).isZero();
        assertThat(sieve.filter(false, engines)).isEqualTo(mine);
    }
}
