package firstage.overload;

import static org.assertj.core.api.Assertions.assertThat;

import firstage.policy.api.DemandHistogram;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * A fleet that is asked for more than its engines bear, as a flow of work: who refuses what, and
 * how it comes back.
 */
class LoadSheddingLevelTest {
    private static final long SECOND = 10_000;
    private static final long STEP = 1_000;
    private static final double CAPACITY = 40;
    private static final int LOW = 12;
    private static final int HIGH = 20;
    private final RandomGenerator chance = RandomGeneratorFactory.of("L64X128MixRandom").create(11);
    private final List<SheddingManager> all = new ArrayList<>();
    private long now = 100 * SECOND;

    /** By chance, and late by so many steps. */
    private double loss;

    private int late;
    private double capacity = CAPACITY;

    /**
     * A manager: what it lets in waits until the engines have room, and is lost after two seconds.
     */
    private final class SheddingManager {
        private final String name;
        private final LoadSheddingLevel level;
        private final DemandHistogram demand = new DemandHistogram();
        private final double[] asks = new double[DemandHistogram.BANDS];
        private final double[] queue = new double[DemandHistogram.BANDS];
        private final double[] served = new double[DemandHistogram.BANDS];
        private final List<List<LoadRow>> sent = new ArrayList<>();
        private int cut;
        private double part = 1;
        private boolean up = true;
        private boolean lies;

        private SheddingManager(String name, LoadSheddingLevel.InjectedDefect fault) {
            this.name = name;
            level =
                    new LoadSheddingLevel(
                            name,
                            SECOND,
                            (at, band, portion) -> {
                                cut = band;
                                part = portion;
                            },
                            fault);
        }

        private double waits() {
            return Arrays.stream(queue).sum();
        }

        private void asked() {
            for (int band = 0; band < DemandHistogram.BANDS; band++) {
                demand.arrivedWork(band, asks[band] * STEP);
                queue[band] += asks[band] * STEP * (band < cut ? 0 : band == cut ? part : 1);
                queue[band] = band < cut ? 0 : queue[band];
            }
        }

        private void serve(double share) {
            double gone = 0;
            for (int band = 0; band < DemandHistogram.BANDS; band++) {
                double goes = queue[band] * share;
                queue[band] -= goes;
                served[band] += goes;
                gone += goes;
            }
            demand.startedWork(gone);
            double most = 2 * SECOND * CAPACITY / all.size();
            double over = Math.max(0, waits() - most) / Math.max(1, waits());
            demand.shedWork(waits() * over);
            for (int band = 0; band < DemandHistogram.BANDS; band++) {
                queue[band] *= 1 - over;
            }
            demand.waitingWork(waits());
            demand.runningThreads(gone / STEP, 4 * CAPACITY);
            level.measure(now, demand);
            level.evaluate(now);
        }

        private List<LoadRow> tells() {
            List<LoadRow> rows =
                    OverloadDigest.decode(
                                    OverloadDigest.encode(
                                            List.of(),
                                            level.rowsToSend(now, OverloadDigest.rows(0))))
                            .rows();
            if (lies) {
                double[] came = new double[DemandHistogram.BANDS];
                came[DemandHistogram.BANDS - 1] = 1e5;
                rows.set(
                        0,
                        new LoadRow(
                                rows.get(0).managerHash(),
                                rows.get(0).timestamp(),
                                came,
                                0,
                                1e5,
                                1e5,
                                0,
                                new int[0],
                                new int[0]));
            }
            sent.add(rows);
            return sent.size() > late ? sent.get(sent.size() - 1 - late) : List.of();
        }
    }

    private void fleet(int count, LoadSheddingLevel.InjectedDefect fault) {
        for (int m = 0; m < count; m++) {
            all.add(new SheddingManager("m" + m, fault));
        }
        viewed();
    }

    private void viewed() {
        List<String> names = all.stream().filter(o -> o.up).map(o -> o.name).toList();
        all.forEach(o -> o.level.onViewChanged(names));
    }

    /** In seconds of work a second, over the fleet: the same at each. */
    private void asks(int band, double rate) {
        all.forEach(o -> o.asks[band] = rate / all.size());
    }

