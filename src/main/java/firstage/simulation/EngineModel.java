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
 * A simulated engine. The attempts that it runs share its cores, disks and memory:
 *
 * <ul>
 *   <li>Beyond a number of threads per core, total throughput falls (thrashing).
 *   <li>An attempt whose grant is below its need spills to disk, which costs further work.
 *   <li>An attempt whose grant exceeds the free memory waits in a queue.
 *   <li>Recently used table groups are warm and save I/O.
 *   <li>A table load blocks the other loads of its table group, and the attempts on that group that
 *       have to wait for loads.
 *   <li>A recently started engine is cold: it has only a part of its capacity, and goes down when
 *       it is overloaded.
 * </ul>
 */
public final class EngineModel {
    /** Weights by which attempts share the cores, by priority. */
    private static final double[] PRIORITY_WEIGHTS = {1, 4, 8, 16};

    /** Share of the time of all cores that counts as full capacity in the overload check. */
    private static final double BUSY_SHARE_AT_CAPACITY = 0.85;

    /**
     * Factor by which the work sent to a cold engine may exceed the limit of the overload check: a
     * tolerance for random variation.
     */
    private static final double OVERLOAD_TOLERANCE = 1.1;

    /**
     * Minimum share of the work sent to an overloaded cold engine that has to come from managers
     * that knew of the engine's start: with less, the overload is no violation of rule 4, which
     * protects cold engines from overload.
     */
    private static final double MIN_SHARE_OF_INFORMED_MANAGERS = 2.0 / 3;

    private record Arrival(long at, RunningAttempt attempt, boolean managerKnewOfStart) {}

    /**
     * Condition of an engine. {@code SILENT}: attempts are lost without a reply; {@code HANGING}:
     * attempts are accepted and never end.
     */
    public enum State {
        UP,
        DRAINING,
        DOWN,
        SILENT,
        HANGING
    }

    /** Callbacks about attempts; the listener adds the network delay of the way back. */
    public interface Listener {
        void onEnded(RunningAttempt attempt, AttemptOutcome outcome);

        void onProgress(RunningAttempt attempt, AttemptProgress.Kind kind, double amount);

        /** Returns whether the incarnation of the manager that sent the attempt still runs. */
        boolean isSenderAlive();
    }

    /** An attempt at an engine. Work is in ticks of one thread on one core at speed 1. */
    public static final class RunningAttempt {
        public final GeneratedRequest request;
        final FleetPlan.TrafficClassPlan trafficClass;
        final Listener listener;
        final int manager;
        final double grantMb;
        int priority;
        private double totalWork;
        private double remainingWork;

        /** Work done per tick; below 0 marks blocked attempts while the rates are computed. */
        private double rate;

        private boolean waitingForMemory;
        private boolean ended;

        public RunningAttempt(
                GeneratedRequest request,
                FleetPlan.TrafficClassPlan trafficClass,
                Listener listener,
                int manager,
                double grantMb,
                int priority) {
            this.request = request;
            this.manager = manager;
            this.trafficClass = trafficClass;
            this.listener = listener;
            this.grantMb = grantMb;
            this.priority = priority;
        }
    }

    private final int number;
    private final FleetPlan.Engines engineType;
    private final EventQueue events;
    private final RandomGenerator random;
    private final RuleChecker rules;
    private final FleetPlan.Rules planRules;
    private final double speed;
    private final double threadsPerCoreKnee;
    private final double thrashing;
    private final double spillCost;
    private final long warmUpDuration;
    private final List<RunningAttempt> running = new ArrayList<>();
    private final List<RunningAttempt> memoryQueue = new ArrayList<>();
    private final Map<Integer, RunningAttempt> tableLoads = new LinkedHashMap<>();
    private final List<Integer> warmTableGroups = new ArrayList<>();

    /** Attempts that arrived within the overload window. */
    private final ArrayDeque<Arrival> recentArrivals = new ArrayDeque<>();

