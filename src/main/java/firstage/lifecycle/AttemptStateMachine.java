package firstage.lifecycle;

import firstage.lifecycle.AttemptTransitions.Action;
import firstage.lifecycle.AttemptTransitions.Event;
import firstage.lifecycle.AttemptTransitions.State;
import firstage.lifecycle.AttemptTransitions.Transition;
import firstage.policy.api.AttemptOutcome;
import firstage.util.Ticks;
import java.util.Optional;

/**
 * One attempt at its engine: its statement is sent, it is polled without pause (an engine drops
 * what nobody polls for), its pages are fetched, and it ends once. It belongs to no connection:
 * where one fails, another is used.
 *
 * <table>
 * <caption>States</caption>
 * <tr><td>NEW</td><td>the statement is not written</td></tr>
 * <tr><td>ABANDONED_UNSENT</td><td>abandoned before that; ends after the current event</td></tr>
 * <tr><td>SENT</td><td>written, no reply yet</td></tr>
 * <tr><td>UNACKNOWLEDGED</td><td>the reply to the statement was lost; polled all the same</td></tr>
 * <tr><td>RUNNING</td><td>the engine has it</td></tr>
 * <tr><td>FETCHING_PAGES</td><td>it succeeded; pages of the result are missing</td></tr>
 * <tr><td>ABANDONING</td><td>abandoned after a reply: a DELETE is out</td></tr>
 * <tr><td>ABANDONING_UNACKNOWLEDGED</td><td>the same, and no reply to the statement came</td></tr>
 * <tr><td>LINGERING</td><td>nobody waits for it but the next request of its ordering key</td></tr>
 * <tr><td>LINGERING_UNACKNOWLEDGED</td><td>the same, and no reply to the statement came</td></tr>
 * <tr><td>ENDED</td><td>final</td></tr>
 * </table>
 *
 * <p>Invariants: {@link AttemptActions#reportEnd} and {@link AttemptActions#release} are called
 * once each, in this order. What can't be proven ended is reported with the time for which the
 * engine may still hold it. An end is proven by the engine's own final reply, or by its answer to a
 * DELETE that came after the statement. Until then the DELETE of a request with an ordering key is
 * repeated, and the next request of its key waits, while its own client is answered at once. What
 * is not proven counts as held until nobody polled for {@link #UNPOLLED_EXPIRY}, counted from our
 * last call, and, where the engine could not even be told, until the client's deadline, which the
 * engine knows.
 *
 * <p>Times are ticks. Every call is an event; actions go out by {@link AttemptActions}. Calls come
 * on one thread. The table of transitions is {@link AttemptTransitions}.
 */
public final class AttemptStateMachine {
    /**
     * An engine ends by itself what nobody polled for in 2 s. Our last call may have been held
     * there for 250 ms first. A result that ends meanwhile is held until it is written, which
     * nobody polls for: 2 s more. The rest is for calls that are late on their way
     * (docs/incidents/the-last-connection.md).
     */
    public static final long UNPOLLED_EXPIRY = Ticks.ofMillis(4_500);

    /** For the engine to answer the DELETE: the client's answer may wait for it. */
    private static final long ABANDON_TIMEOUT = Ticks.ofMillis(20);

    /** Between calls that fail at once: a lost connection is not worth a busy loop. */
    private static final long RETRY_DELAY = Ticks.ofMillis(50);

    /**
     * Until a connection that was just in use may carry a DELETE: it stays quiet for 10 ms after an
     * answer.
     */
    private static final long QUIET_CONNECTION_DELAY = Ticks.ofMillis(12);

    /** An engine counts the deadline from when the statement arrives, which may be so late. */
    private static final long STATEMENT_TRANSIT_ALLOWANCE = Ticks.ofMillis(100);

    /** Between DELETEs that nobody waits for: a statement that lay unread may have arrived. */
    private static final long REPEATED_DELETE_INTERVAL = Ticks.ofMillis(500);

    /** An engine that answers a poll sooner than this with no end does not hold its polls. */
    private static final long MIN_LONG_POLL = Ticks.ofMillis(10);

    /** Between polls of an engine that does not hold them. */
    private static final long SHORT_POLL_DELAY = Ticks.ofMillis(20);

    /** Replies that can't be read: a few are damaged on their way, not so many. */
    private static final int MAX_UNREADABLE_REPLIES = 5;

