package firstage.simulation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * A queue of events in virtual time, in ticks. Events run in the order of their due times; events
 * with the same due time run in the order in which they were scheduled.
 *
 * <p>The queue is a timing wheel of three levels with 1,024 slots each (a slot spans one tick in
 * the first level, 0.1 s in the second and 105 s in the third) and a bit for each filled slot.
 * Scheduling thus costs the same for any number of events, and empty time costs next to nothing.
 * Most events of a fleet are due within a few seconds and do run: a heap would pay its logarithmic
 * cost twice for each, to add and to remove it. Events that are due in more than 30 hours wait in a
 * list.
 */
public final class EventQueue {
    private static final int SLOT_BITS = 10;
    private static final int SLOTS = 1 << SLOT_BITS;
    private static final int SLOT_MASK = SLOTS - 1;
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

    private final ScheduledEvent[][] slotHeads = new ScheduledEvent[LEVELS][SLOTS];
    private final ScheduledEvent[][] slotTails = new ScheduledEvent[LEVELS][SLOTS];
    private final long[][] filledSlots = new long[LEVELS][SLOTS / Long.SIZE];
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
        long differingBits = event.due ^ wheelPosition;
        int level =
                differingBits < SLOTS
                        ? 0
                        : differingBits < 1L << 2 * SLOT_BITS
                                ? 1
                                : differingBits < 1L << 3 * SLOT_BITS ? 2 : LEVELS;
        if (level == LEVELS) {
            event.next = overflow;
            overflow = event;
            return;
        }
        int slot = (int) (event.due >> level * SLOT_BITS) & SLOT_MASK;
        if (slotHeads[level][slot] == null) {
            slotHeads[level][slot] = event;
            filledSlots[level][slot / Long.SIZE] |= 1L << slot;
        } else {
            slotTails[level][slot].next = event;
        }
        slotTails[level][slot] = event;
    }

    private ScheduledEvent takeSlot(int level, int slot) {
        ScheduledEvent head = slotHeads[level][slot];
        slotHeads[level][slot] = null;
        slotTails[level][slot] = null;
        filledSlots[level][slot / Long.SIZE] &= ~(1L << slot);
        return head;
    }

    /** Returns the first filled slot at or after {@code from}, or -1. */
    private int nextFilledSlot(int level, int from) {
        for (int word = from / Long.SIZE; word < SLOTS / Long.SIZE; word++) {
            long bits = filledSlots[level][word];
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
     * Runs all events that are due by {@code until}, then sets the time to it; returns the number
     * of events that ran.
     */
    public long runUntil(long until) {
        long executed = 0;
        while (size > 0 && advance(until)) {
            int slot = (int) wheelPosition & SLOT_MASK;
            now = wheelPosition;
            // Events that the running ones schedule for the same tick go into the same slot and run
            // after them.
            while (slotHeads[0][slot] != null) {
                ScheduledEvent event = inSchedulingOrder(takeSlot(0, slot));
                while (event != null) {
                    ScheduledEvent next = event.next;
                    size--;
                    executed++;
                    event.action.run();
                    event = next;
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
            int slot = nextFilledSlot(0, (int) wheelPosition & SLOT_MASK);
            if (slot >= 0) {
                long due = wheelPosition & ~(long) SLOT_MASK | slot;
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
            int currentSlot = (int) (wheelPosition >> level * SLOT_BITS) & SLOT_MASK;
            int slot = nextFilledSlot(level, currentSlot);
            if (slot >= 0) {
                long slotStart =
                        wheelPosition >> (level + 1) * SLOT_BITS << (level + 1) * SLOT_BITS
                                | (long) slot << level * SLOT_BITS;
                if (slotStart > until) {
                    return false;
                }
                wheelPosition = Math.max(wheelPosition, slotStart);
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
        ScheduledEvent head = overflow;
        overflow = null;
        insertAll(head);
        return true;
    }

    private void insertAll(ScheduledEvent head) {
        for (ScheduledEvent event = head; event != null; ) {
            ScheduledEvent next = event.next;
            insert(event);
            event = next;
        }
    }

    /**
     * Returns the events of a slot in the order in which they were scheduled: events that came from
     * different levels can be out of order.
     */
    private static ScheduledEvent inSchedulingOrder(ScheduledEvent head) {
        boolean sorted = true;
        for (ScheduledEvent event = head; event.next != null; event = event.next) {
            sorted &= event.order < event.next.order;
        }
        if (sorted) {
            return head;
        }
        List<ScheduledEvent> list = new ArrayList<>();
        for (ScheduledEvent event = head; event != null; event = event.next) {
            list.add(event);
        }
        list.sort(Comparator.comparingLong(event -> event.order));
        for (int i = 0; i < list.size(); i++) {
            list.get(i).next = i + 1 < list.size() ? list.get(i + 1) : null;
        }
        return list.get(0);
    }
}
