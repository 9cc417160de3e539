package firstage.server.client;

import firstage.server.Counters;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The clients' requests that are not released yet: by poll path, by id, and by the bytes that are
 * kept for them. Owned by the I/O thread.
 */
final class PendingCalls {
    private final Counters counters;
    private final long maxKeptBytes;
    private final Map<String, PendingCall> byPollPath = new HashMap<>();

    /** The ids of requests whose clients are owed an answer. */
    private final Set<String> openRequestIds = new HashSet<>();

    /** Statements and answers that are kept for clients. */
    private long keptBytes;

    private long accepted;
    private int unanswered;

    PendingCalls(Counters counters, long maxKeptBytes) {
        this.counters = counters;
        this.maxKeptBytes = maxKeptBytes;
    }

    /** Whether the request with this id is owed an answer. */
    boolean isOpen(String requestId) {
        return openRequestIds.contains(requestId);
    }

    /** Whether so many bytes more may be kept. */
    boolean hasCapacity(int bytes) {
        return keptBytes + bytes <= maxKeptBytes;
    }

    /** Whether all clients have their answers. */
    boolean allAnswered() {
        return unanswered == 0;
    }

    /** A new path at which the client of a request may poll. */
    String newPollPath(String requestId) {
        return ClientProtocol.POLL_PATH_PREFIX + accepted++ + "-" + requestId;
    }

    /** The call that is polled at this path. */
    Optional<PendingCall> find(String pollPath) {
        return Optional.ofNullable(byPollPath.get(pollPath));
    }

    /** A request was accepted, with a statement of so many bytes. */
    void add(PendingCall call, int statementBytes) {
        openRequestIds.add(call.id());
        byPollPath.put(call.path(), call);
        addKeptBytes(statementBytes);
        unanswered++;
    }

    /** The client's answer was sent. */
    void onAnswerSent(PendingCall call) {
        openRequestIds.remove(call.id());
        unanswered--;
    }

    /** Nobody polls for the call any more. */
    void release(PendingCall call, boolean answerSent) {
        if (byPollPath.remove(call.path(), call)) {
            addKeptBytes(-call.keptBytes());
            if (!answerSent) {
                onAnswerSent(call);
            }
        }
    }

    /** More bytes are kept for a client, or fewer. */
    void addKeptBytes(int difference) {
        keptBytes += difference;
        counters.peak("max bytes kept for clients", keptBytes);
        counters.checkInvariant(
                keptBytes >= 0 && (keptBytes == 0 || !byPollPath.isEmpty()),
                "bytes are kept for calls that are open");
    }
}
