package firstage.lab;

import java.util.PriorityQueue;

/** Virtual time in tenths of a millisecond: what is due first happens first; of two due at once, the one set first. */
public final class Calendar {
    private record Entry(long due, long order, Runnable what) implements Comparable<Entry> {
        @Override
        public int compareTo(Entry other) {
            return due != other.due ? Long.compare(due, other.due) : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Entry> entries = new PriorityQueue<>();
    private long now;
    private long order;

    public Calendar(long start) {
        now = start;
    }

    public long now() {
        return now;
    }

    public void in(long delay, Runnable what) {
        entries.add(new Entry(now + Math.max(0, delay), order++, what));
    }

    /** Plays until this moment, or until nothing is due; returns how much happened. */
    public long play(long until) {
        long happened = 0;
        while (!entries.isEmpty() && entries.peek().due <= until) {
            Entry next = entries.poll();
            now = next.due;
            next.what.run();
            happened++;
        }
        now = Math.max(now, until);
        return happened;
    }
}
