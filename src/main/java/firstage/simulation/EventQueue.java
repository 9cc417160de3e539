package firstage.simulation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * A queue of events in virtual time, in ticks. Events run in the order of their due times; events
 * with the same due time run in the order in which they were scheduled.
 *
 * <p>The queue is a timing wheel of three levels with 1,024 slots each (a slot spans a tick in the
 * first level, a tenth of a second in the second, 105 s in the third) and a bit for each filled
 * slot. Scheduling thus costs the same for any number of events, and empty time costs next to
 * nothing. Most events of a fleet are due within a few seconds and are run, for which a heap would
 * pay its logarithmic cost twice. Events that are due in more than 30 hours wait in a list.
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

    /** Time before which all slots are empty. */
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

    /** Returns the number of scheduled events that have not run. */
    public int size() {
        return size;
    }

    /** Schedules an action after {@code delay} ticks; a negative delay counts as 0. */
    public void schedule(long delay, Runnable action) {
        insert(new ScheduledEvent(now + Math.max(0, delay), order++, action));
        size++;
    }

    private void insert(ScheduledEvent event) {
        event.next = null;
        // The highest bit in which the due time differs from the wheel position gives the level.
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

    /** Returns the first filled slot at or after {@code from}, or -1. */
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

    /**
     * Runs all events that are due by {@code until}, then moves the time there; returns the number
     * of events that ran.
     */
    public long runUntil(long until) {
        long executed = 0;
        while (size > 0 && advance(until)) {
            int slot = (int) wheelPosition & MASK;
            now = wheelPosition;
            // Events that are scheduled for the present moment while it runs go into the same slot
            // and run after the others.
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

    /**
     * Moves the wheel to the next filled slot of the first level; returns false if no event is due
     * by {@code until}.
     */
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

    /**
     * Refills the first level, which is empty, with the next events of the levels above or of the
     * overflow list; returns false if none of those are due by {@code until}.
     */
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

    /**
     * Returns the events of a slot in the order in which they were scheduled: events that came from
     * different levels can be out of order.
     */
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
