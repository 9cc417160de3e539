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
 * Tests zone failover with three zones of managers and engines, and with failing links between
 * them: which managers evacuate which zone, and when they return. Times are in ticks.
 */
class ZoneFailoverTest {
    private static final long SECOND = 10_000;

    /** Interval at which the simulation evaluates all managers: 0.1 s. */
    private static final long STEP = 1_000;

    private static final int ZONES = 3;
    private static final int ENGINES = 12;
    private static final long WARM_UP = 5 * SECOND;

    /** Time after which a manager ejects an engine that does not respond. */
    private static final long EJECTION_DELAY = SECOND;

    private final RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(3);
    private final List<ObservingManager> managers = new ArrayList<>();

    /** Whether managers of a zone (first index) reach the engines of a zone (second index). */
    private final boolean[][] reachesEngines = new boolean[ZONES][ZONES];

    /** Whether managers of two zones reach each other. */
    private final boolean[][] reachesManagers = new boolean[ZONES][ZONES];

    private long now = 100 * SECOND;

    private final class ObservingManager {
        private final String name;
        private final int zone;
        private final LoadSheddingLevel sheddingLevel;
        private final ZoneFailover zoneFailover;
        private final Map<Long, Boolean> avoidedEngines = new HashMap<>();
        private final long[] lastAttemptAt = new long[ENGINES];
        private final long[] lastResponseAt = new long[ENGINES];
        private final long[] failingSince = new long[ENGINES];
        private final boolean[] ejected = new boolean[ENGINES];
        private final List<String> transitions = new ArrayList<>();
        private final Map<Integer, Long> lastTransitionAt = new HashMap<>();
        private boolean running = true;

        private ObservingManager(int number, ZoneFailover.InjectedDefect defect) {
            name = "m" + number;
            zone = number % ZONES;
            sheddingLevel =
                    new LoadSheddingLevel(
                            name,
                            SECOND,
                            (at, band, part) -> {},
                            LoadSheddingLevel.InjectedDefect.NONE);
            zoneFailover =
                    new ZoneFailover(
                            name,
                            zone,
                            ZONES,
                            WARM_UP,
                            new ZoneActions() {
                                @Override
                                public void setAvoided(
                                        long engine, boolean avoided, boolean backoffOver) {
                                    avoidedEngines.put(engine, avoided);
                                    if (backoffOver) {
                                        sendRequest((int) engine);
                                    }
                                }

                                @Override
                                public void logZoneState(int changedZone, String state) {
                                    transitions.add(changedZone + " " + state);
                                    lastTransitionAt.put(changedZone, now);
                                }
                            },
                            defect);
        }

        private boolean isAvoided(int engine) {
            return avoidedEngines.getOrDefault((long) engine, false);
        }

        private void sendRequest(int engine) {
            lastAttemptAt[engine] = now;
            if (reachesEngines[zone][engine % ZONES]) {
                lastResponseAt[engine] = now;
                failingSince[engine] = 0;
                ejected[engine] = false;
            } else {
                failingSince[engine] = failingSince[engine] == 0 ? now : failingSince[engine];
                ejected[engine] |= now - failingSince[engine] >= EJECTION_DELAY;
            }
        }

        private void step() {
            for (int engine = 0; engine < ENGINES; engine++) {
                // An ejected engine that this manager does not avoid is probed every two seconds.
                if (!isAvoided(engine)
                        && (!ejected[engine] || now - lastAttemptAt[engine] >= 2 * SECOND)) {
                    sendRequest(engine);
                }
                zoneFailover.updateEngine(
                        engine % ZONES,
                        engine,
                        ejected[engine],
                        lastAttemptAt[engine],
                        lastResponseAt[engine]);
            }
            sheddingLevel.setZoneObservations(
                    zone, zoneFailover.reportedPercent(now), zoneFailover.ordersToSend());
            zoneFailover.evaluate(now, sheddingLevel.freshRows(now));
        }

        private int usableEngines(int targetZone) {
            int count = 0;
            for (int engine = 0; engine < ENGINES; engine++) {
                count += engine % ZONES == targetZone && !isAvoided(engine) ? 1 : 0;
            }
            return count;
        }
    }

