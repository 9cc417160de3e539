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
 * Tests that the shares in use never add up to more than the whole: in every order of a few events
 * among three managers, and in long random schedules among more.
 */
class QuotaLeasesTest {
    private static final long SECOND = 10_000;
    private static final long PERIOD = 2_000;

    /**
     * Group of managers, each reduced to its leases and its own clock, which is fast or slow by up
     * to 2.5 %.
     */
    private static final class LeaseGroup {
        private final int managerCount;
        private final QuotaLeases.InjectedDefect defect;
        private final QuotaLeases[] leases;
        private final boolean[] mayHaveWithdrawn;
        private final double[] clockRate;
        private long now = 100 * SECOND;

        private LeaseGroup(int managerCount, QuotaLeases.InjectedDefect defect) {
            this.managerCount = managerCount;
            this.defect = defect;
            leases = new QuotaLeases[managerCount];
            mayHaveWithdrawn = new boolean[managerCount];
            clockRate = new double[managerCount];
            for (int m = 0; m < managerCount; m++) {
                clockRate[m] = 1 + (m % 3 - 1) / 40.0;
                start(m);
            }
        }

        private void start(int m) {
            leases[m] =
                    new QuotaLeases(
                            managerCount,
                            PERIOD,
                            mayHaveWithdrawn[m],
                            () -> {
                                mayHaveWithdrawn[m] = true;
                            },
                            defect);
            leases[m].setUnreachable(clock(m), "nobody", false);
        }

        private long clock(int m) {
            return (long) (now * clockRate[m]);
        }

        /**
         * Delivers an ack now to a ping that the requester sent {@code delay} ticks ago by its own
         * clock.
         */
        private void deliverAck(int requester, int responder, long delay) {
            leases[responder].onWithdrawalMarkStored();
            long requestedAt = clock(requester) - delay;
            leases[requester].onResponse(
                    clock(requester),
                    requestedAt,
                    "m" + responder,
                    leases[responder].tryGrant(clock(responder), "m" + requester),
                    leases[responder].withdrawGrants(clock(responder)));
        }

        /** Sets whether all others consider the manager unreachable. */
        private void setUnreachableForOthers(int target, boolean unreachable) {
            for (int m = 0; m < managerCount; m++) {
                if (m != target) {
                    leases[m].setUnreachable(clock(m), "m" + target, unreachable);
                }
            }
        }

        private double totalShare() {
            double sum = 0;
            for (int m = 0; m < managerCount; m++) {
                sum += leases[m].share(clock(m));
            }
            return sum;
        }
    }

    private static void applyEvent(LeaseGroup group, int event) {
        switch (event) {
            case 0 -> group.now += 4 * SECOND;
            case 1 -> group.deliverAck(0, 1, 0);
            case 2 -> group.deliverAck(1, 2, 0);
            case 3 -> group.deliverAck(2, 0, 0);
            case 4 -> group.deliverAck(1, 0, 0);
            case 5 -> group.setUnreachableForOthers(2, true);
            case 6 -> group.setUnreachableForOthers(2, false);
            default -> group.start(1);
        }
    }

    /**
     * Returns the maximum total share in any order of {@code depth} events, which follow an ack to
     * each manager.
     */
    private static double maxShareInAllOrders(int depth, QuotaLeases.InjectedDefect defect) {
        return IntStream.range(0, 1 << 3 * depth)
                .parallel()
                .mapToDouble(
                        order -> {
                            double max = 0;
                            LeaseGroup group = new LeaseGroup(3, defect);
                            for (int m = 0; m < 3; m++) {
                                group.deliverAck(m, (m + 1) % 3, 0);
                            }
                            for (int i = 0; i < depth; i++) {
                                applyEvent(group, order >> 3 * i & 7);
                                max = Math.max(max, group.totalShare());
                            }
                            return max;
                        })
                .max()
                .orElse(0);
    }

    /** A depth of 8 (-Dfirstage.leases=8) takes several minutes. */
    @Test
    void share_anyOrderOfSixEvents_atMostTheWhole() {
        assertThat(
                        maxShareInAllOrders(
                                Integer.getInteger("firstage.leases", 6),
                                QuotaLeases.InjectedDefect.NONE))
                .isLessThanOrEqualTo(1 + 1e-9);
    }

