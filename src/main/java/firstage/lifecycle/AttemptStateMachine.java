package firstage.lifecycle;

import firstage.lifecycle.AttemptTransitions.Action;
import firstage.lifecycle.AttemptTransitions.Event;
import firstage.lifecycle.AttemptTransitions.State;
import firstage.lifecycle.AttemptTransitions.Transition;
import firstage.policy.api.AttemptOutcome;
import firstage.util.Ticks;
import java.util.Optional;

/**
 * State machine of one attempt at an engine. It sends the statement, polls without pause (an engine
 * drops a statement that is not polled), fetches the pages of the result, and ends once. An attempt
 * is not bound to a connection: when one fails, another is used.
 *
 * <table>
 * <caption>States</caption>
 * <tr><td>NEW</td><td>the statement is not written yet</td></tr>
 * <tr><td>ABANDONED_UNSENT</td><td>abandoned before the statement was written; ends after the
 *     current event</td></tr>
 * <tr><td>SENT</td><td>the statement is written; no reply yet</td></tr>
 * <tr><td>UNACKNOWLEDGED</td><td>the reply to the statement was lost; the engine is polled
 *     anyway</td></tr>
 * <tr><td>RUNNING</td><td>the engine has confirmed the statement</td></tr>
 * <tr><td>FETCHING_PAGES</td><td>the statement succeeded; pages of the result are missing</td></tr>
 * <tr><td>ABANDONING</td><td>abandoned after a reply; a DELETE was sent</td></tr>
 * <tr><td>ABANDONING_UNACKNOWLEDGED</td><td>like ABANDONING, but without a reply to the
 *     statement</td></tr>
 * <tr><td>LINGERING</td><td>abandoned, and the end was not proven within the abandon timeout; the
 *     next request of the ordering key or the next attempt of the request waits for the
 *     end</td></tr>
 * <tr><td>LINGERING_UNACKNOWLEDGED</td><td>like LINGERING, but without a reply to the
 *     statement</td></tr>
 * <tr><td>ENDED</td><td>final</td></tr>
 * </table>
 *
 * <p>Invariants: {@link AttemptActions#reportEnd} and {@link AttemptActions#release} are called
 * once each, in this order. The end of an attempt is proven by the engine's own final reply, or by
 * its answer to a DELETE that arrived after the statement. Neither an update of the endpoint list
 * nor the reply of another process at the engine's address proves it. An attempt whose end is not
 * proven is reported with the time for which the engine may still hold the statement. That time
 * lasts until {@link #UNPOLLED_EXPIRY} after the last call and, for an abandoned request with an
 * ordering key whose engine neither answered a DELETE nor reported a failure, also until the
 * client's deadline, which the engine knows. For a request with an ordering key, the DELETE is
 * repeated, and the next request of the key waits until the end is proven or that time is over,
 * while the request's own client is answered at once. Where attempts of a request must not overlap,
 * the DELETE is repeated for a request without a key, too, while its client waits: {@link
 * AttemptActions#confirmEnd} then reports the proof, or the end of that time, to the next attempt.
 *
 * <p>Times are ticks. Every method call is an event; actions go out through {@link AttemptActions}.
 * All calls come on one thread. {@link AttemptTransitions} holds the table of transitions.
 */
public final class AttemptStateMachine {
    /**
     * Time from the last call to an engine until the engine no longer holds the statement. An
     * engine ends a statement 2 s after the end of the last poll, which the engine may have held
     * for 250 ms. A statement that completes in these 2 s leaves a result, which the engine keeps
     * unread for another 2 s. The remaining 250 ms allow for calls that are delayed on the network
     * (docs/incidents/the-last-connection.md).
     */
    public static final long UNPOLLED_EXPIRY = Ticks.ofMillis(4_500);

    /** Time for the engine to answer a DELETE; the answer to the client may wait for it. */
    private static final long ABANDON_TIMEOUT = Ticks.ofMillis(20);

    /**
     * Delay before a failed call is repeated, so that a lost connection causes no busy loop. It
     * doubles with each DELETE that fails, up to {@link #REPEATED_DELETE_INTERVAL}.
     */
    private static final long RETRY_DELAY = Ticks.ofMillis(50);

    /**
     * Delay before a DELETE is sent on a connection that was just in use; a connection is not
     * reused for 10 ms after a response.
     */
    private static final long QUIET_CONNECTION_DELAY = Ticks.ofMillis(12);

