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
 * Tests the load shedding of a fleet that receives more work than its engines can run: which
 * requests are refused, and how the threshold returns to 0. Work is simulated as a flow. Times are
 * in ticks.
 */
class LoadSheddingLevelTest {
    private static final long SECOND = 10_000;

    /** Interval at which the simulation evaluates all managers: 0.1 s. */
    private static final long STEP = 1_000;

    /** Capacity of the engines in seconds of work a second. */
    private static final double CAPACITY = 40;

    /** Priority bands of the simulated work: low and high. */
    private static final int LOW = 12;

    private static final int HIGH = 20;

    private final RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(11);
    private final List<SheddingManager> managers = new ArrayList<>();
    private long now = 100 * SECOND;

    /** Probability that an exchange of rows is lost. */
    private double lossProbability;

    /** Number of sends by which rows are delayed. */
    private int sendDelay;

    private double capacity = CAPACITY;

    /**
     * Simulated manager. Admitted work waits until the engines have capacity; work beyond two
     * seconds of the manager's share of the capacity is shed from the queue.
     */
    private final class SheddingManager {
        private final String name;
        private final LoadSheddingLevel level;
        private final DemandHistogram demand = new DemandHistogram();
        private final double[] arrivalRates = new double[DemandHistogram.BANDS];
        private final double[] queue = new double[DemandHistogram.BANDS];
        private final double[] served = new double[DemandHistogram.BANDS];
        private final List<List<LoadRow>> sent = new ArrayList<>();
        private int threshold;
        private double admittedFraction = 1;
        private boolean alive = true;
        private boolean sendsFalseRows;

        private SheddingManager(String name, LoadSheddingLevel.InjectedDefect defect) {
            this.name = name;
            level =
                    new LoadSheddingLevel(
                            name,
                            SECOND,
                            (time, band, fraction) -> {
                                threshold = band;
                                admittedFraction = fraction;
                            },
                            defect);
        }

        private double queuedWork() {
            return Arrays.stream(queue).sum();
        }

        private void receiveWork() {
            for (int band = 0; band < DemandHistogram.BANDS; band++) {
                demand.arrivedWork(band, arrivalRates[band] * STEP);
                queue[band] +=
                        arrivalRates[band]
                                * STEP
                                * (band < threshold ? 0 : band == threshold ? admittedFraction : 1);
                queue[band] = band < threshold ? 0 : queue[band];
            }
        }

        private void serve(double servedFraction) {
            double started = 0;
            for (int band = 0; band < DemandHistogram.BANDS; band++) {
                double bandWork = queue[band] * servedFraction;
                queue[band] -= bandWork;
                served[band] += bandWork;
                started += bandWork;
            }
            demand.startedWork(started);
            double maxQueue = 2 * SECOND * CAPACITY / managers.size();
            double excessFraction =
                    Math.max(0, queuedWork() - maxQueue) / Math.max(1, queuedWork());
            demand.shedWork(queuedWork() * excessFraction);
            for (int band = 0; band < DemandHistogram.BANDS; band++) {
                queue[band] *= 1 - excessFraction;
            }
            demand.waitingWork(queuedWork());
            demand.runningThreads(started / STEP, 4 * CAPACITY);
            level.measure(now, demand);
            level.evaluate(now);
        }

        private List<LoadRow> sendRows() {
            List<LoadRow> rows =
                    OverloadDigest.decode(
                                    OverloadDigest.encode(
                                            List.of(),
                                            level.rowsToSend(now, OverloadDigest.maxRows(0))))
                            .rows();
            if (sendsFalseRows) {
                double[] falseRates = new double[DemandHistogram.BANDS];
                falseRates[DemandHistogram.BANDS - 1] = 1e5;
                rows.set(
                        0,
                        new LoadRow(
                                rows.get(0).managerHash(),
                                rows.get(0).timestamp(),
                                falseRates,
                                0,
                                1e5,
                                1e5,
                                0,
                                new int[0],
                                new int[0]));
            }
            sent.add(rows);
            return sent.size() > sendDelay ? sent.get(sent.size() - 1 - sendDelay) : List.of();
        }
    }

    private void createFleet(int count, LoadSheddingLevel.InjectedDefect defect) {
        for (int m = 0; m < count; m++) {
            managers.add(new SheddingManager("m" + m, defect));
        }
        updateViews();
    }

    private void updateViews() {
        List<String> names =
                managers.stream()
                        .filter(manager -> manager.alive)
                        .map(manager -> manager.name)
                        .toList();
        managers.forEach(manager -> manager.level.onViewChanged(names));
    }

    /** Sets the fleet's arrival rate in seconds of work a second, divided equally. */
    private void setArrivalRate(int band, double rate) {
        managers.forEach(manager -> manager.arrivalRates[band] = rate / managers.size());
    }