    private void startFleet(int managerCount, ZoneFailover.InjectedDefect defect) {
        for (int number = 0; number < managerCount; number++) {
            managers.add(new ObservingManager(number, defect));
        }
        List<String> names = managers.stream().map(manager -> manager.name).toList();
        managers.forEach(
                manager -> {
                    manager.sheddingLevel.onViewChanged(names);
                    manager.zoneFailover.onViewChanged(names);
                });
        for (int from = 0; from < ZONES; from++) {
            for (int to = 0; to < ZONES; to++) {
                reachesEngines[from][to] = true;
                reachesManagers[from][to] = true;
            }
        }
    }

    private void setEnginesHealthy(int zone, boolean healthy) {
        for (int from = 0; from < ZONES; from++) {
            reachesEngines[from][zone] = healthy;
        }
    }

    private void advance(double seconds) {
        for (long until = now + (long) (seconds * SECOND); now < until; now += STEP) {
            managers.stream().filter(manager -> manager.running).forEach(ObservingManager::step);
            if (now / STEP % 2 == 0) {
                for (ObservingManager manager : managers) {
                    ObservingManager peer = managers.get(random.nextInt(managers.size()));
                    if (peer != manager
                            && manager.running
                            && peer.running
                            && reachesManagers[manager.zone][peer.zone]) {
                        peer.sheddingLevel.onRows(
                                now,
                                OverloadDigest.decode(
                                                OverloadDigest.encode(
                                                        List.of(),
                                                        manager.sheddingLevel.rowsToSend(now, 20)))
                                        .rows());
                        manager.sheddingLevel.onRows(
                                now,
                                OverloadDigest.decode(
                                                OverloadDigest.encode(
                                                        List.of(),
                                                        peer.sheddingLevel.rowsToSend(now, 20)))
                                        .rows());
                    }
                }
            }
        }
    }

    private long maxEvacuations() {
        return managers.stream()
                .mapToLong(
                        manager ->
                                manager.transitions.stream()
                                        .filter(t -> t.endsWith(" evacuated"))
                                        .count())
                .max()
                .orElse(0);
    }

    /**
     * All managers evacuate the zone within 2.5 s of its failure and within 0.7 s of each other,
     * and one manager keeps probing each engine.
     */
    @Test
    void evaluate_zoneDies_evacuatedThenReturnInSteps() {
        startFleet(24, ZoneFailover.InjectedDefect.NONE);
        advance(10);
        setEnginesHealthy(1, false);
        long failedAt = now;
        advance(5);
        assertThat(managers)
                .allMatch(manager -> manager.zoneFailover.evacuatedZones().equals(List.of(1)));
        assertThat(
                        managers.stream()
                                .mapToLong(manager -> manager.lastTransitionAt.get(1) - failedAt))
                .allMatch(t -> t <= 2.5 * SECOND);
        long firstEvacuationAt =
                managers.stream()
                        .mapToLong(manager -> manager.lastTransitionAt.get(1))
                        .min()
                        .orElse(0);
        assertThat(
                        managers.stream()
                                .mapToLong(
                                        manager ->
                                                manager.lastTransitionAt.get(1)
                                                        - firstEvacuationAt))
                .allMatch(t -> t <= 0.7 * SECOND);
        assertThat(managers.stream().mapToInt(manager -> manager.usableEngines(1)).sum())
                .isEqualTo(ENGINES / ZONES);
        assertThat(managers)
                .allMatch(
                        manager ->
                                manager.usableEngines(0) + manager.usableEngines(2)
                                        == 2 * ENGINES / ZONES);
        advance(10);
        setEnginesHealthy(1, true);
        // The number of managers that use the whole zone, taken once a second, grows over the time
        // that engines take to warm up.
        Set<Integer> counts = new HashSet<>();
        for (int second = 0; second < 15; second++) {
            advance(1);
            counts.add(
                    (int)
                            managers.stream()
                                    .filter(manager -> manager.usableEngines(1) == ENGINES / ZONES)
                                    .count());
        }
        assertThat(counts).hasSizeGreaterThan(4);
        assertThat(managers)
                .allMatch(
                        manager ->
                                manager.zoneFailover.evacuatedZones().isEmpty()
                                        && manager.usableEngines(1) == ENGINES / ZONES);
    }

