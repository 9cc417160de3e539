package firstage.server.client;

import firstage.server.Counters;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Index of the clients' requests that are not released yet, by poll path and by id, and the memory
 * that they use. Owned by the I/O thread.
 */
final class PendingCalls {
    private final Counters counters;
    private final long maxKeptBytes;
    private final SpentRequestIds spentRequestIds;
    private final Map<String, PendingCall> byPollPath = new HashMap<>();

    /** Ids of the requests that are neither answered nor released. */
    private final Set<String> openRequestIds = new HashSet<>();

    /** Total size of the statements and answers that are kept for clients. */
    private long keptBytes;

    private long acceptedCount;
    private int unansweredCount;

    PendingCalls(Counters counters, long maxKeptBytes, int maxSpentIds) {
        this.counters = counters;
        this.maxKeptBytes = maxKeptBytes;
        spentRequestIds = new SpentRequestIds(counters, maxSpentIds);
    }

    /** Returns whether the request with this id is neither answered nor released. */
    boolean isOpen(String requestId) {
        return openRequestIds.contains(requestId);
    }

    /** Returns whether a request with this id is over and may have run, as far as is known. */
    boolean isSpent(String requestId) {
        return spentRequestIds.contains(requestId);
    }

    /** Returns whether this many additional bytes may be kept. */
    boolean hasCapacity(int bytes) {
        return keptBytes + bytes <= maxKeptBytes;
    }

    /** Returns whether all requests are answered or released. */
    boolean allAnswered() {
        return unansweredCount == 0;
    }

    /** Returns a new path at which the client of a request may poll. */
    String newPollPath(String requestId) {
        return ClientProtocol.POLL_PATH_PREFIX + acceptedCount++ + "-" + requestId;
    }

    /** Returns the call that is polled at this path, if there is one. */
    Optional<PendingCall> find(String pollPath) {
        return Optional.ofNullable(byPollPath.get(pollPath));
    }

    /** Adds the call of an accepted request, whose statement has this many bytes. */
    void add(PendingCall call, int statementBytes) {
        openRequestIds.add(call.id());
        byPollPath.put(call.path(), call);
        addKeptBytes(statementBytes);
        unansweredCount++;
    }

    /** Records that the answer was sent, or that the client needs none any more. */
    void onSettled(PendingCall call) {
        openRequestIds.remove(call.id());
        if (call.mayHaveRun()) {
            spentRequestIds.add(call.id(), call.mayRunAgain());
        }
        unansweredCount--;
    }

    /** Removes a call whose client does not poll any more. */
    void release(PendingCall call, boolean answerSent) {
        if (byPollPath.remove(call.path(), call)) {
            addKeptBytes(-call.keptBytes());
            if (!answerSent) {
                onSettled(call);
            }
        }
    }

    /** Adds {@code change}, negative if bytes are released, to the number of kept bytes. */
    void addKeptBytes(int change) {
        keptBytes += change;
        counters.recordMax("max bytes kept for clients", keptBytes);
        counters.checkInvariant(
                keptBytes >= 0 && (keptBytes == 0 || !byPollPath.isEmpty()),
                "bytes are kept for calls that are open");
    }
}
