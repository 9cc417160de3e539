package firstage.simulation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Virtual time in ticks: what is due first happens first; of two due at once, the one set first.
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

    private static final class ScheduledEvent {
        private final long due;
        private final long order;
        private final Runnable action;
        private ScheduledEvent next;

        private ScheduledEvent(long due, long order, Runnable action) {
            this.due = due;
            this.order = order;
            this.action = action;
        }
    }

    private final ScheduledEvent[][] first = new ScheduledEvent[LEVELS][SLOTS];
    private final ScheduledEvent[][] last = new ScheduledEvent[LEVELS][SLOTS];
    private final long[][] filled = new long[LEVELS][SLOTS / Long.SIZE];
    private ScheduledEvent overflow;

    /** All slots before this moment are empty. */
    private long wheelPosition;

    private long now;
    private long order;
    private int size;

    public EventQueue(long start) {
        now = start;
        wheelPosition = start;
    }

    public long now() {
        return now;
    }

    /** How much is set and has not happened. */
    public int size() {
        return size;
    }

    /** Sets what is due after {@code delay}; a negative one counts as none. */
    public void schedule(long delay, Runnable action) {
        insert(new ScheduledEvent(now + Math.max(0, delay), order++, action));
        size++;
    }

    private void insert(ScheduledEvent event) {
        event.next = null;
        // The level whose slot holds it and no slot of now's turn before it: what differs from `at`
        // decides.
        long differs = event.due ^ wheelPosition;
        int level =
                differs < SLOTS
                        ? 0
                        : differs < 1L << 2 * BITS ? 1 : differs < 1L << 3 * BITS ? 2 : LEVELS;
        if (level == LEVELS) {
            event.next = overflow;
            overflow = event;
            return;
        }
        int slot = (int) (event.due >> level * BITS) & MASK;
        if (first[level][slot] == null) {
            first[level][slot] = event;
            filled[level][slot / Long.SIZE] |= 1L << slot;
        } else {
            last[level][slot].next = event;
        }
        last[level][slot] = event;
    }

    private ScheduledEvent takeSlot(int level, int slot) {
        ScheduledEvent all = first[level][slot];
        first[level][slot] = null;
        last[level][slot] = null;
        filled[level][slot / Long.SIZE] &= ~(1L << slot);
        return all;
    }

    /** The first filled slot from this one on, or -1. */
    private int nextFilledSlot(int level, int from) {
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
    public long runUntil(long until) {
        long executed = 0;
        while (size > 0 && advance(until)) {
            int slot = (int) wheelPosition & MASK;
            now = wheelPosition;
            // What is set for this very moment while it is played comes behind it, in the same
            // slot.
            while (first[0][slot] != null) {
                ScheduledEvent event = inOrder(takeSlot(0, slot));
                while (event != null) {
                    ScheduledEvent after = event.next;
                    size--;
                    executed++;
                    event.action.run();
                    event = after;
                }
            }
        }
        now = Math.max(now, until);
        return executed;
    }

    /** Moves to the next filled slot of the first level; false where nothing is due by then. */
    private boolean advance(long until) {
        while (true) {
            int slot = nextFilledSlot(0, (int) wheelPosition & MASK);
            if (slot >= 0) {
                long due = wheelPosition & ~(long) MASK | slot;
                if (due > until) {
                    return false;
                }
                wheelPosition = due;
                return true;
            }
            if (!refillFirstLevel(until)) {
                return false;
            }
        }
    }

    /** The first level is empty: its next turn is filled from the levels above. */
    private boolean refillFirstLevel(long until) {
        for (int level = 1; level < LEVELS; level++) {
            int currentSlot = (int) (wheelPosition >> level * BITS) & MASK;
            int slot = nextFilledSlot(level, currentSlot);
            if (slot >= 0) {
                long begins =
                        wheelPosition >> (level + 1) * BITS << (level + 1) * BITS
                                | (long) slot << level * BITS;
                if (begins > until) {
                    return false;
                }
                wheelPosition = Math.max(wheelPosition, begins);
                insertAll(takeSlot(level, slot));
                return true;
            }
        }
        if (overflow == null) {
            return false;
        }
        long earliest = Long.MAX_VALUE;
        for (ScheduledEvent event = overflow; event != null; event = event.next) {
            earliest = Math.min(earliest, event.due);
        }
        if (earliest > until) {
            return false;
        }
        wheelPosition = earliest;
        ScheduledEvent all = overflow;
        overflow = null;
        insertAll(all);
        return true;
    }

    private void insertAll(ScheduledEvent all) {
        for (ScheduledEvent event = all; event != null; ) {
            ScheduledEvent after = event.next;
            insert(event);
            event = after;
        }
    }

    /** What fell into one slot from two levels may stand out of order. */
    private static ScheduledEvent inOrder(ScheduledEvent all) {
        boolean inOrder = true;
        for (ScheduledEvent event = all; event.next != null; event = event.next) {
            inOrder &= event.order < event.next.order;
        }
        if (inOrder) {
            return all;
        }
        List<ScheduledEvent> list = new ArrayList<>();
        for (ScheduledEvent event = all; event != null; event = event.next) {
            list.add(event);
        }
        list.sort(Comparator.comparingLong(event -> event.order));
        for (int i = 0; i < list.size(); i++) {
            list.get(i).next = i + 1 < list.size() ? list.get(i + 1) : null;
        }
        return list.get(0);
    }
}
