package firstage.simulation.schedule;

import firstage.policy.api.Deployment;
import firstage.policy.api.EndpointUpdate;
import firstage.policy.api.TrafficClass;
import firstage.policy.api.TrafficClass.Effect;
import firstage.policy.api.TrafficClass.Scope;
import firstage.simulation.EventQueue;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * One seeded schedule: a few engines, a dozen batches of two keys, and what goes wrong among them.
 * The same seed plays the same schedule. Batches of one key are written as far apart as clients
 * promise: 60 ms, 250 ms after one on a new connection.
 */
public final class FaultSchedule {
    private static final long SECOND = 10_000;
    private static final long START = 100 * SECOND;
    private static final long GAP = 600;
    private static final long GAP_NEW = 2_500;
    private static final long LIMIT = 5 * SECOND;
    private static final int KEYS = 2;
    private static final double[] ROUGHNESS = {0, 0.02, 0.1, 0.3};

    private FaultSchedule() {}

    /** What broke, in words; empty where all rules held and all tables are empty at the end. */
    public static List<String> play(long seed, InjectedDefect fault) {
        RandomGenerator chance = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        EventQueue calendar = new EventQueue(START);
        ScheduleRuleChecker check = new ScheduleRuleChecker();
        int count = 1 + chance.nextInt(3);
        List<SimulatedEngine> engines = new ArrayList<>();
        for (int e = 0; e < count; e++) {
            engines.add(new SimulatedEngine(calendar, check, chance));
        }
        Deployment deployment = deployment(chance);
        double roughness = ROUGHNESS[chance.nextInt(ROUGHNESS.length)];
        boolean stalls = chance.nextBoolean();
        Supplier<SimulatedManager> starts =
                () -> {
                    SimulatedManager next =
                            new SimulatedManager(
                                    calendar,
                                    chance,
                                    check,
                                    fault,
                                    deployment,
                                    engines,
                                    roughness,
                                    stalls);
                    next.knows(count);
                    return next;
                };
        SimulatedManager[] up = {starts.get()};
        traffic(chance, calendar, check, up);
        troubles(chance, calendar, up, engines);
        restarts(chance, calendar, check, up, starts);
        calendar.play(START + 20 * SECOND);
        check.close(calendar.now());
        up[0].close();
        return check.broken();
    }

    /** Killed, and up again at once with a burst of what came meanwhile; or told to end. */
    private static void restarts(
            RandomGenerator chance,
            EventQueue calendar,
            ScheduleRuleChecker check,
            SimulatedManager[] up,
            Supplier<SimulatedManager> starts) {
        long at = chance.nextLong(4 * SECOND);
        switch (chance.nextInt(5)) {
            case 0 ->
                    calendar.in(
                            at,
                            () -> {
                                up[0].die();
                                check.killed();
                                up[0] = starts.get();
                                up[0].thread().standStill(chance.nextLong(SECOND));
                            });
            case 1 -> calendar.in(at, () -> up[0].closes(calendar.now() + 3 * SECOND));
            case 2 -> calendar.in(at, () -> up[0].listedAnew());
            default -> {}
        }
    }

    private static Deployment deployment(RandomGenerator chance) {
        boolean copies = chance.nextBoolean();
        List<TrafficClass> groups =
                List.of(
                        group(Effect.IDEMPOTENT, false, 1),
                        group(Effect.NON_IDEMPOTENT, true, 2),
                        group(Effect.IDEMPOTENT, true, 1));
        return new Deployment(
                chance.nextLong(),
                1,
                0,
                0,
                groups,
                List.of(new Deployment.MachineType(8, 16_000)),
                List.of(),
                new Deployment.Capabilities(
                        chance.nextBoolean(), copies, true, true, true, 4, 2 * SECOND),
                new Deployment.Rules(
                        0, 0, 0, 2 * SECOND, chance.nextBoolean() ? 0 : SECOND / 2, -1, 0, SECOND),
                0.5,
                SECOND / 2,
                false,
                false,
                -1,
                true,
                false);
    }

