package firstage.faulttest;

import firstage.emulator.LoadGenerator;
import firstage.emulator.RealTimeLoop;
import firstage.simulation.FleetPlan;
import firstage.util.Ticks;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;

/**
 * Kills, stops, pauses, restarts and shuts down the managers' processes, and distinguishes ends
 * that the test caused from unexpected ones.
 */
final class ManagerController {
    private static final long SHUTDOWN_TIMEOUT_MS = 8_000;
    private static final long GRACEFUL_STOP_TIMEOUT_MS = 30_000;

    private static final long RESTART_CHECK_MS = 20;

    /** Time from SIGTERM until the clients' load balancer begins to notice the shutdown. */
    private static final long STOP_ANNOUNCED_AFTER = Ticks.ofMillis(300);

    private final FleetPlan plan;
    private final boolean withPeers;
    private final LoopbackAddresses addresses;
    private final RealTimeLoop loop;
    private final RunClock clock;
    private final RunRecorder recorder;
    private final ManagerProcesses processes;
    private final LoadGenerator generator;
    private final FaultTestExtension extension;
    private final Executor blockingTasks;
    private final boolean[] endExpected;

    /** Managers that were killed after SIGTERM; used on the loop's thread. */
    private final Set<Integer> killedWhileStopping = new HashSet<>();

    private final AtomicInteger restartsPending = new AtomicInteger();
    private final List<String> unexpectedEnds = new ArrayList<>();

    /**
     * Creates a controller of processes that are already running.
     *
     * @param blockingTasks runs tasks that wait for a process
     */
    ManagerController(
            FaultTestSpec spec,
            LoopbackAddresses addresses,
            RealTimeLoop loop,
            RunClock clock,
            RunRecorder recorder,
            ManagerProcesses processes,
            LoadGenerator generator,
            FaultTestExtension extension,
            Executor blockingTasks) {
        plan = spec.plan();
        withPeers = spec.withPeers();
        this.addresses = addresses;
        this.loop = loop;
        this.clock = clock;
        this.recorder = recorder;
        this.processes = processes;
        this.generator = generator;
        this.extension = extension;
        this.blockingTasks = blockingTasks;
        endExpected = new boolean[plan.managers().count()];
    }

    /** Records processes that ended unexpectedly. */
    void checkProcesses() {
        for (int number = 0; number < endExpected.length; number++) {
            if (!processes.isAlive(number) && !endExpected[number]) {
                endExpected[number] = true;
                unexpectedEnds.add(
                        "manager "
                                + number
                                + " ended unexpectedly at "
                                + clock.elapsed() / 10
                                + " ms with status "
                                + processes.exitStatus(number));
                int manager = number;
                loop.execute(
                        () -> {
                            generator.onManagerKilled(manager);
                            extension.onManagerEnding(manager, true);
                        });
            }
        }
    }

    /** Sends TERM, HUP, STOP or CONT to a manager. */
    void signal(int manager, String name) {
        try {
            processes.signal(manager, name);
            recorder.writeEvent(clock.elapsed(), "signal", "manager", manager, "name", name);
        } catch (IOException failure) {
            unexpectedEnds.add(
                    "can't send " + name + " to manager " + manager + ": " + failure.getMessage());
        }
    }

    /** Stops a manager's process by SIGSTOP and continues it after {@code ticks}. */
    void pause(int manager, long ticks) {
        signal(manager, "STOP");
        generator.onManagerPaused(manager, loop.events().now() + ticks);
        extension.onManagerPaused(manager, loop.events().now() + ticks);
        loop.events().schedule(ticks, () -> signal(manager, "CONT"));
    }

    /** Kills a manager and restarts it after the plan's restart time. */
    void kill(int manager, RandomGenerator random) {
        // A manager that is already ending is restarted only once.
        if (processes.isAlive(manager) && !endExpected[manager]) {
            endExpected[manager] = true;
            // Reported before the kill: the manager's connections may break before this thread
            // continues.
            generator.onManagerKilled(manager);
            extension.onManagerEnding(manager, true);
            processes.kill(manager);
            recorder.writeEvent(clock.elapsed(), "killed", "manager", manager);
            restartLater(manager, random);
        }
    }

