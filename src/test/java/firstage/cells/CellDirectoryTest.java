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
 * Tests which cell serves which engine, and how an engine moves from one cell to another, in all
 * orders of a few events. Times are in ticks.
 */
class CellDirectoryTest {
    private static final long SECOND = 10_000;
    private static final CellPlan OLD_PLAN = plan(1, true, true, false);
    private static final CellPlan NEW_PLAN = plan(2, false, true, true);

    /** Returns a plan of three cells in one zone, the first of which has two managers. */
    private static CellPlan plan(int number, boolean aServes, boolean bServes, boolean cServes) {
        return new CellPlan(
                number,
                1,
                List.of(
                        new Cell("a", "z", 2, aServes),
                        new Cell("b", "z", 1, bServes),
                        new Cell("c", "z", 1, cServes)));
    }

    /**
     * A manager without a membership: the datagrams that it sends are kept, and a test delivers
     * them to the managers that it chooses.
     */
    private static final class Manager implements CellActions {
        private final String name;
        private final int cell;
        private final int slot;
        private final InjectedDefect defect;
        private CellDirectory cells;
        private final List<byte[]> sentDatagrams = new ArrayList<>();
        private int releaseCalls;

        private Manager(String name, int cell, int slot, InjectedDefect defect) {
            this.name = name;
            this.cell = cell;
            this.slot = slot;
            this.defect = defect;
        }

        private void start(CellPlan plan, CellPlan previousPlan) {
            cells =
                    new CellDirectory(
                            plan,
                            previousPlan,
                            cell,
                            slot,
                            name,
                            "f",
                            1_000_000,
                            RandomGeneratorFactory.of("L64X128MixRandom").create(name.hashCode()),
                            this,
                            defect);
            cells.onViewChanged(cell == 0 ? List.of("a0", "a1") : List.of(name));
        }

        @Override
        public void send(int toCell, int toSlot, byte[] datagram) {
            sentDatagrams.add(datagram);
        }

        @Override
        public void onEnginesReleased(long now) {
            releaseCalls++;
        }

        @Override
        public void logCellEvent(long now, String event, String cellName, String reason) {
            // These tests do not check the log.
        }

        @Override
        public int sheddingThreshold() {
            return 0;
        }
    }

    private static final class Fleet {
        private final List<Manager> managers;
        private long now = 100 * SECOND;

        private Fleet(InjectedDefect defect) {
            managers =
                    List.of(
                            new Manager("a0", 0, 0, defect),
                            new Manager("a1", 0, 1, defect),
                            new Manager("b0", 1, 0, defect),
                            new Manager("c0", 2, 0, defect));
            managers.forEach(m -> m.start(OLD_PLAN, null));
            advance();
        }

        private void advance() {
            for (int i = 0; i < 8; i++) {
                now += SECOND;
                managers.forEach(m -> m.cells.tick(now));
            }
        }

        private void deliverDigest(int from, int to) {
            managers.get(to)
                    .cells
                    .onDigest(
                            now,
                            managers.get(from).slot,
                            managers.get(from).cells.encodeDigest(new byte[0]));
        }

        /** Delivers the first or the last datagram that a manager has sent. */
        private void deliverDatagram(int from, int to, boolean first) {
            List<byte[]> sentDatagrams = managers.get(from).sentDatagrams;
            if (!sentDatagrams.isEmpty()) {
                managers.get(to)
                        .cells
                        .onDatagram(now, sentDatagrams.get(first ? 0 : sentDatagrams.size() - 1));
            }
        }

        /**
         * Applies an event: 0 to 3 restart a manager with the new plan, 4 to 7 deliver messages.
         */
        private void applyEvent(int event) {
            switch (event) {
                case 0, 1, 2, 3 -> managers.get(event).start(NEW_PLAN, OLD_PLAN);
                case 4 -> deliverDigest(0, 1);
                case 5 -> deliverDigest(1, 0);
                case 6 -> {
                    deliverDatagram(0, 3, false);
                    deliverDatagram(0, 2, false);
                }
                default -> {
                    deliverDatagram(1, 3, false);
                    deliverDatagram(1, 2, true);
                    deliverDatagram(0, 3, true);
                    deliverDatagram(2, 3, false);
                }
            }
            advance();
        }

        private double shareSum(long engine) {
            double sum = 0;
            for (Manager m : managers) {
                sum += m.cells.mayUse(engine, "z") ? OLD_PLAN.sharePerManager(m.cell) : 0;
            }
            return sum;
        }
    }

    /** Engines whose cell differs between the two plans. */
    private static final long[] ENGINES =
            LongStream.range(1, 40)
                    .filter(
                            e ->
                                    !OLD_PLAN.servingCells(e, "z")
                                            .equals(NEW_PLAN.servingCells(e, "z")))
                    .limit(3)
                    .toArray();