    private static TrafficClass group(Effect effect, boolean ordered, int threads) {
        return new TrafficClass(
                2 * SECOND,
                2,
                LIMIT,
                ordered ? 8 : 1,
                0.5,
                effect,
                Scope.ALL,
                6 * SECOND,
                ordered,
                threads,
                false,
                false,
                Set.of(),
                Set.of());
    }

    private static void traffic(
            RandomGenerator chance,
            EventQueue calendar,
            ScheduleRuleChecker check,
            SimulatedManager[] up) {
        int batch = 0;
        for (int key = 0; key < KEYS; key++) {
            long at = chance.nextLong(SECOND);
            int many = 3 + chance.nextInt(5);
            int group = 1 + chance.nextInt(2);
            for (int i = 0; i < many; i++) {
                boolean fresh = chance.nextInt(3) == 0;
                comes(chance, calendar, check, up, batch++, group, key, at, fresh);
                long gap = fresh ? GAP_NEW : GAP;
                at += chance.nextBoolean() ? gap : gap + chance.nextLong(SECOND / 2);
            }
        }
        for (int i = 0; i < 4; i++) {
            comes(
                    chance,
                    calendar,
                    check,
                    up,
                    batch++,
                    0,
                    -1,
                    chance.nextLong(4 * SECOND),
                    chance.nextBoolean());
        }
    }

    private static void comes(
            RandomGenerator chance,
            EventQueue calendar,
            ScheduleRuleChecker check,
            SimulatedManager[] up,
            int batch,
            int group,
            int key,
            long at,
            boolean fresh) {
        long limit = START + at + SECOND / 2 + chance.nextLong(LIMIT);
        long runs = 50 + chance.nextLong(chance.nextInt(4) == 0 ? SECOND * 3 : SECOND / 4);
        SimulatedManager.Taken b = new SimulatedManager.Taken(batch, group, key, limit, runs);
        calendar.in(
                at,
                () -> {
                    check.came(calendar.now(), batch, key, group == 1, limit);
                    up[0].comes(b, fresh);
                });
        if (chance.nextInt(10) == 0) {
            calendar.in(at + chance.nextLong(SECOND), () -> up[0].leaves(b));
        }
    }

    private static void troubles(
            RandomGenerator chance,
            EventQueue calendar,
            SimulatedManager[] up,
            List<SimulatedEngine> engines) {
        int stalls = chance.nextInt(4);
        for (int i = 0; i < stalls; i++) {
            calendar.in(
                    chance.nextLong(4 * SECOND),
                    () -> up[0].thread().standStill(500 + chance.nextLong(SECOND)));
        }
        for (int e = 0; e < engines.size(); e++) {
            int which = e;
            SimulatedEngine engine = engines.get(e);
            long at = chance.nextLong(4 * SECOND);
            switch (chance.nextInt(6)) {
                case 0 -> {
                    calendar.in(at, () -> engine.becomes(SimulatedEngine.Standing.DOWN));
                    calendar.in(
                            at + chance.nextLong(2 * SECOND),
                            () -> engine.becomes(SimulatedEngine.Standing.UP));
                }
                case 1 -> {
                    calendar.in(at, () -> engine.becomes(SimulatedEngine.Standing.MUTE));
                    calendar.in(
                            at + chance.nextLong(4 * SECOND),
                            () -> engine.becomes(SimulatedEngine.Standing.UP));
                }
                case 2 -> {
                    calendar.in(at, () -> engine.becomes(SimulatedEngine.Standing.DRAINING));
                    calendar.in(
                            at + chance.nextLong(SECOND),
                            () -> up[0].listed(which, EndpointUpdate.Lifecycle.DRAINING));
                }
                default -> {}
            }
        }
    }
}
