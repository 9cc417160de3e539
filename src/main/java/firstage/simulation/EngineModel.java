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
    private static final double[] WEIGHTS = {1, 4, 8, 16};
    private static final double FULL = 0.85;

    /**
     * Slack for chance on the cold budget, and the part of the work that must come from managers
     * that were told.
     */
    private static final double CHANCE = 1.1;

    private static final double TOLD = 2.0 / 3;

    private record Push(long at, Job job, boolean told) {}

    /** How it stands. */
    public enum Standing {
        UP,
        DRAINING,
        DOWN,
        SILENT,
        HANGING
    }

    /** Told of a job that is out; the way back is the listener's. */
    public interface Listener {
        void ended(Job job, AttemptOutcome how);

        void noted(Job job, AttemptProgress.Kind kind, double amount);

        /** Whether the manager that sent it still lives the life it sent it in. */
        boolean alive();
    }

    /** A dispatch that is here. */
    public static final class Job {
        public final TrueRequest is;
        final FleetPlan.Group group;
        final Listener listener;
        final int manager;
        final double grant;
        int priority;
        private double whole;
        private double left;
        private double rate;
        private boolean inLine;
        private boolean over;

        public Job(
                TrueRequest is,
                FleetPlan.Group group,
                Listener listener,
                int manager,
                double grant,
                int priority) {
            this.is = is;
            this.manager = manager;
            this.group = group;
            this.listener = listener;
            this.grant = grant;
            this.priority = priority;
        }
    }

    private final int number;
    private final FleetPlan.Engines kind;
    private final EventQueue calendar;
    private final RandomGenerator chance;
    private final RuleChecker rules;
    private final FleetPlan.Rules limits;
    private final double speed;
    private final double knee;
    private final double thrash;
    private final double spill;
    private final long warmAfter;
    private final List<Job> running = new ArrayList<>();
    private final List<Job> line = new ArrayList<>();
    private final Map<Integer, Job> loads = new LinkedHashMap<>();
    private final List<Integer> warm = new ArrayList<>();

    /** What was sent of late, within the fall window. */
    private final ArrayDeque<Push> pressure = new ArrayDeque<>();

    private Standing standing = Standing.UP;
    private double reserved;
    private long at;
    private long startedAt;
    private int turn;
    private double slower = 1;

    public EngineModel(
            int number,
            FleetPlan plan,
            EventQueue calendar,
            RandomStreams streams,
            RuleChecker rules) {
        this.number = number;
        this.kind = plan.engines();
        this.calendar = calendar;
        this.rules = rules;
        limits = plan.rules();
        chance = streams.of("engine", number);
        RandomGenerator nature = streams.of("engine-nature", number);
        speed = kind.speed().draw(nature);
        knee = kind.knee().draw(nature);
        thrash = kind.thrash().draw(nature);
        spill = kind.spill().draw(nature);
        warmAfter = kind.warmAfter().drawTime(nature);
    }

    public int number() {
        return number;
    }

    public Standing standing() {
        return standing;
    }

    /** When it last started; 0 for long ago. */
    public long startedAt() {
        return startedAt;
    }

    /** Queries that wait for memory. */
    public int waiting() {
        return line.size();
    }

    private int active() {
        return running.size() + line.size();
    }

    void slower(double times) {
        advance();
        slower = times;
        again();
    }

    /**
     * Dies, goes silent, drains or is back; with a death all that it had ends, unseen where it went
     * silent.
     */
    public void becomes(Standing next) {
        advance();
        boolean dies = next == Standing.DOWN || next == Standing.SILENT;
        boolean starts =
                next == Standing.UP && standing != Standing.UP && standing != Standing.HANGING;
        standing = next;
        if (dies) {
            List<Job> all = new ArrayList<>(running);
            all.addAll(line);
            running.clear();
            line.clear();
            loads.clear();
            warm.clear();
            reserved = 0;
            for (Job job : all) {
                job.over = true;
                rules.stops(job.is);
                if (next == Standing.DOWN) {
                    job.listener.ended(job, AttemptOutcome.CONNECTION_LOST);
                }
            }
        }
        if (starts) {
            startedAt = calendar.now();
            pressure.clear();
        }
        again();
    }

    /** Cold at this moment, with nothing else changed. */
    void cools() {
        advance();
        startedAt = calendar.now();
        pressure.clear();
        warm.clear();
        again();
    }

    /** The share of its capacity that it has. */
    private double cold() {
        long age = calendar.now() - startedAt;
        return startedAt == 0 || age >= warmAfter
                ? 1
                : kind.coldFrom() + (1 - kind.coldFrom()) * age / warmAfter;
    }

    /** A dispatch comes in. */
    public void send(Job job) {
        push(job);
        if (standing == Standing.SILENT || standing == Standing.HANGING) {
            if (standing == Standing.HANGING) {
                rules.runs(job.is, calendar.now());
            }
            return;
        }
        if (standing == Standing.DOWN) {
            job.listener.ended(job, AttemptOutcome.CONNECT_FAILED);
            return;
        }
        if (standing == Standing.DRAINING || active() >= kind.sessions()) {
            job.listener.ended(job, AttemptOutcome.REFUSED);
            return;
        }
        rules.runs(job.is, calendar.now());
        advance();
        if (kind.grants() && reserved + job.grant > kind.memoryMb()) {
            job.inLine = true;
            line.add(job);
        } else {
            begin(job);
        }
        note(job);
        again();
    }

    /**
     * All work that comes here counts, also what is refused; work that came before the start does
     * not.
     */
    private void push(Job job) {
        long now = calendar.now();
        pressure.add(new Push(now, job, rules.knowsStart(job.manager, number, startedAt)));
        while (pressure.peek().at < now - limits.fall()) {
            pressure.poll();
        }
        double share = cold();
        if (share < 1 && limits.tipMultiple() > 0 && standing == Standing.UP) {
            double sent = pressed(p -> true);
            double told = pressed(Push::told);
            if (sent
                    > limits.tipMultiple()
                            * share
                            * kind.cores()
                            * speed
                            * FULL
                            * limits.fall()
                            * CHANCE) {
                if (told >= sent * TOLD) {
                    // Who pushed it: what to look for in a report of this rule.
                    rules.fell(
                            number,
                            now,
                            String.format(
                                    Locale.ROOT,
                                    "of the work in the window %.0f%% came from lives of managers"
                                        + " that had ended, %.0f%% from managers told of its start,"
                                        + " %d ms before",
                                    100 * pressed(p -> !p.job.listener.alive()) / sent,
                                    100 * told / sent,
                                    (now - startedAt) / 10));
                }
                becomes(Standing.DOWN);
            }
        }
    }

    private double pressed(Predicate<Push> which) {
        return pressure.stream().filter(which).mapToDouble(p -> p.job.group.work()).sum();
    }

    private void begin(Job job) {
        reserved += kind.grants() ? job.grant : 0;
        boolean isWarm = warm.remove((Integer) job.is.tables);
        warm.add(0, job.is.tables);
        while (warm.size() > kind.warmGroups()) {
            warm.remove(warm.size() - 1);
        }
        double missing = kind.grants() ? Math.max(0, 1 - job.grant / job.is.memoryMb) : 0;
        double bad = chance.nextDouble() < job.group.badPlans() ? 8 + 17 * chance.nextDouble() : 1;
        job.whole =
                job.is.work
                        * bad
                        * (1 + spill * missing)
                        * (1 - (isWarm ? job.group.io() * kind.warmGain() : 0));
        job.left = job.whole;
        running.add(job);
        if (missing > 0) {
            job.listener.noted(job, AttemptProgress.Kind.SPILLING, missing * job.is.memoryMb);
        }
    }

    private boolean stands(Job job) {
        if (!job.group.yields() && !job.group.load()) {
            return false;
        }
        Job holder = loads.get(job.is.tables);
        return holder != null && holder != job;
    }

    /** Lets what runs get on by the time since. */
    private void advance() {
        long passed = calendar.now() - at;
        at = calendar.now();
        if (passed > 0) {
            for (Job job : running) {
                job.left -= job.rate * passed;
            }
        }
    }

    /** What came or went changes everybody's pace: works it out again and sets the next end. */
    private void again() {
        ends();
        if (standing == Standing.HANGING
                || standing == Standing.SILENT
                || standing == Standing.DOWN) {
            turn++;
            return;
        }
        for (Job job : running) {
            if (job.group.load()) {
                loads.putIfAbsent(job.is.tables, job);
            }
        }
        double threads = 0;
        double weights = 0;
        for (Job job : running) {
            boolean stands = stands(job);
            job.rate = stands ? -1 : 0;
            threads += stands ? 0 : job.group.threads();
            weights += stands ? 0 : weight(job) * job.group.threads();
        }
        double over = Math.max(0, threads / (kind.cores() * knee) - 1);
        double left = kind.cores() * speed * cold() / slower / (1 + thrash * over);
        share(left, weights);
        double disks = kind.disks() * kind.cores() * cold();
        double reading = 0;
        for (Job job : running) {
            reading += job.rate > 0 ? job.rate * job.group.io() : 0;
        }
        double wait = Math.max(1, reading / disks);
        double first = Double.MAX_VALUE;
        for (Job job : running) {
            job.rate = job.rate <= 0 ? 0 : job.rate / (1 - job.group.io() + job.group.io() * wait);
            first = job.rate > 0 ? Math.min(first, job.left / job.rate) : first;
        }
        int mine = ++turn;
        if (first < Double.MAX_VALUE) {
            // A cold engine gets faster by itself: it is looked at again before long.
            long due = (long) Math.ceil(cold() < 1 ? Math.min(first, 5_000) : first);
            calendar.in(
                    Math.max(1, due),
                    () -> {
                        if (mine == turn) {
                            advance();
                            again();
                        }
                    });
        }
    }

    /** By weight, each no more than its threads; what is left over goes round once more. */
    private void share(double capacity, double weights) {
        double left = capacity;
        for (int round = 0; round < 2 && left > 1e-9 && weights > 0; round++) {
            double given = 0;
            double open = 0;
            for (Job job : running) {
                if (job.rate >= 0 && job.rate < job.group.threads()) {
                    double part =
                            Math.min(
                                    job.group.threads() - job.rate,
                                    left * weight(job) * job.group.threads() / weights);
                    job.rate += part;
                    given += part;
                    open += job.rate < job.group.threads() ? weight(job) * job.group.threads() : 0;
                }
            }
            left -= given;
            weights = open;
        }
    }

    private double weight(Job job) {
        return kind.priorities() ? WEIGHTS[job.priority] : 1;
    }

    private void ends() {
        for (int i = 0; i < running.size(); i++) {
            Job job = running.get(i);
            if (job.left <= 1e-6 * job.whole + 1e-9) {
                running.remove(i--);
                leave(job);
                rules.stops(job.is);
                job.listener.ended(
                        job,
                        chance.nextDouble() < kind.errs()
                                ? AttemptOutcome.FAILED
                                : AttemptOutcome.SUCCEEDED);
            }
        }
        admit();
    }

    private void leave(Job job) {
        job.over = true;
        reserved = running.isEmpty() ? 0 : reserved - (kind.grants() ? job.grant : 0);
        loads.remove(job.is.tables, job);
    }

    /** From the line, by priority and then in turn. */
    private void admit() {
        while (!line.isEmpty()) {
            Job next = line.get(0);
            for (Job job : line) {
                next = job.priority > next.priority ? job : next;
            }
            if (reserved + next.grant > kind.memoryMb() && !running.isEmpty()) {
                return;
            }
            line.remove(next);
            next.inLine = false;
            begin(next);
        }
    }

    /** Sets a job's priority while it is here. */
    public void priority(Job job, int priority) {
        if (!job.over && job.priority != priority) {
            advance();
            job.priority = priority;
            again();
        }
    }

    /** Ends it, its work lost. */
    public void callOff(Job job) {
        if (job.over) {
            return;
        }
        advance();
        if (line.remove(job)) {
            job.over = true;
        } else if (running.remove(job)) {
            leave(job);
        }
        rules.stops(job.is);
        again();
    }

    private void note(Job job) {
        if (kind.notePace() <= 0) {
            return;
        }
        calendar.in(
                kind.notePace(),
                () -> {
                    if (job.over || standing == Standing.SILENT || standing == Standing.DOWN) {
                        return;
                    }
                    if (standing != Standing.HANGING) {
                        advance();
                        if (job.inLine) {
                            job.listener.noted(job, AttemptProgress.Kind.WAITING_FOR_MEMORY, 0);
                        } else if (stands(job)) {
                            job.listener.noted(job, AttemptProgress.Kind.WAITING_FOR_TABLE_LOAD, 0);
                        } else {
                            double share = 1 - job.left / job.whole;
                            job.listener.noted(
                                    job,
                                    AttemptProgress.Kind.FRACTION_DONE,
                                    Math.max(
                                            0,
                                            Math.min(
                                                    1,
                                                    share * (0.85 + 0.3 * chance.nextDouble()))));
                        }
                        again();
                    }
                    note(job);
                });
    }
}