    private void pass(double seconds) {
        for (long until = now + (long) (seconds * SECOND); now < until; now += STEP) {
            List<SheddingManager> up = all.stream().filter(o -> o.up).toList();
            up.forEach(SheddingManager::asked);
            double waits = up.stream().mapToDouble(SheddingManager::waits).sum();
            up.forEach(o -> o.serve(Math.min(1, capacity * STEP / Math.max(1, waits))));
            if (now / STEP % 2 == 0) {
                for (SheddingManager o : up) {
                    SheddingManager other = up.get(chance.nextInt(up.size()));
                    List<LoadRow> there = o.tells();
                    List<LoadRow> back = other.tells();
                    if (other != o && chance.nextDouble() >= loss) {
                        other.level.onRows(now, there);
                        o.level.onRows(now, back);
                    }
                }
            }
        }
    }

    private double served(int band) {
        double sum = all.stream().mapToDouble(o -> o.served[band]).sum();
        all.forEach(o -> o.served[band] = 0);
        return sum / SECOND;
    }

    /** Three times what the engines bear, a third of it worth sixteen times the rest. */
    private void storm() {
        asks(HIGH, CAPACITY);
        asks(LOW, 2 * CAPACITY);
    }

    private void calm() {
        asks(HIGH, 0.2 * CAPACITY);
        asks(LOW, 0.4 * CAPACITY);
    }

    @Test
    void evaluate_lowLoad_nothingRefused() {
        fleet(12, LoadSheddingLevel.InjectedDefect.NONE);
        calm();
        pass(20);
        assertThat(all).allMatch(o -> o.cut == 0 && o.part == 1);
    }

    /** What is worth more is served, at once and by all alike, and all is open soon after. */
    @Test
    void evaluate_overload_sameThresholdThenOpen() {
        fleet(12, LoadSheddingLevel.InjectedDefect.NONE);
        calm();
        pass(10);
        storm();
        pass(5);
        served(HIGH);
        served(LOW);
        pass(10);
        assertThat(served(HIGH)).isGreaterThan(0.85 * 10 * CAPACITY);
        assertThat(all).allMatch(o -> o.cut > LOW && o.cut <= HIGH);
        assertThat(all.stream().mapToDouble(SheddingManager::waits).sum())
                .isLessThan(1.2 * SECOND * CAPACITY);
        calm();
        pass(3);
        assertThat(all).allMatch(o -> o.cut == 0);
    }

    /**
     * Three to forty, three in ten words lost, words up to two and a half seconds late: no swinging
     * that starves.
     */
    @Test
    void evaluate_lateAndLostRows_neitherSwingsNorStarves() {
        // Managers, words lost of a hundred, tellings late, the least share of the engines that
        // must be used.
        for (int[] is :
                new int[][] {
                    {3, 0, 0, 95}, {12, 30, 0, 95}, {12, 0, 5, 95}, {40, 30, 2, 95}, {12, 0, 25, 85}
                }) {
            all.clear();
            fleet(is[0], LoadSheddingLevel.InjectedDefect.NONE);
            loss = is[1] / 100.0;
            late = is[2];
            storm();
            pass(10);
            served(HIGH);
            served(LOW);
            pass(20);
            double high = served(HIGH);
            assertThat(high + served(LOW))
                    .as("%d managers", is[0])
                    .isGreaterThan(is[3] / 100.0 * 20 * CAPACITY);
            assertThat(high)
                    .as("%d managers", is[0])
                    .isGreaterThan((is[3] - 20) / 100.0 * 20 * CAPACITY);
            calm();
            pass(8);
            assertThat(all).allMatch(o -> o.cut == 0);
        }
    }

    @Test
    void evaluate_classAtOneManager_servedByFleetThreshold() {
        fleet(12, LoadSheddingLevel.InjectedDefect.NONE);
        asks(LOW, 3 * CAPACITY);
        all.get(3).asks[HIGH] = 0.1 * CAPACITY;
        pass(5);
        served(HIGH);
        pass(10);
        assertThat(served(HIGH)).isGreaterThan(0.8 * 10 * 0.1 * CAPACITY);
    }

    /**
     * More rows than fit beside the rest of a digest: all have their turn, or a large fleet's table
     * has holes.
     */
    @Test
    void rowsToSend_largeFleet_allByTurns() {
        fleet(97, LoadSheddingLevel.InjectedDefect.NONE);
        LoadSheddingLevel one = all.get(0).level;
        all.forEach(o -> one.onRows(now, o.level.rowsToSend(now, 1)));
        Set<Integer> told = new HashSet<>();
        for (int i = 0; i < 20; i++) {
            one.rowsToSend(now, 8).forEach(r -> told.add(r.managerHash()));
        }
        assertThat(told).hasSize(97);
    }

