package firstage.membership;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Queue of members whose changed records are still to be sent to peers. Each change is attached to
 * a number of messages that grows with the logarithm of the fleet size; the newest change goes
 * first.
 */
final class GossipQueue {
    /** Sends of one change as a multiple of the binary logarithm of the fleet size. */
    private static final int GOSSIP_FACTOR = 4;

    /** Maximum number of queued changes, so that forged member names can't exhaust the memory. */
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

    /**
     * Queues the changed record of a member at the front, in place of a queued older change; drops
     * it if the queue is full.
     */
    void add(String name) {
        Pending previous = byMember.remove(name);
        if (previous != null) {
            queue.remove(previous);
        }
        if (queue.size() < MAX_PENDING) {
            Pending latest = new Pending(name);
            queue.addFirst(latest);
            byMember.put(name, latest);
        }
    }

    /** Returns how many messages carry one change in a fleet with this number of peers. */
    static int sendsPerChange(int peers) {
        return (int) Math.ceil(GOSSIP_FACTOR * Math.log(peers + 2.0) / Math.log(2));
    }

    /**
     * Adds changed records to those of a message.
     *
     * @param maxRecords maximum number of changes to take
     * @param sendsPerChange number of messages after which a change leaves the queue
     */
    void takeInto(
            List<Member> records,
            int maxRecords,
            int sendsPerChange,
            Function<String, Member> recordOf) {
        for (int i = 0; i < maxRecords && i < queue.size() && !queue.isEmpty(); i++) {
            Pending pending = queue.poll();
            Member member = recordOf.apply(pending.name);
            if (!records.contains(member)) {
                records.add(member);
            }
            if (++pending.sentCount < sendsPerChange) {
                queue.add(pending);
            } else {
                byMember.remove(pending.name, pending);
            }
        }
    }
}