    /**
     * Returns the maximum total share in a random schedule of three to nine managers with lost and
     * late acks, cuts and restarts.
     */
    private static double maxShareInRandomSchedule(long seed, QuotaLeases.InjectedDefect defect) {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        LeaseGroup group = new LeaseGroup(3 + random.nextInt(7), defect);
        List<Runnable> delayedAcks = new ArrayList<>();
        double max = 0;
        int cutOff = random.nextInt(group.managerCount);
        for (int step = 0; step < 600; step++) {
            group.now +=
                    random.nextInt(4) == 0
                            ? random.nextLong(2 * SECOND)
                            : random.nextLong(SECOND / 10);
            int requester = random.nextInt(group.managerCount);
            int responder =
                    (requester + 1 + random.nextInt(group.managerCount - 1)) % group.managerCount;
            switch (random.nextInt(12)) {
                case 0 -> {
                    cutOff = random.nextInt(group.managerCount);
                    group.setUnreachableForOthers(cutOff, random.nextBoolean());
                }
                case 1 -> group.setUnreachableForOthers(cutOff, false);
                case 2 -> {
                    if (random.nextInt(4) == 0) {
                        group.start(requester);
                    }
                }
                case 3 -> {
                    // The ack is sent now, but delivered later.
                    boolean grantsQuota =
                            group.leases[responder].tryGrant(
                                    group.clock(responder), "m" + requester);
                    List<String> withdrawn =
                            group.leases[responder].withdrawGrants(group.clock(responder));
                    long requestedAt = group.clock(requester);
                    delayedAcks.add(
                            () ->
                                    group.leases[requester].onResponse(
                                            group.clock(requester),
                                            requestedAt,
                                            "m" + responder,
                                            grantsQuota,
                                            withdrawn));
                }
                case 4 -> {
                    if (!delayedAcks.isEmpty()) {
                        delayedAcks.remove(random.nextInt(delayedAcks.size())).run();
                    }
                }
                default -> {
                    if (requester != cutOff && responder != cutOff || random.nextInt(6) == 0) {
                        group.deliverAck(
                                requester,
                                responder,
                                random.nextInt(3) == 0 ? random.nextLong(SECOND) : 0);
                    }
                }
            }
            max = Math.max(max, group.totalShare());
        }
        return max;
    }

    private static double maxShareOverSeeds(int seeds, QuotaLeases.InjectedDefect defect) {
        double max = 0;
        for (long seed = 0; seed < seeds; seed++) {
            max = Math.max(max, maxShareInRandomSchedule(seed, defect));
        }
        return max;
    }

    @Test
    void share_randomSchedules_atMostTheWhole() {
        assertThat(maxShareOverSeeds(3_000, QuotaLeases.InjectedDefect.NONE))
                .isLessThanOrEqualTo(1 + 1e-9);
    }

    @ParameterizedTest
    @EnumSource(
            value = QuotaLeases.InjectedDefect.class,
            mode = EnumSource.Mode.EXCLUDE,
            names = "NONE")
    void share_injectedDefect_exceedsTheWhole(QuotaLeases.InjectedDefect defect) {
        assertThat(maxShareOverSeeds(3_000, defect)).isGreaterThan(1 + 1e-9);
    }

    @Test
    void share_deadMember_halfGoesToOthersAndBack() {
        LeaseGroup group = new LeaseGroup(4, QuotaLeases.InjectedDefect.NONE);
        for (int i = 0; i < 200; i++) {
            group.now += SECOND / 5;
            for (int m = 0; m < 3; m++) {
                group.deliverAck(m, (m + 1 + i % 2) % 3, 0);
            }
            group.setUnreachableForOthers(3, true);
        }
        assertThat(group.leases[0].share(group.clock(0))).isGreaterThan(0.29);
        group.setUnreachableForOthers(3, false);
        for (int i = 0; i < 50; i++) {
            group.now += SECOND / 5;
            for (int m = 0; m < 4; m++) {
                group.deliverAck(m, (m + 1 + i % 3) % 4, 0);
            }
        }
        for (int m = 0; m < 4; m++) {
            assertThat(group.leases[m].share(group.clock(m))).isEqualTo(0.25);
        }
    }

    @Test
    void share_cutOffFromAll_keepsGuaranteedHalf() {
        assertThat(new LeaseGroup(4, QuotaLeases.InjectedDefect.NONE).leases[0].share(0))
                .isEqualTo(0.125);
        assertThat(new LeaseGroup(2, QuotaLeases.InjectedDefect.NONE).leases[0].share(0))
                .isEqualTo(0.5);
    }
}
