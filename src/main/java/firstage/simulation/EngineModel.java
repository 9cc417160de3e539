package firstage.simulation;

import firstage.policy.api.AttemptOutcome;
import firstage.policy.api.AttemptProgress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * A modelled engine: all that it is sent runs at once and shares cores, disks and memory. Less gets
 * done in total past a number of threads; what is short of memory spills; what passes the memory
 * waits in line; tables last read are warm; loads hold theirs; one that has started is cold, and
 * falls over when pushed.
 */
public final class EngineModel {
    private static final double[] PRIORITY_WEIGHTS = {1, 4, 8, 16};
    private static final double BUSY_SHARE_AT_CAPACITY = 0.85;

    /**
     * Slack for chance on the cold budget, and the part of the work that must come from managers
     * that were told.
     */
    private static final double OVERLOAD_TOLERANCE = 1.1;

    private static final double MIN_SHARE_OF_INFORMED_MANAGERS = 2.0 / 3;

    private record Arrival(long at, RunningAttempt attempt, boolean managerKnewOfStart) {}

    /** How it stands. */
    public enum State {
        UP,
        DRAINING,
        DOWN,
        SILENT,
        HANGING
    }

    /** Told of a job that is out; the way back is the listener's. */
    public interface Listener {
        void onEnded(RunningAttempt job, AttemptOutcome how);

        void onProgress(RunningAttempt job, AttemptProgress.Kind kind, double amount);

        /** Whether the manager that sent it still lives the life it sent it in. */
        boolean isSenderAlive();
    }

    /** An attempt that is here. */
    public static final class RunningAttempt {
        public final TrueRequest request;
        final FleetPlan.TrafficClassPlan trafficClass;
        final Listener listener;
        final int manager;
        final double grant;
        int priority;
        private double totalWork;
        private double remainingWork;
        private double rate;
        private boolean waitingForMemory;
        private boolean ended;

        public RunningAttempt(
                TrueRequest request,
                FleetPlan.TrafficClassPlan trafficClass,
                Listener listener,
                int manager,
                double grant,
                int priority) {
            this.request = request;
            this.manager = manager;
            this.trafficClass = trafficClass;
            this.listener = listener;
            this.grant = grant;
            this.priority = priority;
        }
    }

    private final int number;
    private final FleetPlan.Engines engineType;
    private final EventQueue events;
    private final RandomGenerator random;
    private final RuleChecker rules;
    private final FleetPlan.Rules rulesOfPlan;
    private final double speed;
    private final double threadsPerCoreKnee;
    private final double thrashing;
    private final double spillCost;
    private final long warmUpDuration;
    private final List<RunningAttempt> running = new ArrayList<>();
    private final List<RunningAttempt> memoryQueue = new ArrayList<>();
    private final Map<Integer, RunningAttempt> tableLoads = new LinkedHashMap<>();
    private final List<Integer> warmTableGroups = new ArrayList<>();

    /** What was sent of late, within the fall window. */
    private final ArrayDeque<Arrival> recentArrivals = new ArrayDeque<>();

    private State state = State.UP;
    private double reservedMb;
    private long advancedTo;
    private long startedAt;
    private int schedule;
    private double slowdown = 1;

    public EngineModel(
            int number,
            FleetPlan plan,
            EventQueue events,
            RandomStreams streams,
            RuleChecker rules) {
        this.number = number;
        this.engineType = plan.engines();
        this.events = events;
        this.rules = rules;
        rulesOfPlan = plan.rules();
        random = streams.stream("engine", number);
        RandomGenerator nature = streams.stream("engine-nature", number);
        speed = engineType.speed().draw(nature);
        threadsPerCoreKnee = engineType.threadsPerCoreKnee().draw(nature);
        thrashing = engineType.thrashing().draw(nature);
        spillCost = engineType.spillCost().draw(nature);
        warmUpDuration = engineType.warmUpDuration().drawTime(nature);
    }

    public int number() {
        return number;
    }

    public State state() {
        return state;
    }

    /** When it last started; 0 for long ago. */
    public long startedAt() {
        return startedAt;
    }

    /** Queries that wait for memory. */
    public int waitingForMemory() {
        return memoryQueue.size();
    }

