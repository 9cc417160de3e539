package firstage.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Who may use which part of the engines. Half of a manager's share, its floor, is its own for good.
 * The other half it uses while enough managers have lately given it their word; where a majority
 * has withdrawn that word, the others may use it, each the same fixed piece. Enough is what leaves
 * no majority without it, so any two such sets have a member in common; and that one, having given
 * its word, withdraws it only after a time longer than a word lasts, and gives it anew only after a
 * time longer than a withdrawal lasts. So the parts in use never pass the whole, in whatever order
 * messages are lost, late or doubled, and whoever is stopped or started anew.
 *
 * <p>Each word is reckoned from when the one who uses it asked, by its own clock; each wait from
 * when the one who gave it answered, by its own. Clocks must run alike to a twentieth; they need
 * not agree. A process that was stopped looks at its clock before it uses a word: {@link #share} is
 * to be asked before each dispatch. Times are tenths of a millisecond.
 */
public final class QuotaLeases {
    /** Of a manager's share that is its own for good: cut off from all, it still serves half. */
    static final double FLOOR = 0.5;

    /**
     * The least time that a word lasts: many probe rounds of a small fleet, so that loss alone
     * seldom ends it.
     */
    private static final long LEAST = 30_000;

    /** Rounds in which each is asked once: a word lasts so many. */
    private static final double ROUNDS = 1.5;

    /**
     * Clocks run alike to a twentieth; the rest is for what is between looking at a clock and
     * acting.
     */
    private static final double BETWEEN = 1.05;

    private static final long MARGIN = 1_500;
    private static final long LONG_AGO = Long.MIN_VALUE / 4;

    /**
     * Stores that this manager is about to withdraw words, so that its next life waits before it
     * gives any.
     */
    public interface Keeper {
        /** To be answered by {@link #kept} once it is on the disk. */
        void keep();
    }

    /** Faults put back one at a time. */
    public enum Fault {
        NONE,
        TOO_EARLY,
        FORGETS_ITS_LIFE_BEFORE,
        MINORITY_TAKES,
        FROM_THE_ANSWER
    }

    /** How this manager holds another. */
    private static final class Held {
        private boolean silent;
        private long givenAt = LONG_AGO;
        private long withdrawnAt = LONG_AGO;
    }

    private final int all;
    private final double part;
    private final int majority;
    private final int enough;
    private final long lasts;
    private final long wait;
    private final Fault fault;
    private final Keeper keeper;
    private final Map<String, Held> held = new HashMap<>();

    /** Until when each one's word to this manager counts. */
    private final Map<String, Long> words = new HashMap<>();

    /** By member, who withdrew its word from it, and until when that counts. */
    private final Map<String, Map<String, Long>> withdrawn = new HashMap<>();

    private final boolean lentBefore;
    private long startedAt = -1;
    private boolean asked;
    private boolean kept;
    private double share = -1;
    private long shareUntil;

    /**
     * {@code all}: how many managers there are by the settings; {@code period} between two probes
     * of one manager; {@code lentBefore}: the life before may have withdrawn words.
     */
    public QuotaLeases(int all, long period, boolean lentBefore, Keeper keeper, Fault fault) {
        this(all, 1.0 / Math.max(1, all), period, lentBefore, keeper, fault);
    }

    /**
     * In a fleet of cells: {@code all} in this manager's cell, {@code part} of each engine that is
     * its own. Words are among those of a cell only, so their length and their majority do not grow
     * with the fleet.
     */
    public QuotaLeases(
            int all, double part, long period, boolean lentBefore, Keeper keeper, Fault fault) {
        this.all = Math.max(1, all);
        this.part = part;
        this.lentBefore = lentBefore && fault != Fault.FORGETS_ITS_LIFE_BEFORE;
        this.keeper = keeper;
        this.fault = fault;
        majority = this.all / 2 + 1;
        enough = this.all - majority + 1;
        lasts = Math.max(LEAST, (long) (ROUNDS * this.all * period));
        wait = fault == Fault.TOO_EARLY ? 0 : (long) (lasts * BETWEEN) + MARGIN;
    }

    private void begin(long now) {
        startedAt = startedAt < 0 ? now : startedAt;
    }

    /**
     * Whether so long after its start it may do what its life before may have done the opposite of.
     */
    private boolean settled(long now) {
        return now - startedAt > wait || fault == Fault.FORGETS_ITS_LIFE_BEFORE;
    }

    private Held of(String name) {
        return held.computeIfAbsent(name, n -> new Held());
    }

    /** The membership's word on another: gone or left, or here. */
    public void silent(long now, String name, boolean is) {
        begin(now);
        of(name).silent = is;
        share = -1;
    }

    /** What {@link Keeper#keep} was asked for is done. */
    public void kept() {
        kept = true;
    }

    /** Whether an answer to this member carries this manager's word; asked for each answer. */
    boolean grants(long now, String name) {
        begin(now);
        Held h = of(name);
        boolean gives = !h.silent && now - h.withdrawnAt > wait && (!lentBefore || settled(now));
        h.givenAt = gives ? now : h.givenAt;
        return gives;
    }

    /** Whom this manager's word is withdrawn from; told with each answer. */
    List<String> lent(long now) {
        begin(now);
        List<String> names = new ArrayList<>();
        held.forEach(
                (name, h) -> {
                    if (h.silent && now - h.givenAt > wait && settled(now)) {
                        if (!asked) {
                            asked = true;
                            keeper.keep();
                        }
                        if (kept) {
                            h.withdrawnAt = now;
                            names.add(name);
                        }
                    }
                });
        return names;
    }

    /** An answer that came at {@code now} to what was asked at {@code asked}. */
    void answered(long now, long asked, String from, boolean grants, List<String> lent) {
        long until = (fault == Fault.FROM_THE_ANSWER ? now : asked) + lasts;
        if (grants) {
            words.merge(from, until, Math::max);
        }
        for (String name : lent) {
            withdrawn.computeIfAbsent(name, n -> new HashMap<>()).merge(from, until, Math::max);
        }
        share = -1;
    }

    /** The part of each engine that this manager may use at this moment. */
    public double share(long now) {
        if (share < 0 || now >= shareUntil) {
            reckon(now);
        }
        return share;
    }

    private void reckon(long now) {
        shareUntil = Long.MAX_VALUE;
        words.values().removeIf(until -> until <= now);
        words.values().forEach(until -> shareUntil = Math.min(shareUntil, until));
        double base = part;
        // Its own word counts for itself, and is never withdrawn.
        boolean whole = words.size() + 1 >= enough;
        share = base * (whole ? 1 : FLOOR);
        if (whole) {
            withdrawn.forEach(
                    (name, by) -> {
                        by.values().removeIf(until -> until <= now);
                        by.values().forEach(until -> shareUntil = Math.min(shareUntil, until));
                        Held mine = held.get(name);
                        boolean own = mine != null && mine.silent && now - mine.withdrawnAt < lasts;
                        if (own) {
                            shareUntil = Math.min(shareUntil, mine.withdrawnAt + lasts);
                        }
                        if (by.size() + (own ? 1 : 0)
                                >= (fault == Fault.MINORITY_TAKES ? 1 : majority)) {
                            share += base * (1 - FLOOR) / (all - 1);
                        }
                    });
            withdrawn.values().removeIf(Map::isEmpty);
        }
    }
}
