package firstage.simulation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Virtual time in tenths of a millisecond: what is due first happens first; of two due at once, the
 * one set first.
 *
 * <p>A wheel of three levels of 1,024 slots (a slot of the first is one tenth, of the second a
 * tenth of a second, of the third 105 s), with a bit for each slot that is filled, so that setting
 * costs the same however much is set, and empty time costs next to nothing. A fleet sets mostly
 * what is due within a few seconds, and most of that happens: there a heap pays the logarithm
 * twice. What is due beyond 30 hours waits in a list.
 */
public final class EventQueue {
    private static final int BITS = 10;
    private static final int SLOTS = 1 << BITS;
    private static final int MASK = SLOTS - 1;
    private static final int LEVELS = 3;

    private static final class Entry {
        private final long due;
        private final long order;
        private final Runnable what;
        private Entry next;

        private Entry(long due, long order, Runnable what) {
            this.due = due;
            this.order = order;
            this.what = what;
        }
    }

    private final Entry[][] first = new Entry[LEVELS][SLOTS];
    private final Entry[][] last = new Entry[LEVELS][SLOTS];
    private final long[][] filled = new long[LEVELS][SLOTS / Long.SIZE];
    private Entry beyond;

    /** All slots before this moment are empty. */
    private long at;

    private long now;
    private long order;
    private int size;

    public EventQueue(long start) {
        now = start;
        at = start;
    }

    public long now() {
        return now;
    }

    /** How much is set and has not happened. */
    public int size() {
        return size;
    }

    /** Sets what is due after {@code delay}; a negative one counts as none. */
    public void in(long delay, Runnable what) {
        place(new Entry(now + Math.max(0, delay), order++, what));
        size++;
    }

    private void place(Entry e) {
        e.next = null;
        // The level whose slot holds it and no slot of now's turn before it: what differs from `at`
        // decides.
        long differs = e.due ^ at;
        int level =
                differs < SLOTS
                        ? 0
                        : differs < 1L << 2 * BITS ? 1 : differs < 1L << 3 * BITS ? 2 : LEVELS;
        if (level == LEVELS) {
            e.next = beyond;
            beyond = e;
            return;
        }
        int slot = (int) (e.due >> level * BITS) & MASK;
        if (first[level][slot] == null) {
            first[level][slot] = e;
            filled[level][slot / Long.SIZE] |= 1L << slot;
        } else {
            last[level][slot].next = e;
        }
        last[level][slot] = e;
    }

    private Entry empty(int level, int slot) {
        Entry all = first[level][slot];
        first[level][slot] = null;
        last[level][slot] = null;
        filled[level][slot / Long.SIZE] &= ~(1L << slot);
        return all;
    }

    /** The first filled slot from this one on, or -1. */
    private int next(int level, int from) {
        for (int word = from / Long.SIZE; word < SLOTS / Long.SIZE; word++) {
            long bits = filled[level][word];
            if (word == from / Long.SIZE) {
                bits &= -1L << from;
            }
            if (bits != 0) {
                return word * Long.SIZE + Long.numberOfTrailingZeros(bits);
            }
        }
        return -1;
    }

    /** Plays until this moment, or until nothing is due; returns how much happened. */
    public long play(long until) {
        long happened = 0;
        while (size > 0 && advance(until)) {
            int slot = (int) at & MASK;
            now = at;
            // What is set for this very moment while it is played comes behind it, in the same
            // slot.
            while (first[0][slot] != null) {
                Entry e = sorted(empty(0, slot));
                while (e != null) {
                    Entry after = e.next;
                    size--;
                    happened++;
                    e.what.run();
                    e = after;
                }
            }
        }
        now = Math.max(now, until);
        return happened;
    }

    /** Moves to the next filled slot of the first level; false where nothing is due by then. */
    private boolean advance(long until) {
        while (true) {
            int slot = next(0, (int) at & MASK);
            if (slot >= 0) {
                long due = at & ~(long) MASK | slot;
                if (due > until) {
                    return false;
                }
                at = due;
                return true;
            }
            if (!turn(until)) {
                return false;
            }
        }
    }

    /** The first level is empty: its next turn is filled from the levels above. */
    private boolean turn(long until) {
        for (int level = 1; level < LEVELS; level++) {
            int here = (int) (at >> level * BITS) & MASK;
            int slot = next(level, here);
            if (slot >= 0) {
                long begins =
                        at >> (level + 1) * BITS << (level + 1) * BITS
                                | (long) slot << level * BITS;
                if (begins > until) {
                    return false;
                }
                at = Math.max(at, begins);
                again(empty(level, slot));
                return true;
            }
        }
        if (beyond == null) {
            return false;
        }
        long earliest = Long.MAX_VALUE;
        for (Entry e = beyond; e != null; e = e.next) {
            earliest = Math.min(earliest, e.due);
        }
        if (earliest > until) {
            return false;
        }
        at = earliest;
        Entry all = beyond;
        beyond = null;
        again(all);
        return true;
    }

    private void again(Entry all) {
        for (Entry e = all; e != null; ) {
            Entry after = e.next;
            place(e);
            e = after;
        }
    }

    /** What fell into one slot from two levels may stand out of order. */
    private static Entry sorted(Entry all) {
        boolean inOrder = true;
        for (Entry e = all; e.next != null; e = e.next) {
            inOrder &= e.order < e.next.order;
        }
        if (inOrder) {
            return all;
        }
        List<Entry> list = new ArrayList<>();
        for (Entry e = all; e != null; e = e.next) {
            list.add(e);
        }
        list.sort(Comparator.comparingLong(e -> e.order));
        for (int i = 0; i < list.size(); i++) {
            list.get(i).next = i + 1 < list.size() ? list.get(i + 1) : null;
        }
        return list.get(0);
    }
}
