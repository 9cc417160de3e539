package firstage.faulttest;

import firstage.emulator.LinkFaults;
import firstage.emulator.LoadGenerator;
import firstage.emulator.RealTimeLoop;
import firstage.simulation.FleetPlan;
import firstage.simulation.FleetPlan.Fault;
import firstage.simulation.RandomStreams;
import java.util.List;
import java.util.Locale;
import java.util.function.BiConsumer;
import java.util.function.IntConsumer;
import java.util.random.RandomGenerator;

/** Injects the faults of a plan at their times. Runs on the loop's thread. */
final class FaultInjector {
    private final FleetPlan plan;
    private final RealTimeLoop loop;
    private final RunClock clock;
    private final RunRecorder recorder;
    private final ManagerController managers;
    private final EngineFaults engines;
    private final NetworkLinks links;
    private final LoadGenerator generator;

    FaultInjector(
            FleetPlan plan,
            RealTimeLoop loop,
            RunClock clock,
            RunRecorder recorder,
            ManagerController managers,
            EngineFaults engines,
            NetworkLinks links,
            LoadGenerator generator) {
        this.plan = plan;
        this.loop = loop;
        this.clock = clock;
        this.recorder = recorder;
        this.managers = managers;
        this.engines = engines;
        this.links = links;
        this.generator = generator;
    }

    /** Schedules all faults, each with a random number generator of its own. */
    void scheduleAll(RandomStreams randomStreams) {
        int index = 0;
        for (Fault fault : plan.faults()) {
            RandomGenerator random = randomStreams.stream("fault", index++);
            loop.events().schedule(fault.at(), () -> inject(fault, random));
        }
    }

    private void inject(Fault fault, RandomGenerator random) {
        List<Integer> affected =
                fault.source() == null ? List.of() : fault.source().select(plan, random);
        recorder.writeEvent(
                clock.elapsed(),
                "fault",
                "kind",
                recordedKind(fault),
                "who",
                fault.source() == null ? "clients" : fault.source() + " " + affected,
                "to",
                String.valueOf(fault.target()),
                "length_ms",
                fault.length() / 10);
        switch (fault.kind()) {
            case KILL -> applyToManagers(fault, affected, m -> managers.kill(m, random));
            case STOP -> applyToManagers(fault, affected, m -> managers.stop(m, random));
            case PAUSE -> applyToManagers(fault, affected, m -> managers.pause(m, fault.length()));
            case RELOAD -> applyToManagers(fault, affected, m -> managers.signal(m, "HUP"));
            case DIE -> affected.forEach(e -> engines.die(e, fault.length(), random));
            case SILENCE -> affected.forEach(e -> engines.silence(e, fault.length(), random));
            case HANG -> affected.forEach(e -> engines.hang(e, fault.length()));
            case DRAIN -> affected.forEach(e -> engines.drain(e, fault.length(), random));
            case RELIST -> affected.forEach(e -> engines.relist(e, fault.length(), random));
            case REPLACE -> affected.forEach(e -> engines.replace(e, random));
            case CUT -> applyToLinks(fault, random, (link, active) -> link.setCut(active));
            case LOSS ->
                    applyToLinks(
                            fault,
                            random,
                            (link, active) -> link.setLoss(active ? fault.size() : 0));
            case DELAY ->
                    applyToLinks(
                            fault,
                            random,
                            (link, active) ->
                                    link.setDelay(active ? Math.round(fault.size() * 10) : 0));
            case TRAFFIC -> {
                generator.setTrafficFactor(fault.size());
                loop.events().schedule(fault.length(), () -> generator.setTrafficFactor(1));
            }
        }
    }

    private static String recordedKind(Fault fault) {
        return fault.kind().name().toLowerCase(Locale.ROOT);
    }

    /**
     * Applies an action to all affected managers at once or, if the fault has an interval, to one
     * after another in turn until the plan's end.
     */
    private void applyToManagers(Fault fault, List<Integer> affected, IntConsumer action) {
        if (fault.interval() <= 0) {
            affected.forEach(action::accept);
        } else {
            applyToNext(fault, affected, action, 0);
        }
    }

    private void applyToNext(
            Fault fault, List<Integer> affected, IntConsumer action, int repetition) {
        if (clock.elapsed() < plan.length()) {
            action.accept(affected.get(repetition % affected.size()));
            loop.events()
                    .schedule(
                            fault.interval(),
                            () -> applyToNext(fault, affected, action, repetition + 1));
        }
    }

    /**
     * Sets a fault on links, clears it after its length, and sets it again after its interval, if
     * there is one.
     */
    private void applyToLinks(
            Fault fault, RandomGenerator random, BiConsumer<LinkFaults, Boolean> setActive) {
        List<Integer> from = fault.source().select(plan, random);
        List<Integer> to = fault.target().select(plan, random);
        links.forEach(fault, from, to, link -> setActive.accept(link, true));
        loop.events()
                .schedule(
                        fault.length(),
                        () -> {
                            links.forEach(fault, from, to, link -> setActive.accept(link, false));
                            recorder.writeEvent(
                                    clock.elapsed(), "healed", "kind", recordedKind(fault));
                            if (fault.interval() > 0
                                    && clock.elapsed() + fault.interval() < plan.length()) {
                                loop.events()
                                        .schedule(
                                                fault.interval(),
                                                () -> applyToLinks(fault, random, setActive));
                            }
                        });
    }
}