    private void advance(double seconds) {
        for (long until = now + (long) (seconds * SECOND); now < until; now += STEP) {
            List<SheddingManager> alive =
                    managers.stream().filter(manager -> manager.alive).toList();
            alive.forEach(SheddingManager::receiveWork);
            double queuedWork = alive.stream().mapToDouble(SheddingManager::queuedWork).sum();
            alive.forEach(
                    manager ->
                            manager.serve(Math.min(1, capacity * STEP / Math.max(1, queuedWork))));
            if (now / STEP % 2 == 0) {
                for (SheddingManager manager : alive) {
                    SheddingManager other = alive.get(random.nextInt(alive.size()));
                    List<LoadRow> ownRows = manager.sendRows();
                    List<LoadRow> otherRows = other.sendRows();
                    if (other != manager && random.nextDouble() >= lossProbability) {
                        other.level.onRows(now, ownRows);
                        manager.level.onRows(now, otherRows);
                    }
                }
            }
        }
    }

    private double takeServedSeconds(int band) {
        double sum = managers.stream().mapToDouble(manager -> manager.served[band]).sum();
        managers.forEach(manager -> manager.served[band] = 0);
        return sum / SECOND;
    }

    /**
     * Sets arrivals of three times the engines' capacity; a third of them have sixteen times the
     * priority of the rest.
     */
    private void startOverload() {
        setArrivalRate(HIGH, CAPACITY);
        setArrivalRate(LOW, 2 * CAPACITY);
    }

    private void startLowLoad() {
        setArrivalRate(HIGH, 0.2 * CAPACITY);
        setArrivalRate(LOW, 0.4 * CAPACITY);
    }

    @Test
    void evaluate_lowLoad_nothingRefused() {
        createFleet(12, LoadSheddingLevel.InjectedDefect.NONE);
        startLowLoad();
        advance(20);
        assertThat(managers)
                .allMatch(manager -> manager.threshold == 0 && manager.admittedFraction == 1);
    }

    /**
     * During the overload all managers serve the work of high priority; soon after the overload
     * nothing is refused.
     */
    @Test
    void evaluate_overload_sameThresholdThenOpen() {
        createFleet(12, LoadSheddingLevel.InjectedDefect.NONE);
        startLowLoad();
        advance(10);
        startOverload();
        advance(5);
        takeServedSeconds(HIGH);
        takeServedSeconds(LOW);
        advance(10);
        assertThat(takeServedSeconds(HIGH)).isGreaterThan(0.85 * 10 * CAPACITY);
        assertThat(managers)
                .allMatch(manager -> manager.threshold > LOW && manager.threshold <= HIGH);
        assertThat(managers.stream().mapToDouble(SheddingManager::queuedWork).sum())
                .isLessThan(1.2 * SECOND * CAPACITY);
        startLowLoad();
        advance(3);
        assertThat(managers).allMatch(manager -> manager.threshold == 0);
    }

    /**
     * With 3 to 40 managers, up to 30 % of the exchanges lost, and rows up to 2.5 s late, the
     * threshold does not oscillate so much that engines idle or high priorities starve.
     */
    @Test
    void evaluate_lateAndLostRows_neitherSwingsNorStarves() {
        // Number of managers, percentage of lost exchanges, sends by which rows are late, minimum
        // percentage of the capacity that must be used.
        for (int[] scenario :
                new int[][] {
                    {3, 0, 0, 95}, {12, 30, 0, 95}, {12, 0, 5, 95}, {40, 30, 2, 95}, {12, 0, 25, 85}
                }) {
            managers.clear();
            createFleet(scenario[0], LoadSheddingLevel.InjectedDefect.NONE);
            lossProbability = scenario[1] / 100.0;
            sendDelay = scenario[2];
            startOverload();
            advance(10);
            takeServedSeconds(HIGH);
            takeServedSeconds(LOW);
            advance(20);
            double high = takeServedSeconds(HIGH);
            assertThat(high + takeServedSeconds(LOW))
                    .as("%d managers", scenario[0])
                    .isGreaterThan(scenario[3] / 100.0 * 20 * CAPACITY);
            assertThat(high)
                    .as("%d managers", scenario[0])
                    .isGreaterThan((scenario[3] - 20) / 100.0 * 20 * CAPACITY);
            startLowLoad();
            advance(8);
            assertThat(managers).allMatch(manager -> manager.threshold == 0);
        }
    }

    @Test
    void evaluate_classAtOneManager_servedByFleetThreshold() {
        createFleet(12, LoadSheddingLevel.InjectedDefect.NONE);
        setArrivalRate(LOW, 3 * CAPACITY);
        managers.get(3).arrivalRates[HIGH] = 0.1 * CAPACITY;
        advance(5);
        takeServedSeconds(HIGH);
        advance(10);
        assertThat(takeServedSeconds(HIGH)).isGreaterThan(0.8 * 10 * 0.1 * CAPACITY);
    }