    @Test
    void evaluate_cutBetweenTwoZones_noEvacuation() {
        startFleet(12, ZoneFailover.InjectedDefect.NONE);
        advance(5);
        reachesEngines[0][2] = false;
        reachesManagers[0][2] = false;
        advance(3);
        reachesEngines[2][0] = false;
        reachesManagers[2][0] = false;
        advance(20);
        assertThat(managers).allMatch(manager -> manager.transitions.isEmpty());
    }

    /**
     * Only managers of the same zone still reach its engines: they keep using the zone, and the
     * managers of the other zones evacuate it.
     */
    @Test
    void evaluate_zoneCutOff_servesItself() {
        startFleet(12, ZoneFailover.InjectedDefect.NONE);
        advance(5);
        for (int otherZone = 0; otherZone < 2; otherZone++) {
            reachesEngines[otherZone][2] = false;
            reachesEngines[2][otherZone] = false;
            reachesManagers[otherZone][2] = false;
            reachesManagers[2][otherZone] = false;
        }
        advance(10);
        assertThat(managers)
                .allMatch(
                        manager ->
                                manager.zone == 2
                                        ? !manager.zoneFailover.evacuatedZones().contains(2)
                                        : manager.zoneFailover.evacuatedZones().equals(List.of(2)));
    }

    @Test
    void evaluate_allZonesFail_noEvacuation() {
        startFleet(12, ZoneFailover.InjectedDefect.NONE);
        advance(5);
        for (int z = 0; z < ZONES; z++) {
            setEnginesHealthy(z, false);
        }
        advance(20);
        assertThat(managers).allMatch(manager -> manager.transitions.isEmpty());
    }

    @Test
    void evaluate_twoOfThreeZonesFail_lastStays() {
        startFleet(12, ZoneFailover.InjectedDefect.NONE);
        advance(5);
        setEnginesHealthy(0, false);
        setEnginesHealthy(1, false);
        advance(10);
        assertThat(managers)
                .allMatch(
                        manager ->
                                manager.zoneFailover.evacuatedZones().equals(List.of(0, 1))
                                        && manager.usableEngines(2) == ENGINES / ZONES);
        setEnginesHealthy(2, false);
        advance(10);
        assertThat(managers).allMatch(manager -> manager.usableEngines(2) == ENGINES / ZONES);
    }

    @Test
    void evaluate_zoneFlaps_evacuatedForLonger() {
        startFleet(12, ZoneFailover.InjectedDefect.NONE);
        advance(5);
        for (int s = 0; s < 120; s += 3) {
            setEnginesHealthy(1, s / 3 % 2 == 1);
            advance(3);
        }
        assertThat(maxEvacuations()).isBetween(1L, 4L);
        setEnginesHealthy(1, true);
        advance(90);
        assertThat(managers).allMatch(manager -> manager.zoneFailover.evacuatedZones().isEmpty());
    }

    /**
     * A release ejects a third of the engines of a zone, and the loss of a rack half of them;
     * neither is a failure of the zone.
     */
    @Test
    void evaluate_someEnginesFail_noEvacuation() {
        startFleet(12, ZoneFailover.InjectedDefect.NONE);
        advance(5);
        managers.forEach(
                manager -> {
                    manager.ejected[1] = true;
                    manager.ejected[4] = true;
                    manager.lastAttemptAt[1] = now + 30 * SECOND;
                    manager.lastAttemptAt[4] = now + 30 * SECOND;
                });
        advance(20);
        assertThat(managers).allMatch(manager -> manager.transitions.isEmpty());
    }

    /**
     * Pauses all managers of two zones; when they resume, they have ejected all engines of the
     * third.
     */
    private void pauseTwoZones() {
        advance(5);
        List<ObservingManager> pausedManagers =
                managers.stream().filter(manager -> manager.zone != 2).toList();
        pausedManagers.forEach(manager -> manager.running = false);
        advance(3);
        pausedManagers.forEach(
                manager -> {
                    manager.running = true;
                    for (int engine = 2; engine < ENGINES; engine += ZONES) {
                        manager.ejected[engine] = true;
                        manager.lastAttemptAt[engine] = now - SECOND / 2;
                    }
                });
        advance(1.4);
    }

    @Test
    void evaluate_pausedManager_reportsNothing() {
        startFleet(12, ZoneFailover.InjectedDefect.NONE);
        pauseTwoZones();
        assertThat(managers).allMatch(manager -> manager.transitions.isEmpty());
    }

