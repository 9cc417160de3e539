package firstage.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * The parts in use never pass the whole: all orders of few events among three, and long hostile
 * plays of more.
 */
class QuotaLeasesTest {
    private static final long SECOND = 10_000;
    private static final long PERIOD = 2_000;

    /**
     * Managers by their leases alone; each has a clock of its own, fast or slow by up to a
     * fortieth.
     */
    private static final class Group {
        private final int all;
        private final QuotaLeases.InjectedDefect fault;
        private final QuotaLeases[] leases;
        private final boolean[] lentBefore;
        private final double[] pace;
        private long now = 100 * SECOND;

        private Group(int all, QuotaLeases.InjectedDefect fault) {
            this.all = all;
            this.fault = fault;
            leases = new QuotaLeases[all];
            lentBefore = new boolean[all];
            pace = new double[all];
            for (int m = 0; m < all; m++) {
                pace[m] = 1 + (m % 3 - 1) / 40.0;
                start(m);
            }
        }

        private void start(int m) {
            leases[m] =
                    new QuotaLeases(
                            all,
                            PERIOD,
                            lentBefore[m],
                            () -> {
                                lentBefore[m] = true;
                            },
                            fault);
            leases[m].setUnreachable(clock(m), "nobody", false);
        }

        private long clock(int m) {
            return (long) (now * pace[m]);
        }

        /** One asked another {@code late} ago, by its own clock, and hears the answer now. */
        private void asks(int a, int b, long late) {
            leases[b].onWithdrawalMarkStored();
            long asked = clock(a) - late;
            leases[a].onResponse(
                    clock(a),
                    asked,
                    "m" + b,
                    leases[b].grantTo(clock(b), "m" + a),
                    leases[b].withdrawGrants(clock(b)));
        }

        /** Both hold each other for gone, or here. */
        private void silent(int a, boolean is) {
            for (int m = 0; m < all; m++) {
                if (m != a) {
                    leases[m].setUnreachable(clock(m), "m" + a, is);
                }
            }
        }

        private double sum() {
            double sum = 0;
            for (int m = 0; m < all; m++) {
                sum += leases[m].share(clock(m));
            }
            return sum;
        }
    }

    private static void play(Group g, int event) {
        switch (event) {
            case 0 -> g.now += 4 * SECOND;
            case 1 -> g.asks(0, 1, 0);
            case 2 -> g.asks(1, 2, 0);
            case 3 -> g.asks(2, 0, 0);
            case 4 -> g.asks(1, 0, 0);
            case 5 -> g.silent(2, true);
            case 6 -> g.silent(2, false);
            default -> g.start(1);
        }
    }

    /**
     * The most that is in use in any order of so many events; the last of them are an answer to
     * each.
     */
    private static double worst(int depth, QuotaLeases.InjectedDefect fault) {
        return IntStream.range(0, 1 << 3 * depth)
                .parallel()
                .mapToDouble(
                        order -> {
                            double worst = 0;
                            Group g = new Group(3, fault);
                            for (int m = 0; m < 3; m++) {
                                g.asks(m, (m + 1) % 3, 0);
                            }
                            for (int i = 0; i < depth; i++) {
                                play(g, order >> 3 * i & 7);
                                worst = Math.max(worst, g.sum());
                            }
                            return worst;
                        })
                .max()
                .orElse(0);
    }

    /** Eight on demand (-Dfirstage.leases=8): some minutes. */
    @Test
    void share_anyOrderOfSixEvents_atMostTheWhole() {
        assertThat(worst(Integer.getInteger("firstage.leases", 6), QuotaLeases.InjectedDefect.NONE))
                .isLessThanOrEqualTo(1 + 1e-9);
    }

    /** Random plays of four to nine: answers lost, late and doubled, cuts, stops, new lives. */
    private static double hostile(long seed, QuotaLeases.InjectedDefect fault) {
        RandomGenerator chance = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        Group g = new Group(3 + chance.nextInt(7), fault);
        List<Runnable> late = new ArrayList<>();
        double worst = 0;
        int lost = chance.nextInt(g.all);
        for (int step = 0; step < 600; step++) {
            g.now +=
                    chance.nextInt(4) == 0
                            ? chance.nextLong(2 * SECOND)
                            : chance.nextLong(SECOND / 10);
            int a = chance.nextInt(g.all);
            int b = (a + 1 + chance.nextInt(g.all - 1)) % g.all;
            switch (chance.nextInt(12)) {
                case 0 -> {
                    lost = chance.nextInt(g.all);
                    g.silent(lost, chance.nextBoolean());
                }
                case 1 -> g.silent(lost, false);
                case 2 -> {
                    if (chance.nextInt(4) == 0) {
                        g.start(a);
                    }
                }
                case 3 -> {
                    // Asked and answered now, and read only later.
                    boolean grants = g.leases[b].grantTo(g.clock(b), "m" + a);
                    List<String> lent = g.leases[b].withdrawGrants(g.clock(b));
                    long asked = g.clock(a);
                    late.add(
                            () -> g.leases[a].onResponse(g.clock(a), asked, "m" + b, grants, lent));
                }
                case 4 -> {
                    if (!late.isEmpty()) {
                        late.remove(chance.nextInt(late.size())).run();
                    }
                }
                default -> {
                    if (a != lost && b != lost || chance.nextInt(6) == 0) {
                        g.asks(a, b, chance.nextInt(3) == 0 ? chance.nextLong(SECOND) : 0);
                    }
                }
            }
            worst = Math.max(worst, g.sum());
        }
        return worst;
    }

    private static double worstOf(int seeds, QuotaLeases.InjectedDefect fault) {
        double worst = 0;
        for (long seed = 0; seed < seeds; seed++) {
            worst = Math.max(worst, hostile(seed, fault));
        }
        return worst;
    }

    @Test
    void share_randomSchedules_atMostTheWhole() {
        assertThat(worstOf(3_000, QuotaLeases.InjectedDefect.NONE)).isLessThanOrEqualTo(1 + 1e-9);
    }

    @ParameterizedTest
    @EnumSource(
            value = QuotaLeases.InjectedDefect.class,
            mode = EnumSource.Mode.EXCLUDE,
            names = "NONE")
    void share_injectedDefect_exceedsTheWhole(QuotaLeases.InjectedDefect fault) {
        assertThat(worstOf(3_000, fault)).isGreaterThan(1 + 1e-9);
    }

    @Test
    void share_deadMember_halfGoesToOthersAndBack() {
        Group g = new Group(4, QuotaLeases.InjectedDefect.NONE);
        for (int i = 0; i < 200; i++) {
            g.now += SECOND / 5;
            for (int m = 0; m < 3; m++) {
                g.asks(m, (m + 1 + i % 2) % 3, 0);
            }
            g.silent(3, true);
        }
        assertThat(g.leases[0].share(g.clock(0))).isGreaterThan(0.29);
        g.silent(3, false);
        for (int i = 0; i < 50; i++) {
            g.now += SECOND / 5;
            for (int m = 0; m < 4; m++) {
                g.asks(m, (m + 1 + i % 3) % 4, 0);
            }
        }
        for (int m = 0; m < 4; m++) {
            assertThat(g.leases[m].share(g.clock(m))).isEqualTo(0.25);
        }
    }

    @Test
    void share_cutOffFromAll_keepsGuaranteedHalf() {
        assertThat(new Group(4, QuotaLeases.InjectedDefect.NONE).leases[0].share(0))
                .isEqualTo(0.125);
        assertThat(new Group(2, QuotaLeases.InjectedDefect.NONE).leases[0].share(0)).isEqualTo(0.5);
    }
}