    /**
     * If more rows exist than fit into a digest, they must be sent in turn: otherwise the tables of
     * a large fleet stay incomplete.
     */
    @Test
    void rowsToSend_largeFleet_sendsAllInTurn() {
        createFleet(97, LoadSheddingLevel.InjectedDefect.NONE);
        LoadSheddingLevel level = managers.get(0).level;
        managers.forEach(manager -> level.onRows(now, manager.level.rowsToSend(now, 1)));
        Set<Integer> sentManagers = new HashSet<>();
        for (int i = 0; i < 20; i++) {
            level.rowsToSend(now, 8).forEach(row -> sentManagers.add(row.managerHash()));
        }
        assertThat(sentManagers).hasSize(97);
    }

    @Test
    void priorityBand_thousandfoldWeights_distinguished() {
        assertThat(DemandHistogram.priorityBand(1_000, SECOND, false))
                .isEqualTo(DemandHistogram.BANDS - 1);
        assertThat(DemandHistogram.priorityBand(1, SECOND, false))
                .isLessThan(DemandHistogram.priorityBand(1.5, SECOND, false));
        assertThat(DemandHistogram.priorityBand(0, SECOND, false)).isZero();
        assertThat(DemandHistogram.priorityBand(Double.MAX_VALUE, 0, true))
                .isLessThan(DemandHistogram.BANDS);
        createFleet(6, LoadSheddingLevel.InjectedDefect.NONE);
        setArrivalRate(DemandHistogram.priorityBand(100, SECOND, false), 0.3 * CAPACITY);
        setArrivalRate(DemandHistogram.priorityBand(0.1, SECOND, false), 3 * CAPACITY);
        advance(15);
        assertThat(takeServedSeconds(DemandHistogram.priorityBand(100, SECOND, false)))
                .isGreaterThan(0.9 * 15 * 0.3 * CAPACITY);
    }

    /**
     * Half of the fleet dies at once: the rows of dead managers expire, and the other managers
     * continue without them.
     */
    @Test
    void evaluate_rowsOfDeadManager_expire() {
        createFleet(12, LoadSheddingLevel.InjectedDefect.NONE);
        startOverload();
        advance(10);
        managers.subList(6, 12).forEach(manager -> manager.alive = false);
        startLowLoad();
        advance(4);
        updateViews();
        advance(4);
        assertThat(managers.subList(0, 6)).allMatch(manager -> manager.threshold == 0);
    }

    /** One manager falsely reports a huge load of the highest priority, all of it queued. */
    @Test
    void evaluate_oneFalseRow_hasLittleEffect() {
        createFleet(12, LoadSheddingLevel.InjectedDefect.NONE);
        managers.get(0).sendsFalseRows = true;
        startLowLoad();
        advance(10);
        takeServedSeconds(HIGH);
        takeServedSeconds(LOW);
        advance(10);
        assertThat(takeServedSeconds(HIGH)).isGreaterThan(0.9 * 10 * 0.2 * CAPACITY);
        assertThat(takeServedSeconds(LOW)).isGreaterThan(0.85 * 10 * 0.4 * CAPACITY);
    }

    /** Each injected defect makes one of the scenarios above fail. */
    @ParameterizedTest
    @EnumSource(
            value = LoadSheddingLevel.InjectedDefect.class,
            mode = EnumSource.Mode.EXCLUDE,
            names = "NONE")
    void evaluate_injectedDefect_isFound(LoadSheddingLevel.InjectedDefect defect) {
        createFleet(12, defect);
        switch (defect) {
            case NO_PEERS -> {
                // One manager receives all work of high priority. Without rows of others each
                // manager refuses by its own queue alone.
                setArrivalRate(LOW, 3 * CAPACITY);
                managers.get(0).arrivalRates[HIGH] = CAPACITY;
                advance(10);
                assertThat(
                                managers.stream()
                                        .mapToInt(manager -> manager.threshold)
                                        .distinct()
                                        .count())
                        .isGreaterThan(1);
            }
            case NEVER_OLD -> {
                startOverload();
                advance(10);
                managers.subList(1, 12).forEach(manager -> manager.alive = false);
                startLowLoad();
                advance(8);
                assertThat(managers.get(0).threshold).isGreaterThan(0);
            }
            case OLDER_WINS -> {
                List<LoadRow> old = managers.get(1).sendRows();
                advance(2);
                managers.get(0).level.onRows(now, managers.get(1).sendRows());
                managers.get(0).level.onRows(now, old);
                assertThat(managers.get(0).level.rowsToSend(now, 40)).contains(old.get(0));
            }
            case NO_LIMIT -> {
                managers.get(0).sendsFalseRows = true;
                startLowLoad();
                advance(10);
                takeServedSeconds(LOW);
                advance(10);
                assertThat(takeServedSeconds(LOW)).isLessThan(0.85 * 10 * 0.4 * CAPACITY);
            }
            case WAITS_UNSEEN -> {
                startOverload();
                advance(5);
                takeServedSeconds(HIGH);
                advance(10);
                assertThat(takeServedSeconds(HIGH)).isLessThan(0.85 * 10 * CAPACITY);
            }
            default -> {
                startOverload();
                advance(10);
                startLowLoad();
                advance(3);
                assertThat(managers).anyMatch(manager -> manager.threshold > 0);
            }
        }
    }
}