    private int sessions() {
        return running.size() + memoryQueue.size();
    }

    void slowdown(double times) {
        advance();
        slowdown = times;
        reschedule();
    }

    /**
     * Dies, goes silent, drains or is back; with a death all that it had ends, unseen where it went
     * silent.
     */
    public void setState(State next) {
        advance();
        boolean dies = next == State.DOWN || next == State.SILENT;
        boolean starts = next == State.UP && state != State.UP && state != State.HANGING;
        state = next;
        if (dies) {
            List<RunningAttempt> all = new ArrayList<>(running);
            all.addAll(memoryQueue);
            running.clear();
            memoryQueue.clear();
            tableLoads.clear();
            warmTableGroups.clear();
            reservedMb = 0;
            for (RunningAttempt attempt : all) {
                attempt.ended = true;
                rules.onRunEnded(attempt.request);
                if (next == State.DOWN) {
                    attempt.listener.onEnded(attempt, AttemptOutcome.CONNECTION_LOST);
                }
            }
        }
        if (starts) {
            startedAt = events.now();
            recentArrivals.clear();
        }
        reschedule();
    }

    /** Cold at this moment, with nothing else changed. */
    void restartCold() {
        advance();
        startedAt = events.now();
        recentArrivals.clear();
        warmTableGroups.clear();
        reschedule();
    }

    /** The share of its capacity that it has. */
    private double capacityShare() {
        long age = events.now() - startedAt;
        return startedAt == 0 || age >= warmUpDuration
                ? 1
                : engineType.initialCapacityShare()
                        + (1 - engineType.initialCapacityShare()) * age / warmUpDuration;
    }

    /** An attempt comes in. */
    public void start(RunningAttempt attempt) {
        recordArrival(attempt);
        if (state == State.SILENT || state == State.HANGING) {
            if (state == State.HANGING) {
                rules.onRunStarted(attempt.request, events.now());
            }
            return;
        }
        if (state == State.DOWN) {
            attempt.listener.onEnded(attempt, AttemptOutcome.CONNECT_FAILED);
            return;
        }
        if (state == State.DRAINING || sessions() >= engineType.sessions()) {
            attempt.listener.onEnded(attempt, AttemptOutcome.REFUSED);
            return;
        }
        rules.onRunStarted(attempt.request, events.now());
        advance();
        if (engineType.grants() && reservedMb + attempt.grant > engineType.memoryMb()) {
            attempt.waitingForMemory = true;
            memoryQueue.add(attempt);
        } else {
            begin(attempt);
        }
        scheduleProgress(attempt);
        reschedule();
    }

    /**
     * All work that comes here counts, also what is refused; work that came before the start does
     * not.
     */
    private void recordArrival(RunningAttempt attempt) {
        long now = events.now();
        recentArrivals.add(
                new Arrival(
                        now, attempt, rules.knowsEngineStart(attempt.manager, number, startedAt)));
        while (recentArrivals.peek().at < now - rulesOfPlan.overloadWindow()) {
            recentArrivals.poll();
        }
        double share = capacityShare();
        if (share < 1 && rulesOfPlan.overloadMultiple() > 0 && state == State.UP) {
            double sent = arrivedWork(p -> true);
            double told = arrivedWork(Arrival::managerKnewOfStart);
            if (sent
                    > rulesOfPlan.overloadMultiple()
                            * share
                            * engineType.cores()
                            * speed
                            * BUSY_SHARE_AT_CAPACITY
                            * rulesOfPlan.overloadWindow()
                            * OVERLOAD_TOLERANCE) {
                if (told >= sent * MIN_SHARE_OF_INFORMED_MANAGERS) {
                    // Who pushed it: what to look for in a report of this rule.
                    rules.onColdEngineOverloaded(
                            number,
                            now,
                            String.format(
                                    Locale.ROOT,
                                    "of the work in the window %.0f%% came from lives of managers"
                                        + " that had ended, %.0f%% from managers told of its start,"
                                        + " %d ms before",
                                    100
                                            * arrivedWork(p -> !p.attempt.listener.isSenderAlive())
                                            / sent,
                                    100 * told / sent,
                                    (now - startedAt) / 10));
                }
                setState(State.DOWN);
            }
        }
    }