    /**
     * An order that one manager received is followed by all, also by that manager after a restart,
     * and can be revoked.
     */
    @Test
    void setOrder_managerRestarts_orderKeptByAll() {
        startFleet(12, ZoneFailover.InjectedDefect.NONE);
        advance(5);
        managers.get(4).zoneFailover.setOrder(now, 2, ZoneFailover.Order.LEAVE);
        advance(3);
        assertThat(managers)
                .allMatch(manager -> manager.zoneFailover.evacuatedZones().equals(List.of(2)));
        restart(4, ZoneFailover.InjectedDefect.NONE);
        advance(3);
        assertThat(managers)
                .allMatch(manager -> manager.zoneFailover.evacuatedZones().equals(List.of(2)));
        advance(30);
        assertThat(managers)
                .allMatch(manager -> manager.zoneFailover.evacuatedZones().equals(List.of(2)));
        managers.get(7).zoneFailover.setOrder(now, 2, ZoneFailover.Order.HOLD);
        advance(15);
        assertThat(managers).allMatch(manager -> manager.zoneFailover.evacuatedZones().isEmpty());
        setEnginesHealthy(2, false);
        advance(20);
        assertThat(managers).allMatch(manager -> manager.zoneFailover.evacuatedZones().isEmpty());
        managers.get(1).zoneFailover.setOrder(now, 2, ZoneFailover.Order.NONE);
        advance(5);
        assertThat(managers)
                .allMatch(manager -> manager.zoneFailover.evacuatedZones().equals(List.of(2)));
    }

    private void restart(int number, ZoneFailover.InjectedDefect defect) {
        managers.set(number, new ObservingManager(number, defect));
        List<String> names = managers.stream().map(manager -> manager.name).toList();
        managers.get(number).sheddingLevel.onViewChanged(names);
        managers.get(number).zoneFailover.onViewChanged(names);
    }

    @ParameterizedTest
    @EnumSource(
            value = ZoneFailover.InjectedDefect.class,
            mode = EnumSource.Mode.EXCLUDE,
            names = "NONE")
    void evaluate_injectedDefect_isFound(ZoneFailover.InjectedDefect defect) {
        startFleet(12, defect);
        if (defect == ZoneFailover.InjectedDefect.STILL_COUNTS) {
            pauseTwoZones();
            assertThat(managers).anyMatch(manager -> !manager.transitions.isEmpty());
            return;
        }
        advance(5);
        switch (defect) {
            case ONE_IS_ENOUGH -> {
                reachesEngines[0][2] = false;
                advance(10);
                assertThat(managers).anyMatch(manager -> !manager.transitions.isEmpty());
            }
            case ALL_MAY_GO -> {
                for (int z = 0; z < ZONES; z++) {
                    setEnginesHealthy(z, false);
                }
                advance(10);
                assertThat(managers)
                        .anyMatch(manager -> manager.zoneFailover.evacuatedZones().size() == ZONES);
            }
            case NO_HOLD -> {
                for (int s = 0; s < 120; s += 3) {
                    setEnginesHealthy(1, s / 3 % 2 == 1);
                    advance(3);
                }
                assertThat(maxEvacuations()).isGreaterThan(4);
            }
            case ORDER_FORGOTTEN -> {
                managers.get(4).zoneFailover.setOrder(now, 2, ZoneFailover.Order.LEAVE);
                advance(3);
                restart(4, defect);
                advance(3);
                assertThat(managers)
                        .anyMatch(manager -> manager.zoneFailover.evacuatedZones().isEmpty());
            }
            case NOBODY_TRIES -> {
                setEnginesHealthy(1, false);
                advance(10);
                setEnginesHealthy(1, true);
                advance(30);
                assertThat(managers)
                        .anyMatch(manager -> !manager.zoneFailover.evacuatedZones().isEmpty());
            }
            default -> {
                setEnginesHealthy(1, false);
                advance(10);
                setEnginesHealthy(1, true);
                Set<Integer> counts = new HashSet<>();
                for (int second = 0; second < 20; second++) {
                    advance(1);
                    counts.add(
                            (int)
                                    managers.stream()
                                            .filter(
                                                    manager ->
                                                            manager.usableEngines(1)
                                                                    == ENGINES / ZONES)
                                            .count());
                }
                assertThat(counts).hasSizeLessThan(5);
            }
        }
    }
}
