package firstage.server;

import firstage.lifecycle.DepartureMonitor;
import java.util.ArrayList;
import java.util.List;
import org.xnio.XnioExecutor;

/**
 * State of a request that its client's side and the engines' side share. The statement is kept as
 * the bytes that arrived, as it is forwarded unchanged. Owned by the I/O thread; times are ticks.
 */
public final class RequestExchange {
    /** Answers the client. At most one of the methods is called, once. */
    public interface ResponseActions {
        void respondSucceeded(List<byte[]> pages);

        void respondRejected(long retryAfter);

        void respondFailed();
    }

    /** Determines whether the client is still there. */
    public interface ClientPresence {
        /**
         * Reads all pending input of the client's connection, so that the end of the connection is
         * noticed.
         *
         * @return when the client was last known to be there: {@code now} while it waits for an
         *     answer on an open connection
         */
        long confirm(long now);
    }

    /** An attempt in flight. */
    public interface AttemptHandle {
        int number();

        int engine();

        void updatePriority(int priority);

        /**
         * Abandons the attempt, which ends with the outcome that belongs to the reason once the
         * engine has answered the DELETE or has failed to do so in time.
         */
        void abandon(AbandonReason reason);
    }

    /** Maximum length of an ordering key in the log; keys come from clients. */
    private static final int MAX_LOGGED_KEY_LENGTH = 64;

    public final String id;
    public final String trafficClass;
    public final byte[] statement;

    /** The client's deadline. */
    public final long deadline;

    public final List<AttemptHandle> attemptsInFlight = new ArrayList<>();

    /** Index of the request at the scheduler; -1 before the request is delivered to it. */
    public int requestIndex = -1;

    /** Ordering key; null if the request has none. */
    public String orderingKey;

    /** Age of the client's connection when the request was read, in ms. */
    public long connectionAgeMs;

    /** Timer that runs at the deadline. */
    public XnioExecutor.Key deadlineTimer;

    public int attemptsStarted;
    public int grantMb;
    public int priority = 1;

    /** Whether the client may be gone; nothing is sent for it then. */
    public boolean clientAbsent;

    /** Monitor that checks that nothing is sent for a client that left. */
    final DepartureMonitor departureMonitor = new DepartureMonitor();

    private final ResponseActions response;
    private final ClientPresence client;
    private boolean settled;

    /** Number of attempts that were sent and are not known never to have run. */
    private int possibleExecutions;

    public RequestExchange(
            String id,
            String trafficClass,
            byte[] statement,
            long deadline,
            ResponseActions response,
            ClientPresence client) {
        this.id = id;
        this.trafficClass = trafficClass;
        this.statement = statement;
        this.deadline = deadline;
        this.response = response;
        this.client = client;
    }

    /** Returns the request's id, class and ordering key for the log. */
    public String describe() {
        return "request=" + id + " class=" + trafficClass + " key=" + loggedKey();
    }

    private String loggedKey() {
        if (orderingKey == null) {
            return "-";
        }
        return orderingKey.substring(0, Math.min(orderingKey.length(), MAX_LOGGED_KEY_LENGTH));
    }

    /** Abandons all attempts in flight; each ends with the outcome that belongs to the reason. */
    public void abandonAttempts(AbandonReason reason) {
        for (AttemptHandle attempt : List.copyOf(attemptsInFlight)) {
            attempt.abandon(reason);
        }
    }

    /** Records that the statement of an attempt is being written to an engine. */
    public void onStatementWritten() {
        possibleExecutions++;
    }

    /** Records that an attempt whose statement was written never ran. */
    public void onAttemptNeverRan() {
        possibleExecutions--;
    }

    /** Returns whether an engine may have run the request, or may still run it. */
    public boolean mayHaveRun() {
        return possibleExecutions > 0;
    }

    /** Returns whether the client has its answer or gets none. */
    public boolean isSettled() {
        return settled;
    }

    /** Records that the client polls again, so it has not left. */
    public void onClientReturned() {
        departureMonitor.onClientReturned();
    }

    /** Confirms the client's presence; see {@link ClientPresence#confirm}. */
    long confirmClient(long now) {
        return client.confirm(now);
    }

    /** Records that the client left; it gets no answer. */
    public void onClientGone() {
        settled = true;
    }

    /** Answers the request with a result unless it is settled; returns whether it did so. */
    public boolean succeed(List<byte[]> pages) {
        boolean firstAnswer = !settled;
        settled = true;
        if (firstAnswer) {
            response.respondSucceeded(pages);
        }
        return firstAnswer;
    }

    /** Rejects the request unless it is settled; returns whether it did so. */
    public boolean reject(long retryAfter) {
        boolean firstAnswer = !settled;
        settled = true;
        if (firstAnswer) {
            response.respondRejected(retryAfter);
        }
        return firstAnswer;
    }

    /** Answers that the request failed unless it is settled; returns whether it did so. */
    public boolean fail() {
        boolean firstAnswer = !settled;
        settled = true;
        if (firstAnswer) {
            response.respondFailed();
        }
        return firstAnswer;
    }
}
