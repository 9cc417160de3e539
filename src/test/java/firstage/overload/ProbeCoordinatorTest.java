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
 * Managers that tell each other which engines are sick: who tries, who keeps away, and how all come
 * back.
 */
class ProbeCoordinatorTest {
    private static final long SECOND = 10_000;
    private static final long PERIOD = 2_000;
    private static final int ENGINES = 12;
    private final RandomGenerator chance = RandomGeneratorFactory.of("L64X128MixRandom").create(5);

    private final class ProbingManager {
        private final String name;
        private final ProbeCoordinator trials;
        private final Set<Long> withheld = new HashSet<>();
        private final Set<Long> closed = new HashSet<>();
        private long triedAt;
        private int led;

        private ProbingManager(String name, ProbeCoordinator.InjectedDefect fault) {
            this.name = name;
            trials =
                    new ProbeCoordinator(
                            name,
                            PERIOD,
                            (engine, others, over) -> {
                                if (others) {
                                    withheld.add(engine);
                                } else {
                                    withheld.remove(engine);
                                }
                                led += over ? 1 : 0;
                            },
                            fault);
        }

        private void look() {
            for (long e = 0; e < ENGINES; e++) {
                trials.updateEngine(
                        now, e, closed.contains(e), closed.contains(e) ? triedAt : 0, 0);
            }
            trials.evaluate(now);
        }
    }

    private final List<ProbingManager> all = new ArrayList<>();
    private long now = 100 * SECOND;
    private boolean told = true;

    private void fleet(int count, ProbeCoordinator.InjectedDefect fault) {
        List<String> names = new ArrayList<>();
        for (int m = 0; m < count; m++) {
            all.add(new ProbingManager("m" + m, fault));
            names.add("m" + m);
        }
        all.forEach(o -> o.trials.onViewChanged(names));
    }

    private static List<OverloadDigest.EngineReport> carried(
            List<OverloadDigest.EngineReport> words) {
        return OverloadDigest.decode(OverloadDigest.encode(words, List.of())).reports();
    }

    private void pass(long time) {
        for (long until = now + time; now < until; now += PERIOD / 2) {
            for (ProbingManager o : all) {
                o.look();
                ProbingManager other = all.get(chance.nextInt(all.size()));
                if (told && other != o) {
                    other.trials.onReports(now, o.name, carried(o.trials.localReports(now)));
                    o.trials.onReports(now, other.name, carried(other.trials.localReports(now)));
                }
            }
        }
    }

    private void closes(long engine, int count) {
        for (int m = 0; m < count; m++) {
            all.get(m).closed.add(engine);
            all.get(m).triedAt = now;
        }
    }

    private long free(long engine) {
        return all.stream().filter(o -> !o.withheld.contains(engine)).count();
    }

    @Test
    void evaluate_manyEjectedIt_oneOwnerProbes() {
        fleet(12, ProbeCoordinator.InjectedDefect.NONE);
        closes(3, 6);
        pass(5 * SECOND);
        assertThat(free(3)).isOne();
        assertThat(
                        all.stream()
                                .filter(o -> !o.withheld.contains(3L))
                                .findFirst()
                                .orElseThrow()
                                .closed)
                .contains(3L);
        assertThat(free(4)).isEqualTo(12);
    }

    @Test
    void evaluate_defectAllOwn_allProbe() {
        fleet(12, ProbeCoordinator.InjectedDefect.ALL_OWN);
        closes(3, 12);
        pass(5 * SECOND);
        assertThat(free(3)).isGreaterThan(1);
    }

    @Test
    void evaluate_oneEjectedIt_othersUnaffected() {
        fleet(12, ProbeCoordinator.InjectedDefect.NONE);
        closes(3, 1);
        pass(10 * SECOND);
        assertThat(free(3)).isEqualTo(12);
        all.clear();
        fleet(12, ProbeCoordinator.InjectedDefect.ALONE_IS_SHARED);
        closes(3, 1);
        pass(10 * SECOND);
        assertThat(free(3)).isLessThan(12);
    }

    @Test
    void evaluate_reportsStop_eachDecidesAlone() {
        for (ProbeCoordinator.InjectedDefect fault :
                List.of(
                        ProbeCoordinator.InjectedDefect.NONE,
                        ProbeCoordinator.InjectedDefect.WORDS_NEVER_END)) {
            all.clear();
            told = true;
            fleet(8, fault);
            closes(3, 5);
            pass(5 * SECOND);
            told = false;
            pass(10 * SECOND);
            assertThat(free(3) == 8).isEqualTo(fault == ProbeCoordinator.InjectedDefect.NONE);
        }
    }

    @Test
    void evaluate_engineReadmitted_allReturnInSteps() {
        int[] most = new int[2];
        for (int i = 0; i < 2; i++) {
            all.clear();
            fleet(
                    32,
                    i == 0
                            ? ProbeCoordinator.InjectedDefect.NONE
                            : ProbeCoordinator.InjectedDefect.ALL_AT_ONCE);
            closes(3, 20);
            pass(8 * SECOND);
            ProbingManager owner =
                    all.stream().filter(o -> !o.withheld.contains(3L)).findFirst().orElseThrow();
            owner.closed.remove(3L);
            all.forEach(o -> o.led = 0);
            int before = 0;
            for (int step = 0; step < 100; step++) {
                pass(PERIOD / 2);
                int led = all.stream().mapToInt(o -> Math.min(1, o.led)).sum();
                most[i] = Math.max(most[i], led - before);
                before = led;
            }
            assertThat(before).isGreaterThan(25);
        }
        assertThat(most[0]).isLessThan(most[1]);
    }

    @Test
    void evaluate_falseReports_healthyEnginesKept() {
        fleet(9, ProbeCoordinator.InjectedDefect.NONE);
        for (long e = 0; e < ENGINES; e++) {
            closes(e, 1);
        }
        pass(10 * SECOND);
        assertThat(all.subList(1, 9)).allMatch(o -> o.withheld.isEmpty());
        for (long e = 0; e < ENGINES; e++) {
            closes(e, 5);
        }
        pass(10 * SECOND);
        assertThat(all.subList(5, 9)).allMatch(o -> o.withheld.isEmpty());
    }

    @Test
    void decode_malformedDigest_empty() {
        double[] came = new double[DemandHistogram.BANDS];
        came[3] = 0.5;
        came[31] = 4_000;
        LoadRow row =
                new LoadRow(
                        -7,
                        1 << 31,
                        came,
                        17.3,
                        0.002,
                        96,
                        2,
                        new int[] {0, 255, 60},
                        new int[] {1, 2, -9});
        byte[] good =
                OverloadDigest.encode(
                        List.of(
                                new OverloadDigest.EngineReport(7, true, 5),
                                new OverloadDigest.EngineReport(1L << 40, false, 0)),
                        List.of(row, row));
        assertThat(OverloadDigest.decode(good).reports()).hasSize(2);
        LoadRow read = OverloadDigest.decode(good).rows().get(1);
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
            byte[] spoilt = good.clone();
            spoilt[chance.nextInt(spoilt.length)] = (byte) chance.nextInt();
            assertThat(OverloadDigest.decode(spoilt).reports().size())
                    .isLessThanOrEqualTo(OverloadDigest.MAX_REPORTS);
        }
    }
}