    /**
     * Allowance for the time that a statement takes to reach its engine, which counts the deadline
     * from the arrival of the statement.
     */
    private static final long STATEMENT_TRANSIT_ALLOWANCE = Ticks.ofMillis(100);

    /**
     * Interval between the DELETEs of an attempt whose statement is unacknowledged: the engine may
     * have read the statement after the previous DELETE.
     */
    private static final long REPEATED_DELETE_INTERVAL = Ticks.ofMillis(500);

    /**
     * Time after the end of a statement's connection after which an engine that responds has read
     * what it had received on that connection.
     */
    private static final long LATE_READ_ALLOWANCE = Ticks.ofMillis(250);

    /** Number of times that the delay of a DELETE doubles before it reaches its maximum. */
    private static final int MAX_DELAY_DOUBLINGS = 4;

    /**
     * Minimum duration of a held poll. An engine that answers a poll with progress sooner does not
     * hold its polls.
     */
    private static final long MIN_LONG_POLL = Ticks.ofMillis(10);

    /** Delay between polls of an engine that does not hold its polls. */
    private static final long SHORT_POLL_DELAY = Ticks.ofMillis(20);

    /**
     * Number of unreadable replies at which an attempt fails; a few replies may be damaged in
     * transit, but not this many.
     */
    private static final int MAX_UNREADABLE_REPLIES = 5;

    /**
     * Number of consecutive new connections, reset before the statement was written, after which an
     * attempt ends.
     */
    private static final int MAX_CONNECTION_RESETS = 3;

    /** Actions of an attempt. No method calls back into the state machine before it returns. */
    public interface AttemptActions {
        /**
         * Sends the statement on a connection that may have to be opened first; calls {@link
         * #shouldSendStatement} once the connection is established.
         */
        void sendStatement();

        /** Polls the engine for progress or the end of the statement. */
        void poll(boolean onNewConnection);

        /** Fetches a page of the result, counted from 0; page 0 comes with the reply to a poll. */
        void fetchPage(int page, boolean onNewConnection);

        /** Sends a DELETE, which makes the engine end the statement. */
        void sendDelete(boolean onNewConnection);

        /** Starts a timer that calls {@link #onTimeout} after {@code delay} ticks. */
        void startTimer(long delay, Timeout timeout);

        /**
         * Returns whether another connection to this engine is open. The connections of a process
         * that died are reset.
         */
        boolean hasOpenConnection();

        /** Returns how the process that holds the statement can be reached now. */
        HolderConnection holderConnection();

        /**
         * Returns whether the end of the attempt is awaited: the client has no answer yet, or the
         * program shuts down.
         */
        boolean isEndAwaited();

        /** Returns the client's deadline, which was sent to the engine. */
        long deadline();

        /**
         * Reports the end of the attempt. Called once.
         *
         * @param heldFor how much longer the engine may hold the statement, in ticks
         * @param proof what proves the end; {@link EndProof#NONE} if the engine may still hold the
         *     statement
         */
        void reportEnd(AttemptOutcome outcome, long heldFor, EndProof proof);

        /**
         * Reports that an attempt whose end was reported without proof no longer runs. Called at
         * most once, after {@link #reportEnd} and before {@link #release}.
         */
        void confirmEnd(EndProof proof);

        /**
         * Releases the attempt: no more calls are made for it. Called once, after {@link
         * #reportEnd}.
         */
        void release();
    }

    /** Purposes of timers. */
    public enum Timeout {
        /** Repeats a poll or page fetch that failed, or a poll that the engine did not hold. */
        RETRY_POLL,
        /** Stops waiting for the engine to answer the DELETE of an abandoned attempt. */
        ABANDON,
        /** Sends the DELETE again. */
        RETRY_DELETE,
        /** Ends an attempt whose statement the engine has dropped because it was not polled. */
        EXPIRY
    }

    /** Ways in which a call to the engine fails. */
    public enum CallFailure {
        /** The connection was refused. */
        CONNECTION_REFUSED,
        /** No connection is left to an engine whose address another engine has now. */
        ENGINE_UNREACHABLE,
        /** No connection was established within the connect timeout. */
        CONNECT_TIMEOUT,
        /** A new connection was reset before anything was written. */
        RESET_BEFORE_SEND,
        /** The manager itself did not write the call, or did not complete it. */
        NOT_SENT,
        /** The engine ended the connection; it may have read the call, but reads no more of it. */
        CONNECTION_ENDED,
        /** No reply came; the engine may have read the call, or may read it later. */
        REPLY_LOST,
        /** The reply can't be parsed or used. */
        REPLY_UNREADABLE
    }

