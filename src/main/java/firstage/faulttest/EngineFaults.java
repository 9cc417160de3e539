package firstage.faulttest;

import firstage.emulator.EmulatedCoordinator;
import firstage.emulator.EmulatedEngine;
import firstage.emulator.FaultInjectingProxy.EndpointMode;
import firstage.emulator.RealTimeLoop;
import firstage.policy.api.EndpointUpdate.Lifecycle;
import firstage.simulation.EngineModel;
import firstage.simulation.FleetPlan;
import firstage.simulation.RuleChecker;
import firstage.util.Ticks;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.random.RandomGenerator;

/**
 * Takes emulated engines down, drains and restores them, and announces each change through the
 * coordinators.
 */
final class EngineFaults {
    /** Time that an engine is down after its drain. */
    private static final long DOWN_AFTER_DRAIN = Ticks.ofSeconds(1);

    /**
     * Factor by which the removal of an unresponsive engine from the endpoint list takes longer
     * than that of an engine whose process died.
     */
    private static final int SILENCE_DETECTION_FACTOR = 3;

    /** Difference between two ids of an engine. */
    private static final int ID_STEP = 1_000;

    /** Longest silence of a coordinator: the longest delay allowed for endpoint updates. */
    private static final long MAX_SILENCE = Ticks.ofSeconds(7);

    /** Time until which a manager's coordinator sends nothing, by manager. */
    private final long[] silentUntil;

    private final FleetPlan plan;
    private final LoopbackAddresses addresses;
    private final RealTimeLoop loop;
    private final RunClock clock;
    private final RunRecorder recorder;
    private final RuleChecker rules;
    private final List<EmulatedEngine> engines;
    private final List<EmulatedCoordinator> coordinators;
    private final NetworkLinks links;

    /** An update that its coordinator may not have sent yet, and what its sending changes. */
    private record UnsentUpdate(long announcedAt, Runnable action) {}

    /** Updates that may not be sent yet, by manager. */
    private final List<Deque<UnsentUpdate>> unsentUpdates = new ArrayList<>();

    /** Ids under which each engine was listed; the last one is in use. */
    private final List<List<Integer>> listedIds = new ArrayList<>();

    EngineFaults(
            FleetPlan plan,
            LoopbackAddresses addresses,
            RealTimeLoop loop,
            RunClock clock,
            RunRecorder recorder,
            RuleChecker rules,
            List<EmulatedEngine> engines,
            List<EmulatedCoordinator> coordinators,
            NetworkLinks links) {
        this.plan = plan;
        silentUntil = new long[plan.managers().count()];
        this.addresses = addresses;
        this.loop = loop;
        this.clock = clock;
        this.recorder = recorder;
        this.rules = rules;
        this.engines = engines;
        this.coordinators = coordinators;
        this.links = links;
        for (int manager = 0; manager < plan.managers().count(); manager++) {
            unsentUpdates.add(new ArrayDeque<>());
        }
        for (int engine = 0; engine < engines.size(); engine++) {
            listedIds.add(new ArrayList<>(List.of(engine + 1)));
        }
    }

    /**
     * Makes a manager's coordinator send nothing for {@code ticks}.
     *
     * @throws IllegalArgumentException if {@code ticks} exceeds the 7 s by which an endpoint update
     *     may be delayed
     */
    void silenceCoordinator(int manager, long ticks) {
        if (ticks > MAX_SILENCE) {
            throw new IllegalArgumentException(
                    "a coordinator can't be silent for "
                            + ticks
                            + " ticks: endpoint updates may be delayed by 7 s at most");
        }
        coordinators.get(manager).setSilent(true);
        silentUntil[manager] = Math.max(silentUntil[manager], loop.events().now() + ticks);
        loop.events()
                .schedule(
                        ticks,
                        () -> {
                            if (loop.events().now() >= silentUntil[manager]) {
                                coordinators.get(manager).setSilent(false);
                            }
                        });
    }

    /** Ends an engine's process for {@code ticks}: connections are reset, new ones refused. */
    void die(int engine, long ticks, RandomGenerator random) {
        takeDown(engine, EngineModel.State.DOWN, ticks, 1, random);
    }

