package firstage.server;

import firstage.policy.api.AttemptOutcome;
import java.util.ArrayList;
import java.util.List;
import org.xnio.XnioExecutor;

/**
 * One batch between its client and the engines: all that the two sides know of each other. What
 * goes on unchanged is kept as the bytes that came.
 */
public final class RequestExchange {
    /** The client's side: exactly one of the three is called, once. */
    public interface ResponseActions {
        void respondSucceeded(List<byte[]> pages);

        void respondRejected(long retryAfter);

        void respondFailed();
    }

    /** The engines' side: a dispatch that is out. */
    public interface AttemptHandle {
        int number();

        int engine();

        void updatePriority(int priority);

        /** Ends it with this outcome, once the engine was told or can't be. */
        void abandon(AttemptOutcome outcome);
    }

    public final String id;
    public final String trafficClass;
    public final byte[] statement;

    /** When the client's time is up, on the clock of the decisions. */
    public final long deadline;

    public final List<AttemptHandle> attemptsInFlight = new ArrayList<>();

    /** Its index, as the decisions know it. */
    public int requestIndex = -1;

    /** Its key, or null: others with the same may wait for it to be over. */
    public String orderingKey;

    /** How old its client's connection was when it was read, in ms. */
    public long connectionAgeMs;

    /** Rings when the client's time is up. */
    public XnioExecutor.Key deadlineTimer;

    public int attemptsStarted;
    public int grantMb;
    public int priority = 1;

    /** Its client may be gone: nothing is to be sent for it. */
    public boolean clientAbsent;

    /** Since when its client is on no line of ours; below 0 while it is. */
    private long disconnectedSince = -1;

    private final ResponseActions response;
    private boolean settled;

    public RequestExchange(
            String id,
            String trafficClass,
            byte[] statement,
            long deadline,
            ResponseActions response) {
        this.id = id;
        this.trafficClass = trafficClass;
        this.statement = statement;
        this.deadline = deadline;
        this.response = response;
    }

    /** Abandons all attempts in flight; each ends with this outcome. */
    public void abandonAttempts(AttemptOutcome outcome) {
        for (AttemptHandle attempt : List.copyOf(attemptsInFlight)) {
            attempt.abandon(outcome);
        }
    }

    /** Whether the client has its answer or is owed none. */
    public boolean isSettled() {
        return settled;
    }

    /** Its client is on no line any more; the first time counts. */
    public void clientDisconnected(long now) {
        disconnectedSince = disconnectedSince < 0 ? now : disconnectedSince;
    }

    /** Its client is on a line again. */
    public void clientConnected() {
        disconnectedSince = -1;
    }

    /** How long its client has been on no line; 0 while it is. */
    public long disconnectedFor(long now) {
        return disconnectedSince < 0 ? 0 : now - disconnectedSince;
    }

    /** The client left. */
    public void clientGone() {
        settled = true;
    }

    public boolean succeed(List<byte[]> pages) {
        boolean first = !settled;
        settled = true;
        if (first) {
            response.respondSucceeded(pages);
        }
        return first;
    }

    public boolean reject(long retryAfter) {
        boolean first = !settled;
        settled = true;
        if (first) {
            response.respondRejected(retryAfter);
        }
        return first;
    }

    public boolean fail() {
        boolean first = !settled;
        settled = true;
        if (first) {
            response.respondFailed();
        }
        return first;
    }
}