    /** New connections in a row that are reset before the statement is written. */
    private static final int MAX_CONNECTION_RESETS = 3;

    /** What an attempt causes; no method calls back before it returns. */
    public interface AttemptActions {
        /**
         * Sends the statement on a connection that may have to be opened first; asks {@link
         * #shouldSendStatement} when it is up.
         */
        void sendStatement();

        /** Polls for progress and the end. */
        void poll(boolean onNewConnection);

        /** Fetches a page of the result; the first is 0 and comes with a poll. */
        void fetchPage(int page, boolean onNewConnection);

        /** Tells the engine to end it. */
        void sendDelete(boolean onNewConnection);

        /** {@link #onTimeout} is to be called after {@code delay}. */
        void startTimer(long delay, Timeout timeout);

        /**
         * Whether another connection to this engine is open: those of a process that died are
         * reset.
         */
        boolean hasOpenConnection();

        /**
         * Whether somebody waits for its end: its client has no answer yet, or the program shuts
         * down.
         */
        boolean isResultAwaited();

        /** The client's deadline, as the engine was told. */
        long deadline();

        /** It ended; the engine may hold it for {@code heldFor} more. Called once. */
        void reportEnd(AttemptOutcome outcome, long heldFor);

        /** No more calls are made for it. Called once, after {@link #reportEnd}. */
        void release();
    }

    /** What a timer was set for. */
    public enum Timeout {
        /** A call that failed, or an engine that does not hold polls, is called again. */
        RETRY_POLL,
        /** An abandoned attempt ends, whether its engine answered or not. */
        ABANDON,
        /** The DELETE is sent again. */
        RETRY_DELETE,
        /** The engine has dropped what nobody polled for. */
        EXPIRY
    }

    /** How a call to the engine failed. */
    public enum CallFailure {
        /** The connection was refused. */
        CONNECTION_REFUSED,
        /** No connection was established in its time. */
        CONNECT_TIMEOUT,
        /** A new connection was reset before anything was written. */
        RESET_BEFORE_SEND,
        /** Nothing was written, for reasons of our own. */
        NOT_SENT,
        /** The connection broke, or no answer came: what was written may have been read. */
        REPLY_LOST,
        /** A reply came that can't be read or used. */
        REPLY_UNREADABLE
    }

    /** What an engine replied. */
    public enum EngineReply {
        /** It runs, or waits to run. */
        PROGRESS,
        /** It succeeded; a page came, and more are to be fetched. */
        PAGE,
        /** It succeeded, and all pages are here. */
        LAST_PAGE,
        /** The engine never ran it. */
        REFUSED,
        /** It failed, or the engine does not know it. */
        FAILED
    }

    private final AttemptActions actions;
    private final boolean keyed;
    private State state = State.NEW;

    /** Null until it is settled. */
    private AttemptOutcome outcome;

    private boolean deleteOnNewConnection;
    private boolean pollOnNewConnection;
    private boolean retryScheduled;

    /** The engine itself reported the failure. */
    private boolean failureReported;

    /**
     * A DELETE was answered: the engine can be told, and is told again in case the statement
     * arrives later.
     */
    private boolean deleteAcknowledged;

    private boolean endReported;

    private int currentPage;
    private int consecutiveFailures;
    private int unreadableReplies;
    private long lastCallAt;

    /**
     * @param keyed whether the request has an ordering key: others may wait for its end, which is
     *     then proven even where that costs a call
     */
    public AttemptStateMachine(AttemptActions actions, boolean keyed) {
        this.actions = actions;
        this.keyed = keyed;
    }

    /** Whether the statement is to be written still; asked when its connection is up. */
    public boolean shouldSendStatement() {
        return state == State.NEW;
    }

    /** Whether the statement was written. */
    public boolean isStatementWritten() {
        return state != State.NEW && state != State.ABANDONED_UNSENT;
    }

    /** Whether it was written and is neither abandoned nor ended. */
    public boolean isRunning() {
        return isStatementWritten() && outcome == null && state != State.ENDED;
    }

    /** Whether nobody but its ordering key waits for its end, which is not reported yet. */
    public boolean isLingering() {
        return !endReported
                && (state == State.LINGERING || state == State.LINGERING_UNACKNOWLEDGED);
    }

    /** Whether it ended. */
    public boolean isEnded() {
        return state == State.ENDED;
    }