    /**
     * Makes an engine's machine unreachable for {@code ticks}: nothing is answered and no
     * connection is reset.
     */
    void silence(int engine, long ticks, RandomGenerator random) {
        takeDown(engine, EngineModel.State.SILENT, ticks, SILENCE_DETECTION_FACTOR, random);
    }

    /** Ways in which the endpoint list names an engine again whose process lives. */
    private enum Relisting {
        LATER_START,
        OTHER_ID,
        GONE_THEN_LATER_START,
        DRAINING_THEN_LATER_START,
        SAME_ENTRY
    }

    /**
     * Announces an engine again whose process lives, in a random way.
     *
     * @param absence time for which it is announced as gone or draining before, in some ways
     */
    void relist(int engine, long absence, RandomGenerator random) {
        if (engines.get(engine).model().state() != EngineModel.State.UP) {
            return;
        }
        Relisting way = Relisting.values()[random.nextInt(Relisting.values().length)];
        record(engine, "relisted " + way);
        switch (way) {
            case LATER_START -> announceAgain(engine, loop.events().now(), random);
            case SAME_ENTRY -> announceAgain(engine, 0, random);
            case OTHER_ID -> {
                useNewId(engine);
                announceAgain(engine, loop.events().now(), random);
            }
            case GONE_THEN_LATER_START -> announceAbsence(engine, Lifecycle.GONE, absence, random);
            case DRAINING_THEN_LATER_START ->
                    announceAbsence(engine, Lifecycle.DRAINING, absence, random);
        }
    }

    private void announceAbsence(
            int engine, Lifecycle lifecycle, long absence, RandomGenerator random) {
        long longestDelay = 0;
        for (int manager = 0; manager < coordinators.size(); manager++) {
            int notified = manager;
            long delay = plan.managers().discoveryDelay().drawTime(random);
            longestDelay = Math.max(longestDelay, delay);
            loop.events().schedule(delay, () -> announceTo(notified, engine, lifecycle, 0, true));
        }
        loop.events()
                .schedule(
                        longestDelay + absence,
                        () -> announceAgain(engine, loop.events().now(), random));
    }

    private void announceAgain(int engine, long startedAt, RandomGenerator random) {
        for (int manager = 0; manager < coordinators.size(); manager++) {
            int notified = manager;
            loop.events()
                    .schedule(
                            plan.managers().discoveryDelay().drawTime(random),
                            () -> announceIfUp(notified, engine, startedAt));
        }
    }

    /** Announces an engine as active, unless it went down or drains meanwhile. */
    private void announceIfUp(int manager, int engine, long startedAt) {
        if (engines.get(engine).model().state() == EngineModel.State.UP) {
            announceTo(manager, engine, Lifecycle.ACTIVE, startedAt, true);
        }
    }

    private void useNewId(int engine) {
        List<Integer> ids = listedIds.get(engine);
        ids.add(engine + 1 + ID_STEP * ids.size());
    }

    /**
     * Cuts an engine's machine off, which runs on, and starts another process at its address, which
     * is announced with a later start, with another id, or not at all.
     */
    void replace(int engine, RandomGenerator random) {
        if (engines.get(engine).model().state() != EngineModel.State.UP) {
            return;
        }
        engines.get(engine).replaceProcess();
        int way = random.nextInt(3);
        record(engine, "replaced " + way);
        if (way == 1) {
            useNewId(engine);
        }
        if (way > 0) {
            announceAgain(engine, loop.events().now(), random);
        }
    }

    private void record(int engine, String state) {
        recorder.writeEvent(clock.elapsed(), "engine", "engine", engine, "is", state);
    }

    /** Makes an engine accept statements without making progress for {@code ticks}. */
    void hang(int engine, long ticks) {
        engines.get(engine).setState(EngineModel.State.HANGING);
        loop.events().schedule(ticks, () -> engines.get(engine).setState(EngineModel.State.UP));
    }

    /** Drains an engine for {@code ticks}, then takes it down for a second. */
    void drain(int engine, long ticks, RandomGenerator random) {
        engines.get(engine).setState(EngineModel.State.DRAINING);
        links.setEngineMode(engine, EndpointMode.REFUSING, false);
        announce(engine, Lifecycle.DRAINING, 0, 1, random);
        loop.events()
                .schedule(
                        ticks,
                        () ->
                                takeDown(
                                        engine,
                                        EngineModel.State.DOWN,
                                        DOWN_AFTER_DRAIN,
                                        1,
                                        random));
    }

