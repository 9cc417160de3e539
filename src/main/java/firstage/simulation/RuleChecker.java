package firstage.simulation;

import firstage.policy.api.AttemptOutcome;
import firstage.policy.api.TrafficClass.Effect;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The rules, by what crosses between managers, engines and clients; it never asks what a manager
 * remembers. What it can see of each: 1 one answer for each try, in time; 2 once-only batches at
 * engines once, pushed back only while none may have run, referenced ones within their window; 3
 * nothing to an engine past the grace after its drain was told; 4 no cold engine pushed over; 5 one
 * at a time and in turn for each key and manager, with its rest. A fleet file states neither places
 * (6) nor a budget (7).
 */
public final class RuleChecker {
    private static final long SLACK = 200;
    private static final int KEPT = 20;

    /** One try of a batch at one manager. */
    public static final class Try {
        public final TrueRequest is;
        public final int manager;
        public final long notAfter;
        private int answers;
        private boolean nobodys;
        private int out;
        private boolean mayHaveRun;
        private long firstRan = -1;
        private boolean sent;
        private long excused;
        private long overtakenAt;

        public Try(TrueRequest is, int manager, long notAfter) {
            this.is = is;
            this.manager = manager;
            this.notAfter = notAfter;
        }

        /** Whether its manager's life ended, or it never came to one. */
        public boolean nobodys() {
            return nobodys;
        }

        /** Whether a dispatch of it was seen. */
        public boolean sent() {
            return sent;
        }

        /** Its manager was stopped: so much later its answer may come. */
        public void excuse(long by) {
            excused = Math.max(excused, by);
        }

        public boolean excused() {
            return excused > 0;
        }

        public int answers() {
            return answers;
        }
    }

    private static final class Key {
        private final List<Try> open = new ArrayList<>();
        private Try running;
        private long restUntil;
    }

    private final FleetPlan plan;
    private final long slack;
    private final long sent;
    private final List<String> broken = new ArrayList<>();
    private long count;
    private final Map<Long, Integer> runs = new HashMap<>();
    private final List<Map<Integer, Key>> keys = new ArrayList<>();

    /** By manager and engine, when it was told of a drain or an end; absent while it is up. */
    private final List<Map<Integer, Long>> drains = new ArrayList<>();

    private final List<Map<Integer, Long>> starts = new ArrayList<>();

    RuleChecker(FleetPlan plan) {
        this(plan, SLACK, 0);
    }

    /**
     * {@code slack} for answers, {@code sent} for what is seen at engines after it was sent; both
     * tenths of ms.
     */
    public RuleChecker(FleetPlan plan, long slack, long sent) {
        this.plan = plan;
        this.slack = slack;
        this.sent = sent;
        for (int m = 0; m < plan.managers().count(); m++) {
            keys.add(new HashMap<>());
            drains.add(new HashMap<>());
            starts.add(new HashMap<>());
        }
    }

    public void took(Try t) {
        if (t.is.key >= 0) {
            keys.get(t.manager).computeIfAbsent(t.is.key, k -> new Key()).open.add(t);
        }
    }

    public void listed(long now, int manager, int engine, boolean up) {
        if (up) {
            drains.get(manager).remove(engine);
        } else {
            drains.get(manager).putIfAbsent(engine, now);
        }
    }

    /** The list told this manager when an engine last started. */
    public void toldStart(int manager, int engine, long since) {
        starts.get(manager).merge(engine, since, Math::max);
    }

    boolean knowsStart(int manager, int engine, long since) {
        return starts.get(manager).getOrDefault(engine, 0L) >= since;
    }

    /** It never came to a manager, or to none that lives. */
    public void untaken(Try t) {
        t.nobodys = true;
        Key key = t.is.key >= 0 ? keys.get(t.manager).get(t.is.key) : null;
        if (key != null) {
            key.open.remove(t);
        }
    }

    /** What it held is no duty of anybody's. */
    public void killed(int manager, Iterable<Try> held) {
        held.forEach(t -> t.nobodys = true);
        keys.get(manager).clear();
        drains.get(manager).clear();
    }

    public void dispatched(long now, Try t, int engine) {
        dispatched(now, t, engine, false);
    }

