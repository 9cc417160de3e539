package firstage.simulation.schedule;

import firstage.simulation.EventQueue;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * The single I/O thread of a simulated manager. Each round selects the actions that are ready and
 * runs them in random order; the thread may be paused between any two actions. A new connection is
 * accepted in one round and read in the next. Times are ticks.
 */
final class SimulatedThread {
    private static final double STALL_PROBABILITY = 0.004;
    private static final long MAX_STALL = 9_000;

    private static final class ReadBarrier {
        private final Runnable action;
        private int roundsLeft = 2;

        private ReadBarrier(Runnable action) {
            this.action = action;
        }
    }

    private final EventQueue events;
    private final RandomGenerator random;
    private final ScheduleRuleChecker ruleChecker;
    private final boolean stallsBetweenReads;
    private final boolean acceptsOnePerRound;
    private final Runnable runPendingActions;
    private List<Runnable> ready = new ArrayList<>();
    private final List<Runnable> newConnections = new ArrayList<>();
    private final ArrayDeque<Runnable> selected = new ArrayDeque<>();

    /** Barriers requested before the current round began; they count this round. */
    private final List<ReadBarrier> currentBarriers = new ArrayList<>();

    /** Barriers requested since the current round began; they count from the next round on. */
    private final List<ReadBarrier> nextBarriers = new ArrayList<>();

    private boolean roundScheduled;
    private boolean killed;
    private long pausedUntil;

    SimulatedThread(
            EventQueue events,
            RandomGenerator random,
            ScheduleRuleChecker ruleChecker,
            boolean stallsBetweenReads,
            boolean acceptsOnePerRound,
            Runnable runPendingActions) {
        this.events = events;
        this.random = random;
        this.ruleChecker = ruleChecker;
        this.stallsBetweenReads = stallsBetweenReads;
        this.acceptsOnePerRound = acceptsOnePerRound;
        this.runPendingActions = runPendingActions;
    }

    /** Kills the process: no further action runs. */
    void kill() {
        killed = true;
    }

    boolean isKilled() {
        return killed;
    }

    /**
     * Runs an action in the next round; used for data on an open connection and for expired timers.
     */
    void submit(Runnable action) {
        ready.add(action);
        scheduleRound();
    }

    /**
     * Runs an action for data on a new connection: one round accepts the connection, a later one
     * runs the action.
     */
    void submitOnNewConnection(Runnable action) {
        newConnections.add(action);
        scheduleRound();
    }

    /** Runs an action after two whole rounds that begin after this call. */
    void addBarrier(Runnable action) {
        nextBarriers.add(new ReadBarrier(action));
        scheduleRound();
    }

    /** Pauses the process for {@code length} ticks. */
    void pause(long length) {
        pausedUntil = Math.max(pausedUntil, events.now() + length);
        ruleChecker.onStalled(length);
    }

    private void scheduleRound() {
        if (!roundScheduled) {
            roundScheduled = true;
            events.schedule(1, this::selectReady);
        }
    }

    /**
     * Returns whether the action must not run now. If the thread is paused, schedules the action
     * for the end of the pause; if it was killed, drops the action.
     */
    private boolean deferIfPaused(Runnable action) {
        if (killed) {
            return true;
        }
        if (events.now() < pausedUntil) {
            events.schedule(pausedUntil - events.now(), action);
            return true;
        }
        return false;
    }

    private void selectReady() {
        if (deferIfPaused(this::selectReady)) {
            return;
        }
        currentBarriers.addAll(nextBarriers);
        nextBarriers.clear();
        List<Runnable> arrived = ready;
        ready = new ArrayList<>();
        while (!arrived.isEmpty()) {
            selected.add(arrived.remove(random.nextInt(arrived.size())));
        }
        // A connection that is accepted in this round is read in the next.
        if (acceptsOnePerRound && !newConnections.isEmpty()) {
            ready.add(newConnections.remove(0));
        } else {
            ready.addAll(newConnections);
            newConnections.clear();
        }
        runSelected();
    }

    private void runSelected() {
        if (deferIfPaused(this::runSelected)) {
            return;
        }
        while (!selected.isEmpty()) {
            selected.poll().run();
            if (stallsBetweenReads && random.nextDouble() < STALL_PROBABILITY) {
                pause(1 + random.nextLong(MAX_STALL));
                deferIfPaused(this::runSelected);
                return;
            }
        }
        passBarriers();
        runPendingActions.run();
        roundScheduled = false;
        if (!ready.isEmpty()
                || !newConnections.isEmpty()
                || !currentBarriers.isEmpty()
                || !nextBarriers.isEmpty()) {
            scheduleRound();
        }
    }

    private void passBarriers() {
        List<ReadBarrier> passed =
                currentBarriers.stream().filter(barrier -> --barrier.roundsLeft == 0).toList();
        currentBarriers.removeAll(passed);
        passed.forEach(barrier -> barrier.action.run());
    }
}
