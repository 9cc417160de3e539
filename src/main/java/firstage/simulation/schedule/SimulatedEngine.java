package firstage.simulation.schedule;

import firstage.lifecycle.AttemptStateMachine.EngineReply;
import firstage.simulation.EventQueue;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * A simulated engine: accepts statements, holds polls, drops runs that are not polled, drains,
 * fails and restarts. Times are ticks.
 */
final class SimulatedEngine {
    /** Longest time for which the engine holds a poll: 250 ms. */
    private static final long MAX_POLL_HOLD = 2_500;

    /** Time for which the engine keeps a run that is not polled, and an unread result: 2 s. */
    private static final long RETENTION = 20_000;

    private static final double FAILURE_PROBABILITY = 0.02;
    private static final double TWO_PAGES_PROBABILITY = 0.2;

    enum Availability {
        UP,
        DRAINING,
        DOWN,
        UNRESPONSIVE
    }

    private final class StatementRun {
        private final int requestId;
        private final int pages;
        private final boolean fails;
        private final long endsAt;
        private final long deadline;
        private long lastPolledAt;
        private boolean ended;

        /** Whether the run's machine is cut off, so that nobody can ask for its result. */
        private boolean cutOff;

        private StatementRun(int requestId, long now, long runTime, long deadline) {
            this.requestId = requestId;
            this.deadline = deadline;
            endsAt = now + runTime;
            lastPolledAt = now;
            fails = random.nextDouble() < FAILURE_PROBABILITY;
            pages = random.nextDouble() < TWO_PAGES_PROBABILITY ? 2 : 1;
        }

        private void end() {
            if (!ended) {
                ended = true;
                ruleChecker.onRunEnded(requestId);
            }
        }
    }

    private final EventQueue events;
    private final ScheduleRuleChecker ruleChecker;
    private final RandomGenerator random;

    /** Runs of the current incarnation, in progress or ended, by attempt id. */
    private final Map<Integer, StatementRun> runs = new HashMap<>();

    private Availability availability = Availability.UP;

    /** Time at which the manager was notified that this engine drains; negative before that. */
    private long drainNotifiedAt = -1;

    private int incarnation;

    /** Number of processes that have replaced a machine that was cut off. */
    private int replacements;

    SimulatedEngine(EventQueue events, ScheduleRuleChecker ruleChecker, RandomGenerator random) {
        this.events = events;
        this.ruleChecker = ruleChecker;
        this.random = random;
    }

    Availability availability() {
        return availability;
    }

    void onDrainNotified(long now) {
        drainNotifiedAt = now;
    }

    /**
     * Returns the time since the manager was notified that this engine drains; negative if it was
     * not.
     */
    long timeSinceDrainNotice(long now) {
        return drainNotifiedAt < 0 ? -1 : now - drainNotifiedAt;
    }

    /** Records that the manager was notified that this engine takes statements again. */
    void onListedAgain() {
        drainNotifiedAt = -1;
    }

    /**
     * Cuts the engine's machine off, which runs on, and starts another process at its address. The
     * new process knows no statement; calls in transit to the old one are lost.
     */
    void replaceProcess() {
        runs.values().forEach(run -> run.cutOff = true);
        runs.clear();
        incarnation++;
        replacements++;
    }

    /** Returns the number of processes that have replaced a machine that was cut off. */
    int replacements() {
        return replacements;
    }

    void setAvailability(Availability newAvailability) {
        if (newAvailability == Availability.DOWN) {
            runs.values().forEach(StatementRun::end);
            runs.clear();
            incarnation++;
        }
        availability = newAvailability;
    }

