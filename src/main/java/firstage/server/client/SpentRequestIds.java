package firstage.server.client;

import firstage.server.Counters;
import java.util.LinkedHashSet;

/**
 * The ids of the latest requests that are over and may have run, so that an id that comes again
 * starts no second attempt. Holds a limited number of ids and then forgets the oldest one with each
 * new one. Requests that may run again have a limit of their own: however many they are, they do
 * not displace the ids of those that must not. Owned by the I/O thread.
 */
final class SpentRequestIds {
    private static final int HEXADECIMAL = 16;

    private final Counters counters;
    private final int limit;
    private final LinkedHashSet<Long> idempotent = new LinkedHashSet<>();
    private final LinkedHashSet<Long> nonIdempotent = new LinkedHashSet<>();

    /**
     * Creates an empty set.
     *
     * @param limit maximum number of ids of idempotent requests, and of ids of all others
     */
    SpentRequestIds(Counters counters, int limit) {
        this.counters = counters;
        this.limit = limit;
    }

    /** Adds the id, 16 hexadecimal digits, of a request that is over and may have run. */
    void add(String requestId, boolean mayRunAgain) {
        LinkedHashSet<Long> ids = mayRunAgain ? idempotent : nonIdempotent;
        if (ids.size() >= limit) {
            ids.remove(ids.iterator().next());
            counters.count("request ids forgotten");
        }
        ids.add(parse(requestId));
        counters.recordMax("max request ids kept", idempotent.size() + nonIdempotent.size());
    }

    /** Returns whether a request with this id, 16 hexadecimal digits, may have run before. */
    boolean contains(String requestId) {
        long id = parse(requestId);
        return idempotent.contains(id) || nonIdempotent.contains(id);
    }

    private static long parse(String requestId) {
        return Long.parseUnsignedLong(requestId, HEXADECIMAL);
    }
}
