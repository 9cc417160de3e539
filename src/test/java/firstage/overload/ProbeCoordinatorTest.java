package firstage.overload;

import static org.assertj.core.api.Assertions.assertThat;

import firstage.policy.api.DemandHistogram;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.assertj.core.data.Percentage;
import org.junit.jupiter.api.Test;

/**
 * Tests how managers that report unhealthy engines to each other coordinate their probes: which
 * manager probes, which avoid the engine, and how all return to it.
 */
class ProbeCoordinatorTest {
    private static final long SECOND = 10_000;
    private static final long PERIOD = 2_000;
    private static final int ENGINES = 12;
    private final RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(5);

    private final class ProbingManager {
        private final String name;
        private final ProbeCoordinator coordinator;
        private final Set<Long> withheld = new HashSet<>();
        private final Set<Long> ejected = new HashSet<>();
        private long lastAttemptAt;
        private int probesDue;

        private ProbingManager(String name, ProbeCoordinator.InjectedDefect defect) {
            this.name = name;
            coordinator =
                    new ProbeCoordinator(
                            name,
                            PERIOD,
                            (engine, probedByOthers, backoffOver) -> {
                                if (probedByOthers) {
                                    withheld.add(engine);
                                } else {
                                    withheld.remove(engine);
                                }
                                probesDue += backoffOver ? 1 : 0;
                            },
                            defect);
        }

        private void updateAndEvaluate() {
            for (long engine = 0; engine < ENGINES; engine++) {
                coordinator.updateEngine(
                        now,
                        engine,
                        ejected.contains(engine),
                        ejected.contains(engine) ? lastAttemptAt : 0,
                        0);
            }
            coordinator.evaluate(now);
        }
    }

    private final List<ProbingManager> managers = new ArrayList<>();
    private long now = 100 * SECOND;
    private boolean reportsDelivered = true;

    private void createFleet(int count, ProbeCoordinator.InjectedDefect defect) {
        List<String> names = new ArrayList<>();
        for (int m = 0; m < count; m++) {
            managers.add(new ProbingManager("m" + m, defect));
            names.add("m" + m);
        }
        managers.forEach(manager -> manager.coordinator.onViewChanged(names));
    }

    private static List<OverloadDigest.EngineReport> encodeAndDecode(
            List<OverloadDigest.EngineReport> reports) {
        return OverloadDigest.decode(OverloadDigest.encode(reports, List.of())).reports();
    }

    private void advance(long time) {
        for (long until = now + time; now < until; now += PERIOD / 2) {
            for (ProbingManager manager : managers) {
                manager.updateAndEvaluate();
                ProbingManager other = managers.get(random.nextInt(managers.size()));
                if (reportsDelivered && other != manager) {
                    other.coordinator.onReports(
                            now,
                            manager.name,
                            encodeAndDecode(manager.coordinator.localReports(now)));
                    manager.coordinator.onReports(
                            now, other.name, encodeAndDecode(other.coordinator.localReports(now)));
                }
            }
        }
    }

    private void eject(long engine, int count) {
        for (int m = 0; m < count; m++) {
            managers.get(m).ejected.add(engine);
            managers.get(m).lastAttemptAt = now;
        }
    }

    private long countNotWithheld(long engine) {
        return managers.stream().filter(manager -> !manager.withheld.contains(engine)).count();
    }

    @Test
    void evaluate_ejectedByMany_oneOwnerProbes() {
        createFleet(12, ProbeCoordinator.InjectedDefect.NONE);
        eject(3, 6);
        advance(5 * SECOND);
        assertThat(countNotWithheld(3)).isOne();
        assertThat(
                        managers.stream()
                                .filter(manager -> !manager.withheld.contains(3L))
                                .findFirst()
                                .orElseThrow()
                                .ejected)
                .contains(3L);
        assertThat(countNotWithheld(4)).isEqualTo(12);
    }

    @Test
    void evaluate_defectAllOwn_allProbe() {
        createFleet(12, ProbeCoordinator.InjectedDefect.ALL_OWN);
        eject(3, 12);
        advance(5 * SECOND);
        assertThat(countNotWithheld(3)).isGreaterThan(1);
    }

    @Test
    void evaluate_ejectedByOne_othersUnaffected() {
        createFleet(12, ProbeCoordinator.InjectedDefect.NONE);
        eject(3, 1);
        advance(10 * SECOND);
        assertThat(countNotWithheld(3)).isEqualTo(12);
        managers.clear();
        createFleet(12, ProbeCoordinator.InjectedDefect.ALONE_IS_SHARED);
        eject(3, 1);
        advance(10 * SECOND);
        assertThat(countNotWithheld(3)).isLessThan(12);
    }