    /**
     * {@code held}: the way may have kept it back; when it was sent is not known, only that it came
     * now.
     */
    public void dispatched(long now, Try t, int engine, boolean held) {
        Effect effect = plan.groups().get(t.is.group).effect();
        if (t.answers > 0 && !held) {
            breaks(now, 1, t, "sent after its answer");
        }
        if (effect == Effect.NON_IDEMPOTENT && (t.mayHaveRun || t.out > 0)) {
            breaks(now, 2, t, "sent again, and may have run");
        }
        if (effect == Effect.IDEMPOTENT_WITH_KEY
                && t.firstRan >= 0
                && now > t.firstRan + plan.groups().get(t.is.group).window()) {
            breaks(now, 2, t, "sent again past its window");
        }
        Long drain = drains.get(t.manager).get(engine);
        if (drain != null && !held && now > drain + plan.rules().drainGrace() + sent) {
            breaks(
                    now,
                    3,
                    t,
                    "sent to engine "
                            + engine
                            + ", whose drain was told "
                            + (now - drain) / 10
                            + " ms before");
        }
        t.out++;
        t.sent = true;
        t.firstRan = t.firstRan < 0 ? now : t.firstRan;
        Key key = t.is.key >= 0 && !t.nobodys ? keys.get(t.manager).get(t.is.key) : null;
        if (key != null) {
            if (key.running != null && key.running != t) {
                breaks(now, 5, t, "sent while batch " + key.running.is.id + " of its key is out");
            } else if (sent == 0 && (key.open.isEmpty() || key.open.get(0) != t)) {
                breaks(now, 5, t, "sent out of turn");
            }
            // Where answers are seen later than statements, one that is on its way is no break.
            key.open.stream()
                    .takeWhile(a -> a != t)
                    .filter(a -> a.overtakenAt == 0)
                    .forEach(a -> a.overtakenAt = now);
            if (key.running == null && now < key.restUntil && t.firstRan == now) {
                breaks(now, 5, t, "sent while its key rests");
            }
            key.running = t;
        }
    }

    public void ended(long now, Try t, AttemptOutcome how) {
        t.out--;
        t.mayHaveRun |= how.mayHaveRun;
        if (!how.mayHaveRun && !t.mayHaveRun && t.out == 0) {
            t.firstRan = -1;
        }
        Key key = t.is.key >= 0 ? keys.get(t.manager).get(t.is.key) : null;
        if (key != null && t.out == 0 && key.running == t) {
            key.running = null;
            if (how == AttemptOutcome.TIMED_OUT
                    || how == AttemptOutcome.CONNECTION_LOST
                    || how == AttemptOutcome.CANCELLED) {
                key.restUntil = now + plan.rules().keyRest();
            }
        }
    }

    public void answered(long now, Try t, boolean pushedBack) {
        if (++t.answers > 1) {
            breaks(now, 1, t, "answered twice");
        }
        if (sent > 0 && t.overtakenAt > 0 && now > t.overtakenAt + sent) {
            breaks(
                    now,
                    5,
                    t,
                    "overtaken by a later one of its key, and answered "
                            + (now - t.overtakenAt) / 10
                            + " ms after that");
        }
        if (now > t.notAfter + slack + t.excused) {
            breaks(now, 1, t, "answered " + (now - t.notAfter) / 10 + " ms late");
        }
        if (pushedBack
                && plan.groups().get(t.is.group).effect() == Effect.NON_IDEMPOTENT
                && (t.mayHaveRun || t.out > 0)) {
            breaks(now, 2, t, "pushed back, and may have run");
        }
        Key key = t.is.key >= 0 ? keys.get(t.manager).get(t.is.key) : null;
        if (key != null) {
            key.open.remove(t);
        }
    }

    /** Its time is over and a little more; it must have its answer. */
    public void due(long now, Try t) {
        if (t.answers == 0 && !t.nobodys) {
            breaks(now, 1, t, "never answered");
        }
    }

    /** A run begins at an engine. */
    void runs(TrueRequest is, long now) {
        if (runs.merge(is.id, 1, Integer::sum) > 1
                && plan.groups().get(is.group).effect() == Effect.NON_IDEMPOTENT) {
            breaks(now, 2, new Try(is, -1, 0), "runs twice");
        }
    }

    /** A run ends there. */
    public void stops(TrueRequest is) {
        if (plan.groups().get(is.group).effect() != Effect.NON_IDEMPOTENT) {
            runs.remove(is.id);
        }
    }

    void fell(int engine, long now, String how) {
        count++;
        keep("rule 4 at " + now / 10 + " ms: cold engine " + engine + " was pushed over; " + how);
    }

    private void breaks(long now, int rule, Try t, String how) {
        count++;
        keep(
                "rule "
                        + rule
                        + " at "
                        + now / 10
                        + " ms: batch "
                        + t.is.id
                        + " at manager "
                        + t.manager
                        + " "
                        + how);
    }

    /** What a carrier sees by itself. */
    public void broken(String line) {
        count++;
        keep(line);
    }

    private void keep(String line) {
        if (broken.size() < KEPT) {
            broken.add(line);
        }
    }

    /** What broke: which rule, when, by whom; the first of them. */
    public List<String> broken() {
        return broken;
    }

    long count() {
        return count;
    }
}