    /**
     * Returns the largest sum of the shares of an engine in all sequences of {@code depth} events;
     * three bits of a sequence's number select each event.
     */
    private static double maxShareSum(int depth, InjectedDefect defect) {
        return IntStream.range(0, 1 << 3 * depth)
                .parallel()
                .mapToDouble(
                        order -> {
                            Fleet fleet = new Fleet(defect);
                            double maxShareSum = 0;
                            for (int i = 0; i < depth; i++) {
                                fleet.applyEvent(order >> 3 * i & 7);
                                maxShareSum =
                                        Math.max(
                                                maxShareSum,
                                                Arrays.stream(ENGINES)
                                                        .mapToDouble(fleet::shareSum)
                                                        .max()
                                                        .orElse(0));
                            }
                            return maxShareSum;
                        })
                .max()
                .orElse(0);
    }

    @Test
    void mayUse_anyOrderOfFiveEvents_atMostTheWhole() {
        assertThat(ENGINES).hasSize(3);
        assertThat(maxShareSum(Integer.getInteger("firstage.cells", 5), InjectedDefect.NONE))
                .isLessThanOrEqualTo(1 + 1e-9);
    }

    @ParameterizedTest
    @CsvSource({"GAINS_BEFORE_RELEASE", "SILENT_MANAGERS_IGNORED"})
    void mayUse_injectedDefect_exceedsTheWhole(InjectedDefect defect) {
        assertThat(maxShareSum(4, defect)).isGreaterThan(1 + 1e-9);
    }

    /**
     * Returns the sum of the warm-up shares of an engine where every manager takes the larger of
     * its shares by the two plans: the limit has to hold whichever plan each manager holds, and
     * whatever messages it has received.
     */
    private static double warmUpShareSum(
            CellPlan previousPlan, CellPlan plan, long engine, InjectedDefect defect) {
        double sum = 0;
        for (int cell = 0; cell < plan.cells().size(); cell++) {
            double previousShare =
                    previousPlan.serves(cell, engine, "n")
                            ? previousPlan.warmUpShare(null, cell, engine, "n")
                            : 0;
            double newShare = 0;
            if (plan.serves(cell, engine, "n")) {
                CellDirectory cells =
                        new CellDirectory(
                                plan,
                                previousPlan,
                                cell,
                                0,
                                "x",
                                "f",
                                1,
                                RandomGeneratorFactory.of("L64X128MixRandom").create(cell),
                                new Manager("x", cell, 0, defect),
                                defect);
                newShare = cells.warmUpShare(engine, "n");
            }
            sum += plan.cells().get(cell).slots() * Math.max(previousShare, newShare);
        }
        return sum;
    }

    private static double maxWarmUpShareSum(InjectedDefect defect) {
        Random random = new Random(11);
        double maxShareSum = 0;
        for (int i = 0; i < 300; i++) {
            int spread = 1 + random.nextInt(4);
            int count = spread + 1 + random.nextInt(6);
            List<Cell> previousCells = new ArrayList<>();
            List<Cell> newCells = new ArrayList<>();
            for (int c = 0; c < count; c++) {
                int slots = 1 + random.nextInt(60);
                previousCells.add(
                        new Cell("c" + c, "n", slots, c < spread || random.nextInt(4) > 0));
                newCells.add(
                        new Cell(
                                "c" + c, "n", slots, c >= count - spread || random.nextInt(4) > 0));
            }
            int addedSlots = 1 + random.nextInt(60);
            previousCells.add(new Cell("new", "n", addedSlots, false));
            newCells.add(new Cell("new", "n", addedSlots, true));
            for (long engine = 1; engine <= 20; engine++) {
                maxShareSum =
                        Math.max(
                                maxShareSum,
                                warmUpShareSum(
                                        new CellPlan(1, spread, previousCells),
                                        new CellPlan(2, spread, newCells),
                                        engine,
                                        defect));
            }
        }
        return maxShareSum;
    }

    @Test
    void warmUpShare_anyPlansHeld_atMostTheWhole() {
        assertThat(maxWarmUpShareSum(InjectedDefect.NONE)).isBetween(0.99, 1 + 1e-9);
        assertThat(maxWarmUpShareSum(InjectedDefect.GAINS_WARM_UP_SHARE)).isGreaterThan(1.5);
    }

