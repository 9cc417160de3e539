package firstage.simulation.schedule;

import firstage.simulation.EventQueue;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * The one thread of a modelled manager, as hostile as the machine allows: it looks at its sockets,
 * reads what that look found in any order, stands still at any moment in between, and only then
 * looks again. A new connection takes one look to be accepted and one more to be read.
 */
final class SimulatedThread {
    private static final double STALL_BETWEEN = 0.004;
    private static final long LONGEST_STALL = 9_000;

    private static final class Waiting {
        private final Runnable then;
        private int looks = 2;

        private Waiting(Runnable then) {
            this.then = then;
        }
    }

    private final EventQueue calendar;
    private final RandomGenerator chance;
    private final ScheduleRuleChecker check;
    private final boolean stalls;
    private final boolean oneAccepted;
    private final Runnable turn;
    private List<Runnable> ready = new ArrayList<>();
    private final List<Runnable> connecting = new ArrayList<>();
    private final ArrayDeque<Runnable> found = new ArrayDeque<>();

    /** Barriers that the look under way counts for, and those asked for since it began. */
    private final List<Waiting> under = new ArrayList<>();

    private final List<Waiting> next = new ArrayList<>();
    private boolean awake;
    private boolean dead;
    private long stillUntil;

    SimulatedThread(
            EventQueue calendar,
            RandomGenerator chance,
            ScheduleRuleChecker check,
            boolean stalls,
            boolean oneAccepted,
            Runnable turn) {
        this.calendar = calendar;
        this.chance = chance;
        this.check = check;
        this.stalls = stalls;
        this.oneAccepted = oneAccepted;
        this.turn = turn;
    }

    /** The process is killed: nothing of it happens any more. */
    void die() {
        dead = true;
    }

    boolean dead() {
        return dead;
    }

    /** Something reached a socket that is open, or a timer is due. */
    void arrives(Runnable what) {
        ready.add(what);
        wake();
    }

    /** Something came on a new connection. */
    void connects(Runnable what) {
        connecting.add(what);
        wake();
    }

    /** Answered once two whole looks began after this and were read. */
    void barrier(Runnable then) {
        next.add(new Waiting(then));
        wake();
    }

    /** The process stands still. */
    void standStill(long time) {
        stillUntil = Math.max(stillUntil, calendar.now() + time);
        check.stalled(time);
    }

    private void wake() {
        if (!awake) {
            awake = true;
            calendar.in(1, this::look);
        }
    }

    private boolean still(Runnable then) {
        if (dead) {
            return true;
        }
        if (calendar.now() < stillUntil) {
            calendar.in(stillUntil - calendar.now(), then);
            return true;
        }
        return false;
    }

    private void look() {
        if (still(this::look)) {
            return;
        }
        under.addAll(next);
        next.clear();
        List<Runnable> all = ready;
        ready = new ArrayList<>();
        while (!all.isEmpty()) {
            found.add(all.remove(chance.nextInt(all.size())));
        }
        // Accepted in this look, read in the next.
        if (oneAccepted && !connecting.isEmpty()) {
            ready.add(connecting.remove(0));
        } else {
            ready.addAll(connecting);
            connecting.clear();
        }
        read();
    }

    private void read() {
        if (still(this::read)) {
            return;
        }
        while (!found.isEmpty()) {
            found.poll().run();
            if (stalls && chance.nextDouble() < STALL_BETWEEN) {
                standStill(1 + chance.nextLong(LONGEST_STALL));
                still(this::read);
                return;
            }
        }
        through();
        turn.run();
        awake = false;
        if (!ready.isEmpty() || !connecting.isEmpty() || !under.isEmpty() || !next.isEmpty()) {
            wake();
        }
    }

    private void through() {
        List<Waiting> over = under.stream().filter(w -> --w.looks == 0).toList();
        under.removeAll(over);
        over.forEach(w -> w.then.run());
    }
}