    @Test
    void evaluate_reportsStop_eachDecidesAlone() {
        for (ProbeCoordinator.InjectedDefect defect :
                List.of(
                        ProbeCoordinator.InjectedDefect.NONE,
                        ProbeCoordinator.InjectedDefect.WORDS_NEVER_END)) {
            managers.clear();
            reportsDelivered = true;
            createFleet(8, defect);
            eject(3, 5);
            advance(5 * SECOND);
            reportsDelivered = false;
            advance(10 * SECOND);
            assertThat(countNotWithheld(3) == 8)
                    .isEqualTo(defect == ProbeCoordinator.InjectedDefect.NONE);
        }
    }

    @Test
    void evaluate_engineReadmitted_allReturnInSteps() {
        int[] maxReturns = new int[2];
        for (int i = 0; i < 2; i++) {
            managers.clear();
            createFleet(
                    32,
                    i == 0
                            ? ProbeCoordinator.InjectedDefect.NONE
                            : ProbeCoordinator.InjectedDefect.ALL_AT_ONCE);
            eject(3, 20);
            advance(8 * SECOND);
            ProbingManager owner =
                    managers.stream()
                            .filter(manager -> !manager.withheld.contains(3L))
                            .findFirst()
                            .orElseThrow();
            owner.ejected.remove(3L);
            managers.forEach(manager -> manager.probesDue = 0);
            int returnedBefore = 0;
            for (int step = 0; step < 100; step++) {
                advance(PERIOD / 2);
                int returned =
                        managers.stream().mapToInt(manager -> Math.min(1, manager.probesDue)).sum();
                maxReturns[i] = Math.max(maxReturns[i], returned - returnedBefore);
                returnedBefore = returned;
            }
            assertThat(returnedBefore).isGreaterThan(25);
        }
        assertThat(maxReturns[0]).isLessThan(maxReturns[1]);
    }

    @Test
    void evaluate_falseReports_healthyEnginesKept() {
        createFleet(9, ProbeCoordinator.InjectedDefect.NONE);
        for (long engine = 0; engine < ENGINES; engine++) {
            eject(engine, 1);
        }
        advance(10 * SECOND);
        assertThat(managers.subList(1, 9)).allMatch(manager -> manager.withheld.isEmpty());
        for (long engine = 0; engine < ENGINES; engine++) {
            eject(engine, 5);
        }
        advance(10 * SECOND);
        assertThat(managers.subList(5, 9)).allMatch(manager -> manager.withheld.isEmpty());
    }

    @Test
    void decode_malformedDigest_empty() {
        double[] arrivalRates = new double[DemandHistogram.BANDS];
        arrivalRates[3] = 0.5;
        arrivalRates[31] = 4_000;
        LoadRow row =
                new LoadRow(
                        -7,
                        1 << 31,
                        arrivalRates,
                        17.3,
                        0.002,
                        96,
                        2,
                        new int[] {0, 255, 60},
                        new int[] {1, 2, -9});
        byte[] encoded =
                OverloadDigest.encode(
                        List.of(
                                new OverloadDigest.EngineReport(7, true, 5),
                                new OverloadDigest.EngineReport(1L << 40, false, 0)),
                        List.of(row, row));
        assertThat(OverloadDigest.decode(encoded).reports()).hasSize(2);
        LoadRow read = OverloadDigest.decode(encoded).rows().get(1);
        assertThat(read.managerHash()).isEqualTo(-7);
        assertThat(read.timestamp()).isEqualTo(1 << 31);
        assertThat(read.startRate()).isCloseTo(17.3, Percentage.withPercentage(5));
        assertThat(read.arrivalRates()[31]).isCloseTo(4_000, Percentage.withPercentage(5));
        assertThat(read.arrivalRates()[4]).isZero();
        assertThat(read.zone()).isEqualTo(2);
        assertThat(read.ejectedPercent()).containsExactly(0, 255, 60);
        assertThat(read.zoneOrders()).containsExactly(1, 2, -9);
        assertThat(OverloadDigest.decode(new byte[0]).reports()).isEmpty();
        assertThat(OverloadDigest.encode(List.of(), List.of())).isEmpty();
        for (int i = 0; i < 20_000; i++) {
            byte[] corrupted = encoded.clone();
            corrupted[random.nextInt(corrupted.length)] = (byte) random.nextInt();
            assertThat(OverloadDigest.decode(corrupted).reports().size())
                    .isLessThanOrEqualTo(OverloadDigest.MAX_REPORTS);
        }
    }
}
