package firstage.simulation.schedule;

import firstage.lifecycle.AttemptStateMachine.EngineReply;
import firstage.simulation.EventQueue;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * A modelled engine: takes statements, holds calls for news, ends what is not asked for, drains,
 * dies, comes back.
 */
final class SimulatedEngine {
    private static final long HOLDS = 2_500;
    private static final long FORGETS = 20_000;
    private static final double ERRS = 0.02;
    private static final double TWO_PAGES = 0.2;

    enum Standing {
        UP,
        DRAINING,
        DOWN,
        MUTE
    }

    private final class Job {
        private final int id;
        private final int pages;
        private final boolean errs;
        private final long endsAt;
        private final long limit;
        private long asked;
        private boolean over;

        private Job(int id, long now, long runs, long limit) {
            this.id = id;
            this.limit = limit;
            endsAt = now + runs;
            asked = now;
            errs = chance.nextDouble() < ERRS;
            pages = chance.nextDouble() < TWO_PAGES ? 2 : 1;
        }

        private void end() {
            if (!over) {
                over = true;
                check.ends(id);
            }
        }
    }

    private final EventQueue calendar;
    private final ScheduleRuleChecker check;
    private final RandomGenerator chance;

    /** By the dispatch's mark: what runs here or ended here. */
    private final Map<Integer, Job> jobs = new HashMap<>();

    private Standing standing = Standing.UP;

    /** When the manager was told that it drains; below 0 where it was not. */
    private long drainTold = -1;

    private int lives;

    SimulatedEngine(EventQueue calendar, ScheduleRuleChecker check, RandomGenerator chance) {
        this.calendar = calendar;
        this.check = check;
        this.chance = chance;
    }

    Standing standing() {
        return standing;
    }

    void drainTold(long now) {
        drainTold = now;
    }

    long sinceDrain(long now) {
        return drainTold < 0 ? -1 : now - drainTold;
    }

    void becomes(Standing next) {
        if (next == Standing.DOWN) {
            jobs.values().forEach(Job::end);
            jobs.clear();
            lives++;
        }
        standing = next;
    }

    /** A statement came whole. */
    void post(
            int id,
            int mark,
            long sentSinceDrain,
            long grace,
            long runs,
            long limit,
            Consumer<EngineReply> answer) {
        if (standing == Standing.DOWN) {
            return;
        }
        if (standing == Standing.DRAINING && chance.nextBoolean()) {
            answer.accept(EngineReply.REFUSED);
            return;
        }
        check.runs(calendar.now(), id, sentSinceDrain, grace);
        Job job = new Job(id, calendar.now(), runs, limit);
        jobs.put(mark, job);
        forgetLater(job);
        answerOf(mark, answer);
    }

    private void forgetLater(Job job) {
        // What ended of itself is out until that is written: with nobody to ask, until its client's
        // limit.
        long due = forgottenAt(job) - calendar.now();
        calendar.in(
                Math.max(1, due),
                () -> {
                    if (job.over || calendar.now() >= forgottenAt(job)) {
                        job.end();
                    } else {
                        forgetLater(job);
                    }
                });
    }

    private long forgottenAt(Job job) {
        boolean ran = job.endsAt <= calendar.now() && job.endsAt - job.asked < FORGETS;
        return ran
                ? Math.max(Math.max(job.asked, job.endsAt) + FORGETS, job.limit)
                : job.asked + FORGETS;
    }

    void news(int mark, Consumer<EngineReply> answer) {
        if (standing == Standing.DOWN) {
            return;
        }
        Job job = jobs.get(mark);
        if (job == null) {
            answer.accept(EngineReply.FAILED);
            return;
        }
        answerOf(mark, answer);
    }

    /** Held until it ends, or for so long. */
    private void answerOf(int mark, Consumer<EngineReply> answer) {
        Job job = jobs.get(mark);
        long held = Math.min(HOLDS, Math.max(0, job.endsAt - calendar.now()));
        job.asked = calendar.now() + held;
        int life = lives;
        calendar.in(
                held,
                () -> {
                    if (life != lives) {
                        return;
                    }
                    boolean ended = job.over || calendar.now() >= job.endsAt;
                    if (ended) {
                        job.end();
                    }
                    if (ended && calendar.now() < job.endsAt) {
                        answer.accept(EngineReply.FAILED);
                    } else {
                        answer.accept(
                                !ended
                                        ? EngineReply.PROGRESS
                                        : job.errs
                                                ? EngineReply.FAILED
                                                : job.pages > 1
                                                        ? EngineReply.PAGE
                                                        : EngineReply.LAST_PAGE);
                    }
                });
    }

    void page(int mark, Consumer<EngineReply> answer) {
        if (standing != Standing.DOWN) {
            answer.accept(jobs.containsKey(mark) ? EngineReply.LAST_PAGE : EngineReply.FAILED);
        }
    }

    void delete(int mark, Runnable answer) {
        if (standing == Standing.DOWN) {
            return;
        }
        Job job = jobs.get(mark);
        if (job != null) {
            job.end();
        }
        answer.run();
    }
}
