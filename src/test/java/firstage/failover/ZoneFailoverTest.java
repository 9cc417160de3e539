package firstage.failover;

import static org.assertj.core.api.Assertions.assertThat;

import firstage.overload.LoadSheddingLevel;
import firstage.overload.OverloadDigest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Three zones with managers and engines, ways between them that break: who leaves which, and who
 * comes back when.
 */
class ZoneFailoverTest {
    private static final long SECOND = 10_000;
    private static final long STEP = 1_000;
    private static final int ZONES = 3;
    private static final int ENGINES = 12;
    private static final long WARM = 5 * SECOND;

    /** After which a manager by itself closes an engine that does not answer. */
    private static final long NOTICES = SECOND;

    private final RandomGenerator chance = RandomGeneratorFactory.of("L64X128MixRandom").create(3);
    private final List<ObservingManager> all = new ArrayList<>();

    /** From a manager's zone to an engine's; and between managers. */
    private final boolean[][] bears = new boolean[ZONES][ZONES];

    private final boolean[][] talks = new boolean[ZONES][ZONES];
    private long now = 100 * SECOND;

    private final class ObservingManager {
        private final String name;
        private final int zone;
        private final LoadSheddingLevel level;
        private final ZoneFailover zones;
        private final Map<Long, Boolean> away = new HashMap<>();
        private final long[] triedAt = new long[ENGINES];
        private final long[] heardAt = new long[ENGINES];
        private final long[] failsSince = new long[ENGINES];
        private final boolean[] closed = new boolean[ENGINES];
        private final List<String> turns = new ArrayList<>();
        private final Map<Integer, Long> turnedAt = new HashMap<>();
        private boolean runs = true;

        private ObservingManager(int number, ZoneFailover.InjectedDefect fault) {
            name = "m" + number;
            zone = number % ZONES;
            level =
                    new LoadSheddingLevel(
                            name,
                            SECOND,
                            (at, band, part) -> {},
                            LoadSheddingLevel.InjectedDefect.NONE);
            zones =
                    new ZoneFailover(
                            name,
                            zone,
                            ZONES,
                            WARM,
                            new ZoneActions() {
                                @Override
                                public void setAvoided(
                                        long engine, boolean keepsAway, boolean restIsOver) {
                                    away.put(engine, keepsAway);
                                    if (restIsOver) {
                                        use((int) engine);
                                    }
                                }

                                @Override
                                public void logZoneState(int which, String state) {
                                    turns.add(which + " " + state);
                                    turnedAt.put(which, now);
                                }
                            },
                            fault);
        }

        private boolean isAway(int engine) {
            return away.getOrDefault((long) engine, false);
        }

        private void use(int engine) {
            triedAt[engine] = now;
            if (bears[zone][engine % ZONES]) {
                heardAt[engine] = now;
                failsSince[engine] = 0;
                closed[engine] = false;
            } else {
                failsSince[engine] = failsSince[engine] == 0 ? now : failsSince[engine];
                closed[engine] |= now - failsSince[engine] >= NOTICES;
            }
        }

        private void step() {
            for (int e = 0; e < ENGINES; e++) {
                // One that it holds closed it tries now and then, as long as nobody keeps it away.
                if (!isAway(e) && (!closed[e] || now - triedAt[e] >= 2 * SECOND)) {
                    use(e);
                }
                zones.updateEngine(e % ZONES, e, closed[e], triedAt[e], heardAt[e]);
            }
            level.setZoneObservations(zone, zones.reportedPercent(now), zones.ordersToSend());
            zones.evaluate(now, level.freshRows(now));
        }

        private int used(int which) {
            int n = 0;
            for (int e = 0; e < ENGINES; e++) {
                n += e % ZONES == which && !isAway(e) ? 1 : 0;
            }
            return n;
        }
    }

    private void fleet(int managers, ZoneFailover.InjectedDefect fault) {
        for (int m = 0; m < managers; m++) {
            all.add(new ObservingManager(m, fault));
        }
        List<String> names = all.stream().map(o -> o.name).toList();
        all.forEach(
                o -> {
                    o.level.onViewChanged(names);
                    o.zones.onViewChanged(names);
                });
        for (int from = 0; from < ZONES; from++) {
            for (int to = 0; to < ZONES; to++) {
                bears[from][to] = true;
                talks[from][to] = true;
            }
        }
    }

    private void engines(int zone, boolean well) {
        for (int from = 0; from < ZONES; from++) {
            bears[from][zone] = well;
        }
    }