    /** Begins. */
    public void start() {
        if (state == State.NEW) {
            actions.sendStatement();
        }
    }

    /** The statement is being written now. */
    public void onStatementWritten(long now) {
        lastCallAt = now;
        handle(now, Event.STATEMENT_WRITTEN);
    }

    /** The reply to the statement itself. */
    public void onStatementReply(long now, EngineReply reply) {
        handle(now, eventFor(reply));
    }

    /** The reply to a poll or to the fetch of a page. */
    public void onReply(long now, EngineReply reply) {
        // While the statement is unacknowledged, a reply to another call proves nothing.
        if (state != State.ABANDONING_UNACKNOWLEDGED && state != State.LINGERING_UNACKNOWLEDGED) {
            handle(now, eventFor(reply));
        }
    }

    private Event eventFor(EngineReply reply) {
        consecutiveFailures = 0;
        unreadableReplies = reply == EngineReply.PAGE ? 0 : unreadableReplies;
        return switch (reply) {
            case PROGRESS -> Event.PROGRESS;
            case PAGE -> Event.PAGE;
            case LAST_PAGE -> Event.LAST_PAGE;
            case REFUSED -> Event.REFUSED;
            case FAILED -> Event.FAILED;
        };
    }

    /** The statement could not be sent, or the reply to it was lost. */
    public void onStatementFailed(long now, CallFailure failure) {
        switch (failure) {
            case RESET_BEFORE_SEND ->
                    handle(
                            now,
                            ++consecutiveFailures < MAX_CONNECTION_RESETS
                                    ? Event.RESET_BEFORE_SEND
                                    : Event.TOO_MANY_FAILURES);
            case CONNECTION_REFUSED, CONNECT_TIMEOUT -> handle(now, Event.CONNECT_FAILED);
            case NOT_SENT -> handle(now, Event.NOT_SENT);
            default -> onCallFailed(now, failure);
        }
    }

    /** A poll or the fetch of a page failed. */
    public void onCallFailed(long now, CallFailure failure) {
        unreadableReplies += failure == CallFailure.REPLY_UNREADABLE ? 1 : 0;
        pollOnNewConnection = failure != CallFailure.CONNECTION_REFUSED;
        boolean engineGone =
                failure == CallFailure.CONNECTION_REFUSED && !actions.hasOpenConnection();
        handle(
                now,
                engineGone
                        ? Event.ENGINE_GONE
                        : unreadableReplies >= MAX_UNREADABLE_REPLIES
                                ? Event.TOO_MANY_FAILURES
                                : Event.REPLY_LOST);
    }

    /**
     * Ends it with this outcome, once the engine knows of it or can't be told in time: until then
     * it is in flight. The first outcome stays.
     */
    public void abandon(long now, AttemptOutcome requestedOutcome) {
        if (state != State.ENDED && outcome == null) {
            outcome = requestedOutcome;
            handle(now, Event.ABANDON);
        }
    }

    /** The engine answered the DELETE. */
    public void onDeleteAcknowledged(long now) {
        deleteAcknowledged = true;
        // A statement that lay unread for so long does not arrive any more, and what arrived before
        // this DELETE is ended by it.
        boolean expired =
                state == State.LINGERING_UNACKNOWLEDGED && now >= lastCallAt + UNPOLLED_EXPIRY;
        handle(now, expired ? Event.EXPIRED : Event.DELETE_ACKNOWLEDGED);
    }

    /** The DELETE could not be sent, or the answer to it was lost. */
    public void onDeleteFailed(long now, CallFailure failure) {
        deleteOnNewConnection = failure != CallFailure.CONNECTION_REFUSED;
        handle(now, Event.DELETE_FAILED);
    }

    /** A timer that was started ran out. */
    public void onTimeout(long now, Timeout timeout) {
        switch (timeout) {
            case RETRY_POLL -> {
                if (retryScheduled) {
                    retryScheduled = false;
                    repeatCall(now);
                }
            }
            case ABANDON ->
                    handle(
                            now,
                            keyed && isStatementWritten()
                                    ? Event.ABANDON_TIMEOUT_KEYED
                                    : Event.ABANDON_TIMEOUT);
            case RETRY_DELETE -> {
                if (isAbandoning()) {
                    actions.sendDelete(deleteOnNewConnection);
                }
            }
            case EXPIRY -> handle(now, Event.EXPIRED);
        }
    }