    /** Shuts a manager down by SIGTERM and restarts it after the plan's restart time. */
    void stop(int manager, RandomGenerator random) {
        if (processes.isAlive(manager) && !endExpected[manager]) {
            endExpected[manager] = true;
            signal(manager, "TERM");
            extension.onManagerEnding(manager, false);
            killIfStillRunning(manager, extension.killAfterShutdownSignal());
            loop.events()
                    .schedule(
                            STOP_ANNOUNCED_AFTER,
                            () -> generator.onManagerStateChanged(manager, false));
            blockingTasks.execute(
                    () -> {
                        boolean ended = processes.awaitExit(manager, GRACEFUL_STOP_TIMEOUT_MS);
                        loop.execute(() -> onStopped(manager, ended, random));
                    });
        }
    }

    /** Kills a manager that is shutting down after {@code delay} ticks; 0 for never. */
    private void killIfStillRunning(int manager, long delay) {
        if (delay == 0) {
            return;
        }
        int incarnation = processes.incarnation(manager);
        loop.events()
                .schedule(
                        delay,
                        () -> {
                            if (processes.isAlive(manager)
                                    && processes.incarnation(manager) == incarnation) {
                                killedWhileStopping.add(manager);
                                generator.onManagerKilled(manager);
                                extension.onManagerEnding(manager, true);
                                processes.kill(manager);
                                recorder.writeEvent(
                                        clock.elapsed(), "killed at its end", "manager", manager);
                            }
                        });
    }

    private void onStopped(int manager, boolean ended, RandomGenerator random) {
        boolean killed = killedWhileStopping.remove(manager);
        if (!killed && !ended || !killed && processes.exitStatus(manager) != 0) {
            recordImproperEnd(manager, ended);
        }
        recorder.writeEvent(clock.elapsed(), "ended", "manager", manager);
        restartLater(manager, random);
    }

    private void recordImproperEnd(int manager, boolean ended) {
        unexpectedEnds.add(
                "manager "
                        + manager
                        + " did not shut down properly after SIGTERM: "
                        + (ended
                                ? "status " + processes.exitStatus(manager)
                                : "still running after 30 s"));
    }

    private void restartLater(int manager, RandomGenerator random) {
        restartsPending.incrementAndGet();
        loop.events()
                .schedule(
                        plan.managers().restartTime().drawTime(random),
                        () -> blockingTasks.execute(() -> restart(manager)));
    }

    private void restart(int manager) {
        try {
            processes.start(manager, withPeers);
            processes.awaitReady(manager, addresses.manager(manager));
            loop.execute(() -> onRestarted(manager));
        } catch (IOException failure) {
            loop.execute(() -> unexpectedEnds.add(failure.getMessage()));
        } finally {
            restartsPending.decrementAndGet();
        }
    }

    private void onRestarted(int manager) {
        endExpected[manager] = false;
        generator.onManagerStateChanged(manager, true);
        extension.onManagerRestarted(manager);
        recorder.writeEvent(
                clock.elapsed(),
                "serves",
                "manager",
                manager,
                "life",
                processes.incarnation(manager));
    }

    /** Shuts all managers down by SIGTERM; returns the processor seconds that they used. */
    double shutDownAll() throws IOException {
        awaitRestarts();
        double processorSeconds = 0;
        for (int manager = 0; manager < endExpected.length; manager++) {
            processorSeconds += processes.processorSeconds(manager);
            endExpected[manager] = true;
            processes.signal(manager, "CONT");
            processes.signal(manager, "TERM");
        }
        long deadlineNs = System.nanoTime() + SHUTDOWN_TIMEOUT_MS * 1_000_000;
        for (int manager = 0; manager < endExpected.length; manager++) {
            long remainingMs = (deadlineNs - System.nanoTime()) / 1_000_000;
            if (!processes.awaitExit(manager, Math.max(1, remainingMs))) {
                unexpectedEnds.add(
                        "manager "
                                + manager
                                + " had not ended "
                                + SHUTDOWN_TIMEOUT_MS
                                + " ms after SIGTERM");
            } else if (processes.exitStatus(manager) != 0) {
                unexpectedEnds.add(
                        "manager "
                                + manager
                                + " ended with status "
                                + processes.exitStatus(manager)
                                + " after SIGTERM");
            }
        }
        return processorSeconds;
    }

    /** Waits for pending restarts, as a process that is starting can't handle signals yet. */
    private void awaitRestarts() {
        long deadlineNs = System.nanoTime() + GRACEFUL_STOP_TIMEOUT_MS * 1_000_000;
        while (restartsPending.get() > 0 && System.nanoTime() < deadlineNs) {
            try {
                Thread.sleep(RESTART_CHECK_MS);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    /** Returns descriptions of unexpected ends of processes and of failed actions. */
    List<String> unexpectedEnds() {
        return unexpectedEnds;
    }
}