    /** States of the connections that lead to the process that holds a statement. */
    public enum HolderConnection {
        /** A call can be made on one of them now. */
        READY,
        /** One of them is idle, but must stay quiet for a moment. */
        QUIET,
        /** A poll of this attempt is out on one of them. */
        POLLING,
        /** There is none, or only other attempts' calls are out on them. */
        NONE
    }

    /** Processes that a reply may come from. */
    public enum ReplyOrigin {
        /** The process that holds the statement. */
        HOLDER,
        /** Perhaps another process at the engine's address, which never knew the statement. */
        UNCERTAIN
    }

    /** Replies of an engine. */
    public enum EngineReply {
        /** The statement runs, or waits to run. */
        PROGRESS,
        /** The statement succeeded; a page arrived, and more are to be fetched. */
        PAGE,
        /** The statement succeeded, and all pages have arrived. */
        LAST_PAGE,
        /** The engine refused the statement and never ran it. */
        REFUSED,
        /** The statement failed, or the engine does not know it. */
        FAILED
    }

    private final AttemptActions actions;
    private final boolean keyed;
    private final boolean mayOverlap;
    private State state = State.NEW;

    /** Outcome of the attempt; null until it is settled. */
    private AttemptOutcome outcome;

    private boolean deleteOnNewConnection;

    /** Whether a poll is out that precedes a DELETE; see {@link #deleteFromHolder}. */
    private boolean verifyingHolder;

    private boolean pollOnNewConnection;
    private boolean retryScheduled;

    /** Whether the engine itself reported that the statement failed. */
    private boolean failureReported;

    /** Whether the engine ended the connection on which the statement was written. */
    private boolean statementConnectionEnded;

    /**
     * Whether the engine answered a DELETE. The DELETE is then repeated in case the statement
     * arrives later.
     */
    private boolean deleteAcknowledged;

    /** Time of the first answer to a DELETE. */
    private long deleteAcknowledgedAt;

    private long deleteSentAt;

    private boolean endReported;

    private int currentPage;
    private int consecutiveFailures;
    private int failedDeletes;
    private int unreadableReplies;

    /** Time of the latest call that the engine may have received while it held the statement. */
    private long lastCallAt;

    /** Value of {@link #lastCallAt} before the latest poll. */
    private long callBeforePollAt;

    private int pollsOut;

    /**
     * @param keyed whether the request has an ordering key. Other requests may then wait for the
     *     end of the attempt, which is proven even if that costs a call.
     * @param mayOverlap whether another attempt of the request may start before this one has ended
     */
    public AttemptStateMachine(AttemptActions actions, boolean keyed, boolean mayOverlap) {
        this.actions = actions;
        this.keyed = keyed;
        this.mayOverlap = mayOverlap;
    }

    /**
     * Returns whether the statement is still to be written; called once its connection is
     * established.
     */
    public boolean shouldSendStatement() {
        return state == State.NEW;
    }

    /** Returns whether the statement was written, at least in part. */
    public boolean isStatementWritten() {
        return state != State.NEW && state != State.ABANDONED_UNSENT;
    }

    /** Returns whether the statement was written and the attempt has no outcome yet. */
    public boolean isRunning() {
        return isStatementWritten() && outcome == null && state != State.ENDED;
    }

    /**
     * Returns whether the end of the attempt is not reported yet and only the next request of its
     * ordering key waits for it.
     */
    public boolean isLingering() {
        return !endReported
                && (state == State.LINGERING || state == State.LINGERING_UNACKNOWLEDGED);
    }

    /** Returns whether the attempt has ended. */
    public boolean isEnded() {
        return state == State.ENDED;
    }

    /** Starts the attempt. */
    public void start() {
        if (state == State.NEW) {
            actions.sendStatement();
        }
    }

    /** Records that the statement is being written. */
    public void onStatementWritten(long now) {
        lastCallAt = now;
        handle(now, Event.STATEMENT_WRITTEN);
    }

    /** Handles the reply to the statement itself. */
    public void onStatementReply(long now, EngineReply reply) {
        handle(now, eventFor(reply));
    }