    private void handle(long now, Event event) {
        Optional<Transition> transition = AttemptTransitions.find(state, event);
        if (transition.isPresent()) {
            State previous = state;
            state = transition.get().next();
            outcome = transition.get().outcome().orElse(outcome);
            perform(transition.get().action(), now, previous);
        }
    }

    private void perform(Action action, long now, State previous) {
        switch (action) {
            case NONE -> {}
            case SEND_STATEMENT -> actions.sendStatement();
            case POLL -> pollWithMinimumInterval(now, previous);
            case RETRY_CALL -> retryCall(now);
            case FETCH_NEXT_PAGE -> {
                currentPage++;
                lastCallAt = now;
                actions.fetchPage(currentPage, false);
            }
            case END_AFTER_CURRENT_EVENT -> actions.startTimer(0, Timeout.ABANDON);
            case DELETE -> deleteWithTimeout();
            case CONFIRM_END -> confirmEnd(now);
            case DELETE_ON_QUIET_CONNECTION -> {
                deleteOnNewConnection = false;
                actions.startTimer(QUIET_CONNECTION_DELAY, Timeout.RETRY_DELETE);
            }
            case RETRY_DELETE -> actions.startTimer(RETRY_DELAY, Timeout.RETRY_DELETE);
            case REPEAT_DELETE ->
                    actions.startTimer(REPEATED_DELETE_INTERVAL, Timeout.RETRY_DELETE);
            case LINGER -> linger(now);
            case END_PROVEN -> end(now, false);
            case END_UNPROVEN -> end(now, true);
        }
    }

    /** The engine reported a failure: with an ordering key a DELETE confirms that nothing runs. */
    private void confirmEnd(long now) {
        if (keyed) {
            failureReported = true;
            deleteWithTimeout();
        } else {
            end(now, false);
        }
    }

    private void deleteWithTimeout() {
        retryScheduled = false;
        actions.startTimer(ABANDON_TIMEOUT, Timeout.ABANDON);
        actions.sendDelete(false);
    }

    /** Polls again; an engine that does not hold its polls is left alone for a moment. */
    private void pollWithMinimumInterval(long now, State previous) {
        if (previous == State.RUNNING && now - lastCallAt < MIN_LONG_POLL) {
            retryScheduled = true;
            pollOnNewConnection = false;
            actions.startTimer(SHORT_POLL_DELAY, Timeout.RETRY_POLL);
        } else {
            lastCallAt = now;
            actions.poll(false);
        }
    }

    private void retryCall(long now) {
        // The first time at once: a process that died resets its connections, and refuses the next.
        if (consecutiveFailures++ == 0 && pollOnNewConnection) {
            repeatCall(now);
        } else {
            retryScheduled = true;
            actions.startTimer(RETRY_DELAY, Timeout.RETRY_POLL);
        }
    }

    private void repeatCall(long now) {
        if (state == State.UNACKNOWLEDGED || state == State.RUNNING) {
            lastCallAt = now;
            actions.poll(pollOnNewConnection);
        } else if (state == State.FETCHING_PAGES) {
            lastCallAt = now;
            actions.fetchPage(currentPage, pollOnNewConnection);
        }
    }

    private boolean isAbandoning() {
        return state == State.ABANDONING
                || state == State.ABANDONING_UNACKNOWLEDGED
                || state == State.LINGERING
                || state == State.LINGERING_UNACKNOWLEDGED;
    }

    /**
     * Reports the end now where somebody waits for it, with the time that it may be held; else once
     * it is proven.
     */
    private void linger(long now) {
        long engineDeadline =
                failureReported || deleteAcknowledged
                        ? 0
                        : actions.deadline() + STATEMENT_TRANSIT_ALLOWANCE;
        long heldFor = Math.max(0, Math.max(lastCallAt + UNPOLLED_EXPIRY, engineDeadline) - now);
        actions.startTimer(heldFor, Timeout.EXPIRY);
        if (actions.isResultAwaited()) {
            endReported = true;
            actions.reportEnd(outcome, heldFor);
        }
    }

    private void end(long now, boolean mayStillHold) {
        state = State.ENDED;
        if (!endReported) {
            endReported = true;
            actions.reportEnd(
                    outcome, mayStillHold ? Math.max(0, lastCallAt + UNPOLLED_EXPIRY - now) : 0);
        }
        actions.release();
    }
}