    private void pass(double seconds) {
        for (long until = now + (long) (seconds * SECOND); now < until; now += STEP) {
            all.stream().filter(o -> o.runs).forEach(ObservingManager::step);
            if (now / STEP % 2 == 0) {
                for (ObservingManager o : all) {
                    ObservingManager other = all.get(chance.nextInt(all.size()));
                    if (other != o && o.runs && other.runs && talks[o.zone][other.zone]) {
                        other.level.onRows(
                                now,
                                OverloadDigest.decode(
                                                OverloadDigest.encode(
                                                        List.of(), o.level.rowsToSend(now, 20)))
                                        .rows());
                        o.level.onRows(
                                now,
                                OverloadDigest.decode(
                                                OverloadDigest.encode(
                                                        List.of(), other.level.rowsToSend(now, 20)))
                                        .rows());
                    }
                }
            }
        }
    }

    private long leavings() {
        return all.stream()
                .mapToLong(o -> o.turns.stream().filter(t -> t.endsWith(" evacuated")).count())
                .max()
                .orElse(0);
    }

    /** Soon, by all in nearly the same moment, with a manager that goes on trying each engine. */
    @Test
    void evaluate_zoneDies_evacuatedThenReturnInSteps() {
        fleet(24, ZoneFailover.InjectedDefect.NONE);
        pass(10);
        engines(1, false);
        long died = now;
        pass(5);
        assertThat(all).allMatch(o -> o.zones.evacuatedZones().equals(List.of(1)));
        assertThat(all.stream().mapToLong(o -> o.turnedAt.get(1) - died))
                .allMatch(t -> t <= 2.5 * SECOND);
        long first = all.stream().mapToLong(o -> o.turnedAt.get(1)).min().orElse(0);
        assertThat(all.stream().mapToLong(o -> o.turnedAt.get(1) - first))
                .allMatch(t -> t <= 0.7 * SECOND);
        assertThat(all.stream().mapToInt(o -> o.used(1)).sum()).isEqualTo(ENGINES / ZONES);
        assertThat(all).allMatch(o -> o.used(0) + o.used(2) == 2 * ENGINES / ZONES);
        pass(10);
        engines(1, true);
        // How many managers use all of it, second by second: it grows over the time that engines
        // take to warm up.
        Set<Integer> seen = new HashSet<>();
        for (int s = 0; s < 15; s++) {
            pass(1);
            seen.add((int) all.stream().filter(o -> o.used(1) == ENGINES / ZONES).count());
        }
        assertThat(seen).hasSizeGreaterThan(4);
        assertThat(all)
                .allMatch(o -> o.zones.evacuatedZones().isEmpty() && o.used(1) == ENGINES / ZONES);
    }

    @Test
    void evaluate_cutBetweenTwoZones_noEvacuation() {
        fleet(12, ZoneFailover.InjectedDefect.NONE);
        pass(5);
        bears[0][2] = false;
        talks[0][2] = false;
        pass(3);
        bears[2][0] = false;
        talks[2][0] = false;
        pass(20);
        assertThat(all).allMatch(o -> o.turns.isEmpty());
    }

    /** Engines of it are alive inside: those outside leave, those inside go on. */
    @Test
    void evaluate_zoneCutOff_servesItself() {
        fleet(12, ZoneFailover.InjectedDefect.NONE);
        pass(5);
        for (int z = 0; z < 2; z++) {
            bears[z][2] = false;
            bears[2][z] = false;
            talks[z][2] = false;
            talks[2][z] = false;
        }
        pass(10);
        assertThat(all)
                .allMatch(
                        o ->
                                o.zone == 2
                                        ? !o.zones.evacuatedZones().contains(2)
                                        : o.zones.evacuatedZones().equals(List.of(2)));
    }

    @Test
    void evaluate_allZonesFail_noEvacuation() {
        fleet(12, ZoneFailover.InjectedDefect.NONE);
        pass(5);
        for (int z = 0; z < ZONES; z++) {
            engines(z, false);
        }
        pass(20);
        assertThat(all).allMatch(o -> o.turns.isEmpty());
    }

    @Test
    void evaluate_twoOfThreeZonesFail_lastStays() {
        fleet(12, ZoneFailover.InjectedDefect.NONE);
        pass(5);
        engines(0, false);
        engines(1, false);
        pass(10);
        assertThat(all)
                .allMatch(
                        o ->
                                o.zones.evacuatedZones().equals(List.of(0, 1))
                                        && o.used(2) == ENGINES / ZONES);
        engines(2, false);
        pass(10);
        assertThat(all).allMatch(o -> o.used(2) == ENGINES / ZONES);
    }

    @Test
    void evaluate_zoneFlaps_heldOutLonger() {
        fleet(12, ZoneFailover.InjectedDefect.NONE);
        pass(5);
        for (int s = 0; s < 120; s += 3) {
            engines(1, s / 3 % 2 == 1);
            pass(3);
        }
        assertThat(leavings()).isBetween(1L, 4L);
        engines(1, true);
        pass(90);
        assertThat(all).allMatch(o -> o.zones.evacuatedZones().isEmpty());
    }