    /**
     * Handles the reply to a poll or to the fetch of a page.
     *
     * @param origin the process that the reply comes from; only the holder reports progress, or has
     *     pages
     */
    public void onReply(long now, EngineReply reply, ReplyOrigin origin) {
        boolean onlyPollEnded = onPollEnded();
        // Once an unacknowledged statement is abandoned, only a reply to the statement itself can
        // prove its end.
        if (state == State.ABANDONING_UNACKNOWLEDGED || state == State.LINGERING_UNACKNOWLEDGED) {
            return;
        }
        boolean verified = verifyingHolder;
        verifyingHolder = false;
        boolean knowsStatement = reply != EngineReply.FAILED && reply != EngineReply.REFUSED;
        if (origin == ReplyOrigin.HOLDER || knowsStatement) {
            handle(now, eventFor(reply));
            return;
        }
        if (onlyPollEnded) {
            lastCallAt = callBeforePollAt;
        }
        if (state == State.RUNNING) {
            handle(now, engineGoneEvent());
        } else if (!isAbandoning()) {
            handle(now, eventFor(reply));
        } else if (verified) {
            onUncertainReplyToDelete(now);
        }
    }

    /**
     * Handles the answer of a process that may not hold the statement. If it does, the statement
     * has ended; else the holder is cut off, and drops the statement as nobody polls it.
     */
    private void onUncertainReplyToDelete(long now) {
        boolean dropped = now >= lastCallAt + UNPOLLED_EXPIRY;
        handle(now, dropped && state == State.LINGERING ? Event.EXPIRED : Event.DELETE_UNCERTAIN);
    }

    /** Records that a poll or page fetch starts. */
    private void onPollStarted(long now) {
        pollsOut++;
        callBeforePollAt = lastCallAt;
        lastCallAt = now;
    }

    /** Records that a poll or page fetch ended; returns whether no other is out. */
    private boolean onPollEnded() {
        pollsOut--;
        return pollsOut == 0;
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

    /** Handles a statement that could not be sent, or whose reply was lost. */
    public void onStatementFailed(long now, CallFailure failure) {
        statementConnectionEnded |= failure == CallFailure.CONNECTION_ENDED;
        switch (failure) {
            case RESET_BEFORE_SEND ->
                    handle(
                            now,
                            ++consecutiveFailures < MAX_CONNECTION_RESETS
                                    ? Event.RESET_BEFORE_SEND
                                    : Event.TOO_MANY_FAILURES);
            case CONNECTION_REFUSED, CONNECT_TIMEOUT, ENGINE_UNREACHABLE ->
                    handle(now, Event.CONNECT_FAILED);
            case NOT_SENT -> handle(now, Event.NOT_SENT);
            default -> onAnyCallFailed(now, failure);
        }
    }

    /** Handles the failure of a poll or of the fetch of a page. */
    public void onCallFailed(long now, CallFailure failure) {
        boolean neverSent =
                failure == CallFailure.CONNECT_TIMEOUT || failure == CallFailure.ENGINE_UNREACHABLE;
        if (onPollEnded() && neverSent) {
            lastCallAt = callBeforePollAt;
        }
        onAnyCallFailed(now, failure);
    }

    private void onAnyCallFailed(long now, CallFailure failure) {
        if (verifyingHolder) {
            verifyingHolder = false;
            onDeleteFailed(now, failure);
            return;
        }
        unreadableReplies += failure == CallFailure.REPLY_UNREADABLE ? 1 : 0;
        pollOnNewConnection = failure != CallFailure.CONNECTION_REFUSED;
        boolean engineGone =
                failure == CallFailure.ENGINE_UNREACHABLE
                        || failure == CallFailure.CONNECTION_REFUSED
                                && !actions.hasOpenConnection();
        handle(
                now,
                engineGone
                        ? engineGoneEvent()
                        : unreadableReplies >= MAX_UNREADABLE_REPLIES
                                ? Event.TOO_MANY_FAILURES
                                : Event.REPLY_LOST);
    }

    /**
     * A process that died refuses connections, but so may one that drains and still runs the
     * statement. The next attempt of the request waits for the difference to show; the next request
     * of a key waits for the time that the end is reported with.
     */
    private Event engineGoneEvent() {
        return !keyed && isEndNeeded() ? Event.ENGINE_GONE_END_NEEDED : Event.ENGINE_GONE;
    }

    /**
     * Abandons the attempt, which ends with this outcome once the engine has answered the DELETE or
     * has failed to do so in time; until then the attempt is in flight. Does nothing if the outcome
     * is already settled.
     */
    public void abandon(long now, AttemptOutcome requestedOutcome) {
        if (state != State.ENDED && outcome == null) {
            outcome = requestedOutcome;
            handle(now, Event.ABANDON);
        }
    }

    /** Handles the answer to the DELETE, which every process gives, whether it knows the id. */
    public void onDeleteAcknowledged(long now, ReplyOrigin origin) {
        if (origin == ReplyOrigin.UNCERTAIN && isAbandoningAcknowledged()) {
            onUncertainReplyToDelete(now);
            return;
        }
        // A statement that the engine had not read by now does not arrive any more, and one that
        // arrived before this DELETE is ended by it.
        boolean arrivesNoMore =
                now >= lastCallAt + UNPOLLED_EXPIRY
                        || origin == ReplyOrigin.HOLDER && hasReadStatementConnection();
        if (!deleteAcknowledged) {
            deleteAcknowledged = true;
            deleteAcknowledgedAt = now;
        }
        boolean expired = state == State.LINGERING_UNACKNOWLEDGED && arrivesNoMore;
        handle(now, expired ? Event.EXPIRED : Event.DELETE_ACKNOWLEDGED);
    }

    /**
     * Returns whether the engine had read all that it received on the statement's connection when
     * it read the latest DELETE: the connection had ended, and the engine had responded since.
     */
    private boolean hasReadStatementConnection() {
        return mayArriveLateOnly()
                && deleteAcknowledged
                && deleteSentAt >= deleteAcknowledgedAt + LATE_READ_ALLOWANCE;
    }

    /**
     * Returns whether the statement can only have arrived, or arrive within {@link
     * #LATE_READ_ALLOWANCE}. The order of a key does not rely on this.
     */
    private boolean mayArriveLateOnly() {
        return !keyed && statementConnectionEnded;
    }

    /** Handles a DELETE that could not be sent, or whose answer was lost. */
    public void onDeleteFailed(long now, CallFailure failure) {
        deleteOnNewConnection = failure != CallFailure.CONNECTION_REFUSED;
        handle(now, Event.DELETE_FAILED);
    }

    /** Handles a timer that elapsed. */
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
                            isStatementWritten() && isEndNeeded()
                                    ? Event.ABANDON_TIMEOUT_END_NEEDED
                                    : Event.ABANDON_TIMEOUT);
            case RETRY_DELETE -> {
                if (isAbandoningAcknowledged()) {
                    deleteFromHolder(now);
                } else if (isAbandoning()) {
                    sendDelete(now, deleteOnNewConnection);
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
            perform(transition.get().action(), now, previous, event);
        }
    }

