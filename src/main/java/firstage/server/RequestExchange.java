package firstage.server;

import firstage.lifecycle.DepartureMonitor;
import firstage.policy.api.AttemptOutcome;
import java.util.ArrayList;
import java.util.List;
import org.xnio.XnioExecutor;

/**
 * One request between its client and the engines: what both sides know of each other. What goes on
 * unchanged is kept as the bytes that came. Owned by the I/O thread; times are ticks.
 */
public final class RequestExchange {
    /** Answers the client: one of the three is called, once. */
    public interface ResponseActions {
        void respondSucceeded(List<byte[]> pages);

        void respondRejected(long retryAfter);

        void respondFailed();
    }

    /** Knows whether the client is there. */
    public interface ClientPresence {
        /**
         * Reads what lies unread on the client's connection, so that an end of it is known.
         *
         * @return when the client was last known to be there: {@code now} while it waits for an
         *     answer on a connection that is open
         */
        long confirm(long now);
    }

    /** An attempt in flight. */
    public interface AttemptHandle {
        int number();

        int engine();

        void updatePriority(int priority);

        /** Ends it with this outcome, once the engine knows of it or can't be told. */
        void abandon(AttemptOutcome outcome);
    }

    public final String id;
    public final String trafficClass;
    public final byte[] statement;

    /** The client's deadline. */
    public final long deadline;

    public final List<AttemptHandle> attemptsInFlight = new ArrayList<>();

    /** Its index at the scheduler; -1 before the scheduler knows it. */
    public int requestIndex = -1;

    /** The ordering key, or null. */
    public String orderingKey;

    /** How old the client's connection was when the request was read, in ms. */
    public long connectionAgeMs;

    /** Runs at the deadline. */
    public XnioExecutor.Key deadlineTimer;

    public int attemptsStarted;
    public int grantMb;
    public int priority = 1;

    /** Its client may be gone: nothing new is to be sent for it. */
    public boolean clientAbsent;

    /** Checks that nothing is sent for a client that left. */
    final DepartureMonitor departures = new DepartureMonitor();

    private final ResponseActions response;
    private final ClientPresence client;
    private boolean settled;

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

    /** The client polls: it has not left. */
    public void onClientReturned() {
        departures.onClientReturned();
    }

    /** Reads what its client's connection holds; returns when the client was last known there. */
    long confirmClient(long now) {
        return client.confirm(now);
    }

    /** The client left: it is owed no answer. */
    public void clientGone() {
        settled = true;
    }

    public boolean succeed(List<byte[]> pages) {
        boolean firstAnswer = !settled;
        settled = true;
        if (firstAnswer) {
            response.respondSucceeded(pages);
        }
        return firstAnswer;
    }

    public boolean reject(long retryAfter) {
        boolean firstAnswer = !settled;
        settled = true;
        if (firstAnswer) {
            response.respondRejected(retryAfter);
        }
        return firstAnswer;
    }

    public boolean fail() {
        boolean firstAnswer = !settled;
        settled = true;
        if (firstAnswer) {
            response.respondFailed();
        }
        return firstAnswer;
    }
}