    private double arrivedWork(Predicate<Arrival> which) {
        return recentArrivals.stream()
                .filter(which)
                .mapToDouble(p -> p.attempt.trafficClass.work())
                .sum();
    }

    private void begin(RunningAttempt attempt) {
        reservedMb += engineType.grants() ? attempt.grant : 0;
        boolean isWarm = warmTableGroups.remove((Integer) attempt.request.tableGroup);
        warmTableGroups.add(0, attempt.request.tableGroup);
        while (warmTableGroups.size() > engineType.warmTableGroups()) {
            warmTableGroups.remove(warmTableGroups.size() - 1);
        }
        double missing =
                engineType.grants() ? Math.max(0, 1 - attempt.grant / attempt.request.memoryMb) : 0;
        double bad =
                random.nextDouble() < attempt.trafficClass.badPlanShare()
                        ? 8 + 17 * random.nextDouble()
                        : 1;
        attempt.totalWork =
                attempt.request.work
                        * bad
                        * (1 + spillCost * missing)
                        * (1
                                - (isWarm
                                        ? attempt.trafficClass.ioShare()
                                                * engineType.warmTableGain()
                                        : 0));
        attempt.remainingWork = attempt.totalWork;
        running.add(attempt);
        if (missing > 0) {
            attempt.listener.onProgress(
                    attempt, AttemptProgress.Kind.SPILLING, missing * attempt.request.memoryMb);
        }
    }

    private boolean isBlockedByTableLoad(RunningAttempt attempt) {
        if (!attempt.trafficClass.blockedByTableLoads() && !attempt.trafficClass.tableLoad()) {
            return false;
        }
        RunningAttempt holder = tableLoads.get(attempt.request.tableGroup);
        return holder != null && holder != attempt;
    }

    /** Lets what runs get on by the time since. */
    private void advance() {
        long passed = events.now() - advancedTo;
        advancedTo = events.now();
        if (passed > 0) {
            for (RunningAttempt attempt : running) {
                attempt.remainingWork -= attempt.rate * passed;
            }
        }
    }

    /** What came or went changes everybody's pace: works it out again and sets the next end. */
    private void reschedule() {
        endFinished();
        if (state == State.HANGING || state == State.SILENT || state == State.DOWN) {
            schedule++;
            return;
        }
        for (RunningAttempt attempt : running) {
            if (attempt.trafficClass.tableLoad()) {
                tableLoads.putIfAbsent(attempt.request.tableGroup, attempt);
            }
        }
        double threads = 0;
        double weights = 0;
        for (RunningAttempt attempt : running) {
            boolean stands = isBlockedByTableLoad(attempt);
            attempt.rate = stands ? -1 : 0;
            threads += stands ? 0 : attempt.trafficClass.threads();
            weights += stands ? 0 : weight(attempt) * attempt.trafficClass.threads();
        }
        double over = Math.max(0, threads / (engineType.cores() * threadsPerCoreKnee) - 1);
        double left =
                engineType.cores() * speed * capacityShare() / slowdown / (1 + thrashing * over);
        distribute(left, weights);
        double disks = engineType.disks() * engineType.cores() * capacityShare();
        double reading = 0;
        for (RunningAttempt attempt : running) {
            reading += attempt.rate > 0 ? attempt.rate * attempt.trafficClass.ioShare() : 0;
        }
        double wait = Math.max(1, reading / disks);
        double first = Double.MAX_VALUE;
        for (RunningAttempt attempt : running) {
            attempt.rate =
                    attempt.rate <= 0
                            ? 0
                            : attempt.rate
                                    / (1
                                            - attempt.trafficClass.ioShare()
                                            + attempt.trafficClass.ioShare() * wait);
            first =
                    attempt.rate > 0
                            ? Math.min(first, attempt.remainingWork / attempt.rate)
                            : first;
        }
        int mine = ++schedule;
        if (first < Double.MAX_VALUE) {
            // A cold engine gets faster by itself: it is looked at again before long.
            long due = (long) Math.ceil(capacityShare() < 1 ? Math.min(first, 5_000) : first);
            events.schedule(
                    Math.max(1, due),
                    () -> {
                        if (mine == schedule) {
                            advance();
                            reschedule();
                        }
                    });
        }
    }