    /**
     * Receives a whole statement and starts to run it, unless the engine refuses it.
     *
     * @param sentSinceDrain time from the notice that this engine drains to the send; negative if
     *     the manager was not notified before
     * @param drainGrace time after the notice within which statements may still be sent
     * @param runTime time that the run takes
     * @param deadline the client's deadline
     * @param reply receives the refusal, or the reply that a poll of the run would get
     */
    void receiveStatement(
            int requestId,
            int attemptId,
            long sentSinceDrain,
            long drainGrace,
            long runTime,
            long deadline,
            Consumer<EngineReply> reply) {
        if (availability == Availability.DOWN) {
            return;
        }
        if (availability == Availability.DRAINING && random.nextBoolean()) {
            reply.accept(EngineReply.REFUSED);
            return;
        }
        ruleChecker.onRunStarted(events.now(), requestId, sentSinceDrain, drainGrace);
        StatementRun run = new StatementRun(requestId, events.now(), runTime, deadline);
        runs.put(attemptId, run);
        scheduleExpiry(run);
        replyWhenEnded(attemptId, reply);
    }

    private void scheduleExpiry(StatementRun run) {
        // A run that ends before it expires counts as running until the engine has written or
        // dropped its unread result, which is at expiresAt() at the latest.
        long delay = expiresAt(run) - events.now();
        events.schedule(
                Math.max(1, delay),
                () -> {
                    if (run.ended || events.now() >= expiresAt(run)) {
                        run.end();
                    } else {
                        scheduleExpiry(run);
                    }
                });
    }

    /**
     * Returns the time at which the engine drops a run that is not polled from now on: the
     * retention time after the last poll. A run of a machine that is cut off ends by itself or by
     * then. If another run ends before that, its unread result is kept for the retention time after
     * its end, and at least until the client's deadline.
     */
    private long expiresAt(StatementRun run) {
        if (run.cutOff) {
            return Math.min(run.lastPolledAt + RETENTION, Math.max(run.endsAt, events.now()));
        }
        boolean endedBeforeExpiry =
                run.endsAt <= events.now() && run.endsAt - run.lastPolledAt < RETENTION;
        return endedBeforeExpiry
                ? Math.max(Math.max(run.lastPolledAt, run.endsAt) + RETENTION, run.deadline)
                : run.lastPolledAt + RETENTION;
    }

    void poll(int attemptId, Consumer<EngineReply> reply) {
        if (availability == Availability.DOWN) {
            return;
        }
        StatementRun run = runs.get(attemptId);
        if (run == null) {
            reply.accept(EngineReply.FAILED);
            return;
        }
        replyWhenEnded(attemptId, reply);
    }

    /** Replies when the run ends, and after {@link #MAX_POLL_HOLD} at the latest. */
    private void replyWhenEnded(int attemptId, Consumer<EngineReply> reply) {
        StatementRun run = runs.get(attemptId);
        long holdTime = Math.min(MAX_POLL_HOLD, Math.max(0, run.endsAt - events.now()));
        run.lastPolledAt = events.now() + holdTime;
        int incarnationAtPoll = incarnation;
        events.schedule(
                holdTime,
                () -> {
                    if (incarnationAtPoll != incarnation) {
                        return;
                    }
                    boolean ended = run.ended || events.now() >= run.endsAt;
                    if (ended) {
                        run.end();
                    }
                    if (ended && events.now() < run.endsAt) {
                        reply.accept(EngineReply.FAILED);
                    } else {
                        reply.accept(
                                !ended
                                        ? EngineReply.PROGRESS
                                        : run.fails
                                                ? EngineReply.FAILED
                                                : run.pages > 1
                                                        ? EngineReply.PAGE
                                                        : EngineReply.LAST_PAGE);
                    }
                });
    }

    void fetchPage(int attemptId, Consumer<EngineReply> reply) {
        if (availability != Availability.DOWN) {
            reply.accept(runs.containsKey(attemptId) ? EngineReply.LAST_PAGE : EngineReply.FAILED);
        }
    }

    void delete(int attemptId, Runnable reply) {
        if (availability == Availability.DOWN) {
            return;
        }
        StatementRun run = runs.get(attemptId);
        if (run != null) {
            run.end();
        }
        reply.run();
    }
}