    @Test
    void priorityBand_thousandfoldWeights_toldApart() {
        assertThat(DemandHistogram.priorityBand(1_000, SECOND, false))
                .isEqualTo(DemandHistogram.BANDS - 1);
        assertThat(DemandHistogram.priorityBand(1, SECOND, false))
                .isLessThan(DemandHistogram.priorityBand(1.5, SECOND, false));
        assertThat(DemandHistogram.priorityBand(0, SECOND, false)).isZero();
        assertThat(DemandHistogram.priorityBand(Double.MAX_VALUE, 0, true))
                .isLessThan(DemandHistogram.BANDS);
        fleet(6, LoadSheddingLevel.InjectedDefect.NONE);
        asks(DemandHistogram.priorityBand(100, SECOND, false), 0.3 * CAPACITY);
        asks(DemandHistogram.priorityBand(0.1, SECOND, false), 3 * CAPACITY);
        pass(15);
        assertThat(served(DemandHistogram.priorityBand(100, SECOND, false)))
                .isGreaterThan(0.9 * 15 * 0.3 * CAPACITY);
    }

    /**
     * Half of the fleet is gone in an instant: what they told ends, and the rest goes by itself.
     */
    @Test
    void evaluate_rowsOfDeadManager_expire() {
        fleet(12, LoadSheddingLevel.InjectedDefect.NONE);
        storm();
        pass(10);
        all.subList(6, 12).forEach(o -> o.up = false);
        calm();
        pass(4);
        viewed();
        pass(4);
        assertThat(all.subList(0, 6)).allMatch(o -> o.cut == 0);
    }

    /** It claims a thousandfold load of the best worth, and that all of it waits. */
    @Test
    void evaluate_oneFalseRow_costsLittle() {
        fleet(12, LoadSheddingLevel.InjectedDefect.NONE);
        all.get(0).lies = true;
        calm();
        pass(10);
        served(HIGH);
        served(LOW);
        pass(10);
        assertThat(served(HIGH)).isGreaterThan(0.9 * 10 * 0.2 * CAPACITY);
        assertThat(served(LOW)).isGreaterThan(0.85 * 10 * 0.4 * CAPACITY);
    }

    /** Each fault is seen by one of the stories above. */
    @ParameterizedTest
    @EnumSource(
            value = LoadSheddingLevel.InjectedDefect.class,
            mode = EnumSource.Mode.EXCLUDE,
            names = "NONE")
    void evaluate_injectedDefect_isFound(LoadSheddingLevel.InjectedDefect fault) {
        fleet(12, fault);
        switch (fault) {
            case NO_PEERS -> {
                // One has all that is worth more; by itself, each of the others refuses by its own
                // queue alone.
                asks(LOW, 3 * CAPACITY);
                all.get(0).asks[HIGH] = CAPACITY;
                pass(10);
                assertThat(all.stream().mapToInt(o -> o.cut).distinct().count()).isGreaterThan(1);
            }
            case NEVER_OLD -> {
                storm();
                pass(10);
                all.subList(1, 12).forEach(o -> o.up = false);
                calm();
                pass(8);
                assertThat(all.get(0).cut).isGreaterThan(0);
            }
            case OLDER_WINS -> {
                List<LoadRow> old = all.get(1).tells();
                pass(2);
                all.get(0).level.onRows(now, all.get(1).tells());
                all.get(0).level.onRows(now, old);
                assertThat(all.get(0).level.rowsToSend(now, 40)).contains(old.get(0));
            }
            case NO_LIMIT -> {
                all.get(0).lies = true;
                calm();
                pass(10);
                served(LOW);
                pass(10);
                assertThat(served(LOW)).isLessThan(0.85 * 10 * 0.4 * CAPACITY);
            }
            case WAITS_UNSEEN -> {
                storm();
                pass(5);
                served(HIGH);
                pass(10);
                assertThat(served(HIGH)).isLessThan(0.85 * 10 * CAPACITY);
            }
            default -> {
                storm();
                pass(10);
                calm();
                pass(3);
                assertThat(all).anyMatch(o -> o.cut > 0);
            }
        }
    }
}