    private State state = State.UP;
    private double reservedMb;
    private long advancedTo;
    private long startedAt;
    private int scheduleVersion;
    private double slowdownFactor = 1;

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
        planRules = plan.rules();
        random = streams.stream("engine", number);
        RandomGenerator traitRandom = streams.stream("engine-nature", number);
        speed = engineType.speed().draw(traitRandom);
        threadsPerCoreKnee = engineType.threadsPerCoreKnee().draw(traitRandom);
        thrashing = engineType.thrashing().draw(traitRandom);
        spillCost = engineType.spillCost().draw(traitRandom);
        warmUpDuration = engineType.warmUpDuration().drawTime(traitRandom);
    }

    public int number() {
        return number;
    }

    public State state() {
        return state;
    }

    /** Returns the time of the last start in ticks; 0 if long ago. */
    public long startedAt() {
        return startedAt;
    }

    /** Returns the number of attempts that wait for memory. */
    public int memoryQueueLength() {
        return memoryQueue.size();
    }

    private int sessions() {
        return running.size() + memoryQueue.size();
    }

    /** Sets the factor by which all work takes longer; 1 is normal. */
    void setSlowdown(double factor) {
        advance();
        slowdownFactor = factor;
        reschedule();
    }

    /**
     * Changes the state. An engine that goes down or silent loses all its attempts. Their senders
     * learn of the loss, by a broken connection, only if the engine goes down. An engine that comes
     * up again is cold, unless it only hung.
     */
    public void setState(State newState) {
        advance();
        boolean losesAttempts = newState == State.DOWN || newState == State.SILENT;
        boolean restarts = newState == State.UP && state != State.UP && state != State.HANGING;
        state = newState;
        if (losesAttempts) {
            List<RunningAttempt> lostAttempts = new ArrayList<>(running);
            lostAttempts.addAll(memoryQueue);
            running.clear();
            memoryQueue.clear();
            tableLoads.clear();
            warmTableGroups.clear();
            reservedMb = 0;
            for (RunningAttempt attempt : lostAttempts) {
                attempt.ended = true;
                rules.onRunEnded(attempt.request);
                if (newState == State.DOWN) {
                    attempt.listener.onEnded(attempt, AttemptOutcome.CONNECTION_LOST);
                }
            }
        }
        if (restarts) {
            startedAt = events.now();
            recentArrivals.clear();
        }
        reschedule();
    }

    /** Makes the engine cold as of now; its attempts continue. */
    void makeCold() {
        advance();
        startedAt = events.now();
        recentArrivals.clear();
        warmTableGroups.clear();
        reschedule();
    }

    /** Returns the share of its full capacity that the engine has at its present age. */
    private double capacityShare() {
        long age = events.now() - startedAt;
        return startedAt == 0 || age >= warmUpDuration
                ? 1
                : engineType.initialCapacityShare()
                        + (1 - engineType.initialCapacityShare()) * age / warmUpDuration;
    }

    /**
     * Accepts an attempt, which runs at once or waits for memory. An engine that is down, draining
     * or out of sessions ends the attempt at once; a silent or hanging one never reports on it.
     */
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
        if (engineType.grants() && reservedMb + attempt.grantMb > engineType.memoryMb()) {
            attempt.waitingForMemory = true;
            memoryQueue.add(attempt);
        } else {
            begin(attempt);
        }
        scheduleProgress(attempt);
        reschedule();
    }

    /**
     * Records the work of an arriving attempt, and takes a cold engine down if the work of the
     * overload window is too much for it. Refused attempts count too; attempts from before the
     * engine's start do not.
     */
    private void recordArrival(RunningAttempt attempt) {
        long now = events.now();
        recentArrivals.add(
                new Arrival(
                        now, attempt, rules.knowsEngineStart(attempt.manager, number, startedAt)));
        while (recentArrivals.peek().at < now - planRules.overloadWindow()) {
            recentArrivals.poll();
        }
        double share = capacityShare();
        if (share < 1 && planRules.overloadMultiple() > 0 && state == State.UP) {
            double sentWork = arrivedWork(arrival -> true);
            double informedWork = arrivedWork(Arrival::managerKnewOfStart);
            if (sentWork
                    > planRules.overloadMultiple()
                            * share
                            * engineType.cores()
                            * speed
                            * BUSY_SHARE_AT_CAPACITY
                            * planRules.overloadWindow()
                            * OVERLOAD_TOLERANCE) {
                if (informedWork >= sentWork * MIN_SHARE_OF_INFORMED_MANAGERS) {
                    // The report says how much of the work came from managers killed in the
                    // meantime, and how much from managers that knew of the start.
                    rules.onColdEngineOverloaded(
                            number,
                            now,
                            String.format(
                                    Locale.ROOT,
                                    "%.0f%% of the work in the window came from manager"
                                        + " incarnations that had ended, %.0f%% from managers that"
                                        + " knew of its start, %d ms earlier",
                                    100
                                            * arrivedWork(
                                                    arrival ->
                                                            !arrival.attempt.listener
                                                                    .isSenderAlive())
                                            / sentWork,
                                    100 * informedWork / sentWork,
                                    (now - startedAt) / 10));
                }
                setState(State.DOWN);
            }
        }
    }

    private double arrivedWork(Predicate<Arrival> included) {
        return recentArrivals.stream()
                .filter(included)
                .mapToDouble(arrival -> arrival.attempt.trafficClass.work())
                .sum();
    }

    private void begin(RunningAttempt attempt) {
        reservedMb += engineType.grants() ? attempt.grantMb : 0;
        boolean isWarm = warmTableGroups.remove((Integer) attempt.request.tableGroup);
        warmTableGroups.add(0, attempt.request.tableGroup);
        while (warmTableGroups.size() > engineType.warmTableGroups()) {
            warmTableGroups.remove(warmTableGroups.size() - 1);
        }
        double missingMemoryShare =
                engineType.grants()
                        ? Math.max(0, 1 - attempt.grantMb / attempt.request.memoryMb)
                        : 0;
        double badPlanFactor =
                random.nextDouble() < attempt.trafficClass.badPlanShare()
                        ? 8 + 17 * random.nextDouble()
                        : 1;
        attempt.totalWork =
                attempt.request.work
                        * badPlanFactor
                        * (1 + spillCost * missingMemoryShare)
                        * (1
                                - (isWarm
                                        ? attempt.trafficClass.ioShare()
                                                * engineType.warmTableGain()
                                        : 0));
        attempt.remainingWork = attempt.totalWork;
        running.add(attempt);
        if (missingMemoryShare > 0) {
            attempt.listener.onProgress(
                    attempt,
                    AttemptProgress.Kind.SPILLING,
                    missingMemoryShare * attempt.request.memoryMb);
        }
    }

    /** Returns whether the attempt has to wait while another one loads its table group. */
    private boolean isBlockedByTableLoad(RunningAttempt attempt) {
        if (!attempt.trafficClass.blockedByTableLoads() && !attempt.trafficClass.tableLoad()) {
            return false;
        }
        RunningAttempt load = tableLoads.get(attempt.request.tableGroup);
        return load != null && load != attempt;
    }

    /** Advances all running attempts to the present time at their current rates. */
    private void advance() {
        long elapsed = events.now() - advancedTo;
        advancedTo = events.now();
        if (elapsed > 0) {
            for (RunningAttempt attempt : running) {
                attempt.remainingWork -= attempt.rate * elapsed;
            }
        }
    }

    /**
     * Ends finished attempts, recomputes the rates of all others and schedules the next end. Called
     * after every change that affects the rates.
     */
    private void reschedule() {
        endFinished();
        if (state == State.HANGING || state == State.SILENT || state == State.DOWN) {
            scheduleVersion++;
            return;
        }
        for (RunningAttempt attempt : running) {
            if (attempt.trafficClass.tableLoad()) {
                tableLoads.putIfAbsent(attempt.request.tableGroup, attempt);
            }
        }
        double threads = 0;
        double totalWeight = 0;
        for (RunningAttempt attempt : running) {
            boolean blocked = isBlockedByTableLoad(attempt);
            attempt.rate = blocked ? -1 : 0;
            threads += blocked ? 0 : attempt.trafficClass.threads();
            totalWeight += blocked ? 0 : weight(attempt) * attempt.trafficClass.threads();
        }
        double excessThreads = Math.max(0, threads / (engineType.cores() * threadsPerCoreKnee) - 1);
        double capacity =
                engineType.cores()
                        * speed
                        * capacityShare()
                        / slowdownFactor
                        / (1 + thrashing * excessThreads);
        distribute(capacity, totalWeight);
        double ioCapacity = engineType.disks() * engineType.cores() * capacityShare();
        double ioDemand = 0;
        for (RunningAttempt attempt : running) {
            ioDemand += attempt.rate > 0 ? attempt.rate * attempt.trafficClass.ioShare() : 0;
        }
        double ioSlowdown = Math.max(1, ioDemand / ioCapacity);
        double ticksToNextEnd = Double.MAX_VALUE;
        for (RunningAttempt attempt : running) {
            attempt.rate =
                    attempt.rate <= 0
                            ? 0
                            : attempt.rate
                                    / (1
                                            - attempt.trafficClass.ioShare()
                                            + attempt.trafficClass.ioShare() * ioSlowdown);
            ticksToNextEnd =
                    attempt.rate > 0
                            ? Math.min(ticksToNextEnd, attempt.remainingWork / attempt.rate)
                            : ticksToNextEnd;
        }
        int ownVersion = ++scheduleVersion;
        if (ticksToNextEnd < Double.MAX_VALUE) {
            // The capacity of a cold engine grows with its age, so its rates are recomputed at
            // least every 500 ms.
            long delay =
                    (long)
                            Math.ceil(
                                    capacityShare() < 1
                                            ? Math.min(ticksToNextEnd, 5_000)
                                            : ticksToNextEnd);
            events.schedule(
                    Math.max(1, delay),
                    () -> {
                        if (ownVersion == scheduleVersion) {
                            advance();
                            reschedule();
                        }
                    });
        }
    }

    /**
     * Distributes the capacity to the unblocked attempts by weight, to each at most its number of
     * threads. A second round distributes what attempts at their maximum could not use.
     */
    private void distribute(double capacity, double totalWeight) {
        double remaining = capacity;
        for (int round = 0; round < 2 && remaining > 1e-9 && totalWeight > 0; round++) {
            double assigned = 0;
            double openWeight = 0;
            for (RunningAttempt attempt : running) {
                if (attempt.rate >= 0 && attempt.rate < attempt.trafficClass.threads()) {
                    double share =
                            Math.min(
                                    attempt.trafficClass.threads() - attempt.rate,
                                    remaining
                                            * weight(attempt)
                                            * attempt.trafficClass.threads()
                                            / totalWeight);
                    attempt.rate += share;
                    assigned += share;
                    openWeight +=
                            attempt.rate < attempt.trafficClass.threads()
                                    ? weight(attempt) * attempt.trafficClass.threads()
                                    : 0;
                }
            }
            remaining -= assigned;
            totalWeight = openWeight;
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
        reservedMb =
                running.isEmpty() ? 0 : reservedMb - (engineType.grants() ? attempt.grantMb : 0);
        tableLoads.remove(attempt.request.tableGroup, attempt);
    }

    /**
     * Starts attempts that waited for memory while their grants fit, by priority and then in order
     * of arrival. An idle engine starts the first one even if its grant exceeds the memory.
     */
    private void admit() {
        while (!memoryQueue.isEmpty()) {
            RunningAttempt next = memoryQueue.get(0);
            for (RunningAttempt attempt : memoryQueue) {
                next = attempt.priority > next.priority ? attempt : next;
            }
            if (reservedMb + next.grantMb > engineType.memoryMb() && !running.isEmpty()) {
                return;
            }
            memoryQueue.remove(next);
            next.waitingForMemory = false;
            begin(next);
        }
    }

    /** Sets the priority of an attempt that has not ended. */
    public void setPriority(RunningAttempt attempt, int priority) {
        if (!attempt.ended && attempt.priority != priority) {
            advance();
            attempt.priority = priority;
            reschedule();
        }
    }

    /** Cancels an attempt; the work done for it is lost. */
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
                            double doneShare = 1 - attempt.remainingWork / attempt.totalWork;
                            attempt.listener.onProgress(
                                    attempt,
                                    AttemptProgress.Kind.FRACTION_DONE,
                                    Math.max(
                                            0,
                                            Math.min(
                                                    1,
                                                    doneShare
                                                            * (0.85 + 0.3 * random.nextDouble()))));
                        }
                        reschedule();
                    }
                    scheduleProgress(attempt);
                });
    }
}