    private void perform(Action action, long now, State previous, Event event) {
        switch (action) {
            case NONE -> {}
            case SEND_STATEMENT -> actions.sendStatement();
            case POLL -> pollWithMinimumInterval(now, previous);
            case RETRY_CALL -> retryCall(now);
            case FETCH_NEXT_PAGE -> {
                currentPage++;
                onPollStarted(now);
                actions.fetchPage(currentPage, false);
            }
            case END_AFTER_CURRENT_EVENT -> actions.startTimer(0, Timeout.ABANDON);
            case DELETE -> deleteWithTimeout(now);
            case CONFIRM_END -> confirmEnd(now);
            case DELETE_ON_QUIET_CONNECTION -> {
                deleteOnNewConnection = false;
                actions.startTimer(QUIET_CONNECTION_DELAY, Timeout.RETRY_DELETE);
            }
            case RETRY_DELETE -> actions.startTimer(nextDeleteDelay(), Timeout.RETRY_DELETE);
            case REPEAT_DELETE ->
                    actions.startTimer(
                            mayArriveLateOnly() ? LATE_READ_ALLOWANCE : REPEATED_DELETE_INTERVAL,
                            Timeout.RETRY_DELETE);
            case LINGER -> linger(now);
            case LINGER_AND_DELETE -> {
                linger(now);
                actions.startTimer(nextDeleteDelay(), Timeout.RETRY_DELETE);
            }
            case END_PROVEN -> end(now, AttemptTransitions.proofOf(previous, event));
            case END_UNPROVEN -> end(now, EndProof.NONE);
        }
    }

    /**
     * Ends an attempt whose failure the engine reported. For a request with an ordering key, a
     * DELETE confirms first that nothing runs any more.
     */
    private void confirmEnd(long now) {
        if (keyed) {
            failureReported = true;
            deleteWithTimeout(now);
        } else {
            end(now, EndProof.ENGINE_REPLY);
        }
    }