    /** A release takes a third of its engines, a rack half: that is no zone. */
    @Test
    void evaluate_someEnginesFail_noEvacuation() {
        fleet(12, ZoneFailover.InjectedDefect.NONE);
        pass(5);
        all.forEach(
                o -> {
                    o.closed[1] = true;
                    o.closed[4] = true;
                    o.triedAt[1] = now + 30 * SECOND;
                    o.triedAt[4] = now + 30 * SECOND;
                });
        pass(20);
        assertThat(all).allMatch(o -> o.turns.isEmpty());
    }

    /**
     * All managers of two zones stood still; on waking they hold all engines of the third for
     * closed.
     */
    private void paused() {
        pass(5);
        List<ObservingManager> still = all.stream().filter(o -> o.zone != 2).toList();
        still.forEach(o -> o.runs = false);
        pass(3);
        still.forEach(
                o -> {
                    o.runs = true;
                    for (int e = 2; e < ENGINES; e += ZONES) {
                        o.closed[e] = true;
                        o.triedAt[e] = now - SECOND / 2;
                    }
                });
        pass(1.4);
    }

    @Test
    void evaluate_pausedManager_reportsNothing() {
        fleet(12, ZoneFailover.InjectedDefect.NONE);
        paused();
        assertThat(all).allMatch(o -> o.turns.isEmpty());
    }

    /** Told to one, known to all, also to the one when it starts anew; and taken back. */
    @Test
    void setOrder_managerRestarts_orderKeptByAll() {
        fleet(12, ZoneFailover.InjectedDefect.NONE);
        pass(5);
        all.get(4).zones.setOrder(now, 2, ZoneFailover.Order.LEAVE);
        pass(3);
        assertThat(all).allMatch(o -> o.zones.evacuatedZones().equals(List.of(2)));
        restart(4, ZoneFailover.InjectedDefect.NONE);
        pass(3);
        assertThat(all).allMatch(o -> o.zones.evacuatedZones().equals(List.of(2)));
        pass(30);
        assertThat(all).allMatch(o -> o.zones.evacuatedZones().equals(List.of(2)));
        all.get(7).zones.setOrder(now, 2, ZoneFailover.Order.HOLD);
        pass(15);
        assertThat(all).allMatch(o -> o.zones.evacuatedZones().isEmpty());
        engines(2, false);
        pass(20);
        assertThat(all).allMatch(o -> o.zones.evacuatedZones().isEmpty());
        all.get(1).zones.setOrder(now, 2, ZoneFailover.Order.NONE);
        pass(5);
        assertThat(all).allMatch(o -> o.zones.evacuatedZones().equals(List.of(2)));
    }

    private void restart(int number, ZoneFailover.InjectedDefect fault) {
        all.set(number, new ObservingManager(number, fault));
        List<String> names = all.stream().map(o -> o.name).toList();
        all.get(number).level.onViewChanged(names);
        all.get(number).zones.onViewChanged(names);
    }

    @ParameterizedTest
    @EnumSource(
            value = ZoneFailover.InjectedDefect.class,
            mode = EnumSource.Mode.EXCLUDE,
            names = "NONE")
    void evaluate_injectedDefect_isFound(ZoneFailover.InjectedDefect fault) {
        fleet(12, fault);
        if (fault == ZoneFailover.InjectedDefect.STILL_COUNTS) {
            paused();
            assertThat(all).anyMatch(o -> !o.turns.isEmpty());
            return;
        }
        pass(5);
        switch (fault) {
            case ONE_IS_ENOUGH -> {
                bears[0][2] = false;
                pass(10);
                assertThat(all).anyMatch(o -> !o.turns.isEmpty());
            }
            case ALL_MAY_GO -> {
                for (int z = 0; z < ZONES; z++) {
                    engines(z, false);
                }
                pass(10);
                assertThat(all).anyMatch(o -> o.zones.evacuatedZones().size() == ZONES);
            }
            case NO_HOLD -> {
                for (int s = 0; s < 120; s += 3) {
                    engines(1, s / 3 % 2 == 1);
                    pass(3);
                }
                assertThat(leavings()).isGreaterThan(4);
            }
            case ORDER_FORGOTTEN -> {
                all.get(4).zones.setOrder(now, 2, ZoneFailover.Order.LEAVE);
                pass(3);
                restart(4, fault);
                pass(3);
                assertThat(all).anyMatch(o -> o.zones.evacuatedZones().isEmpty());
            }
            case NOBODY_TRIES -> {
                engines(1, false);
                pass(10);
                engines(1, true);
                pass(30);
                assertThat(all).anyMatch(o -> !o.zones.evacuatedZones().isEmpty());
            }
            default -> {
                engines(1, false);
                pass(10);
                engines(1, true);
                Set<Integer> seen = new HashSet<>();
                for (int s = 0; s < 20; s++) {
                    pass(1);
                    seen.add((int) all.stream().filter(o -> o.used(1) == ENGINES / ZONES).count());
                }
                assertThat(seen).hasSizeLessThan(5);
            }
        }
    }
}
