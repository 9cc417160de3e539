package firstage.membership;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * The members whose records changed and are still to be passed on. Each change goes out on a number
 * of messages that grows with the logarithm of the fleet; the newest goes first.
 */
final class GossipQueue {
    /** Times the logarithm of the fleet that a change is passed on. */
    private static final int GOSSIP_FACTOR = 4;

    /** Bounded, since invented names must not fill the memory. */
    private static final int MAX_PENDING = 4_096;

    private static final class Pending {
        private final String name;
        private int sentCount;

        private Pending(String name) {
            this.name = name;
        }
    }

    private final ArrayDeque<Pending> queue = new ArrayDeque<>();
    private final Map<String, Pending> byMember = new HashMap<>();

    /** The record of this member changed. */
    void add(String name) {
        Pending old = byMember.remove(name);
        if (old != null) {
            queue.remove(old);
        }
        if (queue.size() < MAX_PENDING) {
            Pending fresh = new Pending(name);
            queue.addFirst(fresh);
            byMember.put(name, fresh);
        }
    }

    /** How often a change is passed on in a fleet with so many peers. */
    static int sendsPerChange(int peers) {
        return (int) Math.ceil(GOSSIP_FACTOR * Math.log(peers + 2.0) / Math.log(2));
    }

    /** Adds up to so many changed records to those that a message carries. */
    void takeInto(
            List<Member> records, int room, int sendsPerChange, Function<String, Member> recordOf) {
        for (int i = 0; i < room && i < queue.size() && !queue.isEmpty(); i++) {
            Pending pending = queue.poll();
            Member entry = recordOf.apply(pending.name);
            if (!records.contains(entry)) {
                records.add(entry);
            }
            if (++pending.sentCount < sendsPerChange) {
                queue.add(pending);
            } else {
                byMember.remove(pending.name, pending);
            }
        }
    }
}