    /** By weight, each no more than its threads; what is left over goes round once more. */
    private void distribute(double capacity, double weights) {
        double left = capacity;
        for (int round = 0; round < 2 && left > 1e-9 && weights > 0; round++) {
            double given = 0;
            double open = 0;
            for (RunningAttempt attempt : running) {
                if (attempt.rate >= 0 && attempt.rate < attempt.trafficClass.threads()) {
                    double part =
                            Math.min(
                                    attempt.trafficClass.threads() - attempt.rate,
                                    left
                                            * weight(attempt)
                                            * attempt.trafficClass.threads()
                                            / weights);
                    attempt.rate += part;
                    given += part;
                    open +=
                            attempt.rate < attempt.trafficClass.threads()
                                    ? weight(attempt) * attempt.trafficClass.threads()
                                    : 0;
                }
            }
            left -= given;
            weights = open;
        }
    }

    private double weight(RunningAttempt attempt) {
        return engineType.priorities() ? PRIORITY_WEIGHTS[attempt.priority] : 1;
    }

    private void endFinished() {
        for (int i = 0; i < running.size(); i++) {
            RunningAttempt attempt = running.get(i);
            if (attempt.remainingWork <= 1e-6 * attempt.totalWork + 1e-9) {
                running.remove(i--);
                release(attempt);
                rules.onRunEnded(attempt.request);
                attempt.listener.onEnded(
                        attempt,
                        random.nextDouble() < engineType.failureRate()
                                ? AttemptOutcome.FAILED
                                : AttemptOutcome.SUCCEEDED);
            }
        }
        admit();
    }

    private void release(RunningAttempt attempt) {
        attempt.ended = true;
        reservedMb = running.isEmpty() ? 0 : reservedMb - (engineType.grants() ? attempt.grant : 0);
        tableLoads.remove(attempt.request.tableGroup, attempt);
    }

    /** From the line, by priority and then in turn. */
    private void admit() {
        while (!memoryQueue.isEmpty()) {
            RunningAttempt next = memoryQueue.get(0);
            for (RunningAttempt attempt : memoryQueue) {
                next = attempt.priority > next.priority ? attempt : next;
            }
            if (reservedMb + next.grant > engineType.memoryMb() && !running.isEmpty()) {
                return;
            }
            memoryQueue.remove(next);
            next.waitingForMemory = false;
            begin(next);
        }
    }

    /** Sets a job's priority while it is here. */
    public void setPriority(RunningAttempt attempt, int priority) {
        if (!attempt.ended && attempt.priority != priority) {
            advance();
            attempt.priority = priority;
            reschedule();
        }
    }

    /** Ends it, its work lost. */
    public void cancel(RunningAttempt attempt) {
        if (attempt.ended) {
            return;
        }
        advance();
        if (memoryQueue.remove(attempt)) {
            attempt.ended = true;
        } else if (running.remove(attempt)) {
            release(attempt);
        }
        rules.onRunEnded(attempt.request);
        reschedule();
    }

    private void scheduleProgress(RunningAttempt attempt) {
        if (engineType.progressInterval() <= 0) {
            return;
        }
        events.schedule(
                engineType.progressInterval(),
                () -> {
                    if (attempt.ended || state == State.SILENT || state == State.DOWN) {
                        return;
                    }
                    if (state != State.HANGING) {
                        advance();
                        if (attempt.waitingForMemory) {
                            attempt.listener.onProgress(
                                    attempt, AttemptProgress.Kind.WAITING_FOR_MEMORY, 0);
                        } else if (isBlockedByTableLoad(attempt)) {
                            attempt.listener.onProgress(
                                    attempt, AttemptProgress.Kind.WAITING_FOR_TABLE_LOAD, 0);
                        } else {
                            double share = 1 - attempt.remainingWork / attempt.totalWork;
                            attempt.listener.onProgress(
                                    attempt,
                                    AttemptProgress.Kind.FRACTION_DONE,
                                    Math.max(
                                            0,
                                            Math.min(
                                                    1,
                                                    share * (0.85 + 0.3 * random.nextDouble()))));
                        }
                        reschedule();
                    }
                    scheduleProgress(attempt);
                });
    }
}