    private void deleteWithTimeout(long now) {
        retryScheduled = false;
        actions.startTimer(ABANDON_TIMEOUT, Timeout.ABANDON);
        deleteOnNewConnection = false;
        if (isAbandoningAcknowledged() && isEndNeeded()) {
            deleteFromHolder(now);
        } else {
            sendDelete(now, false);
        }
    }

    /**
     * Sends a DELETE whose answer proves the end, or whose effect a poll that is out will show.
     * Without a connection to the process that holds the statement, a poll goes first: only that
     * process reports progress, and the DELETE then follows on the poll's connection.
     */
    private void deleteFromHolder(long now) {
        switch (actions.holderConnection()) {
            case READY, POLLING -> sendDelete(now, false);
            case QUIET -> actions.startTimer(QUIET_CONNECTION_DELAY, Timeout.RETRY_DELETE);
            case NONE -> {
                verifyingHolder = true;
                onPollStarted(now);
                actions.poll(deleteOnNewConnection);
            }
        }
    }

    private void sendDelete(long now, boolean onNewConnection) {
        deleteSentAt = now;
        actions.sendDelete(onNewConnection);
    }

    private long nextDeleteDelay() {
        long delay = RETRY_DELAY << Math.min(failedDeletes++, MAX_DELAY_DOUBLINGS);
        return Math.min(delay, REPEATED_DELETE_INTERVAL);
    }

    /** Polls again, after a delay if the engine does not hold its polls. */
    private void pollWithMinimumInterval(long now, State previous) {
        if (previous == State.RUNNING && now - lastCallAt < MIN_LONG_POLL) {
            retryScheduled = true;
            pollOnNewConnection = false;
            actions.startTimer(SHORT_POLL_DELAY, Timeout.RETRY_POLL);
        } else {
            onPollStarted(now);
            actions.poll(false);
        }
    }

    private void retryCall(long now) {
        // The first retry is immediate: a process that died resets its connections and refuses new
        // ones, so the retry shows at once whether the engine is gone.
        if (consecutiveFailures++ == 0 && pollOnNewConnection) {
            repeatCall(now);
        } else {
            retryScheduled = true;
            actions.startTimer(RETRY_DELAY, Timeout.RETRY_POLL);
        }
    }

    private void repeatCall(long now) {
        if (state == State.UNACKNOWLEDGED || state == State.RUNNING) {
            onPollStarted(now);
            actions.poll(pollOnNewConnection);
        } else if (state == State.FETCHING_PAGES) {
            onPollStarted(now);
            actions.fetchPage(currentPage, pollOnNewConnection);
        }
    }

    /** Returns whether something may be sent only once this attempt has ended. */
    private boolean isEndNeeded() {
        return keyed || !mayOverlap && actions.isEndAwaited();
    }

    private boolean isAbandoning() {
        return isAbandoningAcknowledged()
                || state == State.ABANDONING_UNACKNOWLEDGED
                || state == State.LINGERING_UNACKNOWLEDGED;
    }

    private boolean isAbandoningAcknowledged() {
        return state == State.ABANDONING || state == State.LINGERING;
    }

    /**
     * Waits until the end is proven or the engine no longer holds the statement. If the end is
     * awaited, reports it now, with the time for which the engine may still hold the statement.
     */
    private void linger(long now) {
        long engineDeadline =
                failureReported || deleteAcknowledged || outcome == AttemptOutcome.CONNECTION_LOST
                        ? 0
                        : actions.deadline() + STATEMENT_TRANSIT_ALLOWANCE;
        long heldFor = Math.max(0, Math.max(lastCallAt + UNPOLLED_EXPIRY, engineDeadline) - now);
        actions.startTimer(heldFor, Timeout.EXPIRY);
        if (actions.isEndAwaited()) {
            endReported = true;
            actions.reportEnd(outcome, heldFor, EndProof.NONE);
        }
    }

    private void end(long now, EndProof proof) {
        state = State.ENDED;
        if (endReported) {
            actions.confirmEnd(proof);
        } else {
            endReported = true;
            long heldFor =
                    proof == EndProof.NONE ? Math.max(0, lastCallAt + UNPOLLED_EXPIRY - now) : 0;
            actions.reportEnd(outcome, heldFor, proof);
        }
        actions.release();
    }
}