    private void takeDown(
            int engine,
            EngineModel.State state,
            long ticks,
            int detectionFactor,
            RandomGenerator random) {
        engines.get(engine).setState(state);
        recorder.writeEvent(
                clock.elapsed(),
                "engine",
                "engine",
                engine,
                "is",
                state.name().toLowerCase(Locale.ROOT));
        boolean silent = state == EngineModel.State.SILENT;
        links.setEngineMode(
                engine, silent ? EndpointMode.UNRESPONSIVE : EndpointMode.REFUSING, !silent);
        announce(engine, Lifecycle.GONE, 0, detectionFactor, random);
        loop.events().schedule(ticks, () -> restore(engine, silent, random));
    }

    private void restore(int engine, boolean wasSilent, RandomGenerator random) {
        engines.get(engine).setState(EngineModel.State.UP);
        recorder.writeEvent(clock.elapsed(), "engine", "engine", engine, "is", "up");
        links.setEngineMode(engine, EndpointMode.OPEN, wasSilent);
        announce(engine, Lifecycle.ACTIVE, loop.events().now(), 1, random);
    }

    /** Announces a change to every manager, each after a discovery delay of its own. */
    private void announce(
            int engine,
            Lifecycle lifecycle,
            long startedAt,
            int detectionFactor,
            RandomGenerator random) {
        for (int m = 0; m < coordinators.size(); m++) {
            int manager = m;
            loop.events()
                    .schedule(
                            detectionFactor * plan.managers().discoveryDelay().drawTime(random),
                            () -> announceTo(manager, engine, lifecycle, startedAt, false));
        }
    }

    /**
     * Announces a change to a manager.
     *
     * @param whileUp whether the engine is up, whatever the announcement says; else the removal of
     *     an engine that is up again is not announced
     */
    private void announceTo(
            int manager, int engine, Lifecycle lifecycle, long startedAt, boolean whileUp) {
        boolean restoredMeanwhile =
                !whileUp
                        && lifecycle == Lifecycle.GONE
                        && engines.get(engine).model().state() == EngineModel.State.UP;
        if (restoredMeanwhile) {
            return;
        }
        unsentUpdates
                .get(manager)
                .addLast(
                        new UnsentUpdate(
                                loop.events().now(),
                                () -> {
                                    rules.onEndpointUpdate(
                                            loop.now(),
                                            manager,
                                            engine,
                                            lifecycle == Lifecycle.ACTIVE);
                                    rules.onEngineStartReported(manager, engine, startedAt);
                                }));
        reportSent(manager);
        List<EmulatedCoordinator.ListedEndpoint> records = new ArrayList<>();
        List<Integer> ids = listedIds.get(engine);
        for (int id : ids) {
            // An engine has one id at a time; the earlier ones stay removed.
            boolean current = id == ids.get(ids.size() - 1);
            records.add(
                    new EmulatedCoordinator.ListedEndpoint(
                            id,
                            addresses.engineSeenBy(manager, engine),
                            stateCode(current ? lifecycle : Lifecycle.GONE),
                            plan.zoneOf(engine),
                            startedAt == 0 ? 0 : loop.unixMs(startedAt)));
        }
        coordinators.get(manager).publish(records);
    }

    /**
     * Runs the actions of updates that count as sent, in the order of their announcement: once
     * their coordinator is no longer silent, which another silence may put off, and at the latest 7
     * s after the announcement.
     */
    private void reportSent(int manager) {
        Deque<UnsentUpdate> unsent = unsentUpdates.get(manager);
        while (!unsent.isEmpty()) {
            long sentAt =
                    Math.min(silentUntil[manager], unsent.peekFirst().announcedAt() + MAX_SILENCE);
            if (loop.events().now() < sentAt) {
                loop.events().schedule(sentAt - loop.events().now(), () -> reportSent(manager));
                return;
            }
            unsent.removeFirst().action().run();
        }
    }

    private static int stateCode(Lifecycle lifecycle) {
        return lifecycle == Lifecycle.ACTIVE ? 0 : lifecycle == Lifecycle.DRAINING ? 1 : 2;
    }
}