    @Test
    void mayUse_allFormerCellsReleased_takenOver() {
        Fleet fleet = new Fleet(InjectedDefect.NONE);
        long movedEngine =
                LongStream.range(1, 100)
                        .filter(
                                e ->
                                        OLD_PLAN.servingCells(e, "z").equals(List.of(0))
                                                && NEW_PLAN.servingCells(e, "z").equals(List.of(2)))
                        .findFirst()
                        .orElseThrow();
        assertThat(fleet.managers.get(0).cells.mayUse(movedEngine, "z")).isTrue();
        for (int e = 0; e < 4; e++) {
            fleet.applyEvent(e);
        }
        assertThat(fleet.managers.get(3).cells.mayUse(movedEngine, "z")).isFalse();
        assertThat(fleet.managers.get(3).cells.awaitsRelease(movedEngine, "z")).isTrue();
        for (int i = 0; i < 3; i++) {
            fleet.applyEvent(4);
            fleet.applyEvent(5);
            fleet.applyEvent(6);
            fleet.applyEvent(7);
        }
        assertThat(fleet.managers.get(3).cells.mayUse(movedEngine, "z")).isTrue();
        assertThat(fleet.managers.get(3).releaseCalls).isPositive();
        assertThat(fleet.shareSum(movedEngine)).isEqualTo(1);
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
        for (long engine = 1; engine <= 1_720; engine++) {
            String zone = engine % 2 == 0 ? "n" : "s";
            List<Integer> serving = plan.servingCells(engine, zone);
            assertThat(serving).hasSize(4).allMatch(c -> plan.cells().get(c).zone().equals(zone));
            for (int c = 0; c < 26; c++) {
                assertThat(plan.serves(c, engine, zone)).isEqualTo(serving.contains(c));
                served[c] += serving.contains(c) ? 1 : 0;
            }
            assertThat(serving.stream().mapToDouble(c -> 40 * plan.sharePerManager(c)).sum())
                    .isEqualTo(1);
        }
        // 860 engines in each zone, four cells for each engine, 13 cells in each zone: 265 on
        // average.
        assertThat(Arrays.stream(served)).allMatch(n -> n > 215 && n < 315);
    }

    @Test
    void plan_cellAdded_onlyItsEnginesMove() {
        CellPlan before = new CellPlan(1, 2, cells(8));
        CellPlan after = new CellPlan(2, 2, cells(9));
        int moved = 0;
        for (long engine = 1; engine <= 900; engine++) {
            List<Integer> servingBefore = before.servingCells(engine, "n");
            List<Integer> servingAfter = after.servingCells(engine, "n");
            if (!servingBefore.containsAll(servingAfter)) {
                assertThat(servingAfter).contains(8);
                assertThat(servingAfter.stream().filter(c -> c != 8))
                        .allMatch(servingBefore::contains);
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
        Fleet fleet = new Fleet(InjectedDefect.NONE);
        CellDirectory receiver = fleet.managers.get(0).cells;
        byte[] valid = fleet.managers.get(2).sentDatagrams.get(0);
        for (int length = 0; length < valid.length; length++) {
            receiver.onDatagram(fleet.now, Arrays.copyOf(valid, length));
            receiver.onDigest(fleet.now, 1, Arrays.copyOf(valid, length));
        }
        Random random = new Random(5);
        for (int i = 0; i < 5_000; i++) {
            byte[] corrupted = valid.clone();
            corrupted[random.nextInt(13)] ^= (byte) (1 << random.nextInt(8));
            receiver.onDatagram(fleet.now, corrupted);
        }
        assertThat(receiver.rejectedMessages())
                .containsKeys("another form", "another fleet", "another plan of this number");
        CellDirectory holderOfOtherPlan =
                new CellDirectory(
                        plan(1, true, true, true),
                        null,
                        1,
                        0,
                        "b0",
                        "f",
                        1_000_000,
                        RandomGeneratorFactory.of("L64X128MixRandom").create(1),
                        fleet.managers.get(2),
                        InjectedDefect.NONE);
        assertThat(holderOfOtherPlan.onDigest(fleet.now, 0, receiver.encodeDigest(new byte[] {7})))
                .isEmpty();
        assertThat(
                        receiver.onDigest(
                                fleet.now,
                                1,
                                fleet.managers.get(1).cells.encodeDigest(new byte[] {7})))
                .containsExactly(7);
    }

    @Test
    void filter_awaitedEngines_keptAndNothingElse() {
        Fleet fleet = new Fleet(InjectedDefect.NONE);
        Manager gainer = fleet.managers.get(3);
        gainer.start(NEW_PLAN, OLD_PLAN);
        EngineSubset<Long> subset = new EngineSubset<>(gainer.cells, e -> e, e -> "z", e -> false);
        List<Long> engines = LongStream.range(1, 200).boxed().toList();
        List<Long> ownEngines =
                engines.stream()
                        .filter(e -> NEW_PLAN.servingCells(e, "z").equals(List.of(2)))
                        .toList();
        assertThat(subset.filter(true, engines)).isEmpty();
        assertThat(subset.awaitedCount()).isEqualTo(ownEngines.size()).isBetween(60, 140);
        for (int e = 0; e < 3; e++) {
            fleet.applyEvent(e);
        }
        for (int i = 0; i < 3; i++) {
            fleet.applyEvent(4);
            fleet.applyEvent(5);
            fleet.applyEvent(6);
            fleet.applyEvent(7);
        }
        assertThat(subset.takeReleased()).isEqualTo(ownEngines);
        assertThat(subset.awaitedCount()).isZero();
        assertThat(subset.filter(false, engines)).isEqualTo(ownEngines);
    }
}
