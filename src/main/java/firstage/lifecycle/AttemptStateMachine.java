package firstage.lifecycle;

import firstage.policy.api.AttemptOutcome;
import java.util.EnumMap;
import java.util.Map;

/**
 * What a dispatch does at its engine: its statement is sent, it is asked for without pause (an
 * engine drops what nobody asks for), its pages are fetched, and it ends once. It belongs to no
 * connection: where one fails, another is asked.
 *
 * <p>Beside each outcome stands what the engine may still hold, for what can't be proven over is
 * not over. It is proven by the engine's own last word on it, or by its answer to a DELETE that
 * came after the statement. Until then the DELETE of a batch with a key is given again, and the
 * next batch of its key waits, while its own client is answered at once. What can't be proven is
 * held until nobody asked for it in {@link #UNPOLLED_EXPIRY}, counted from our last call, and,
 * where its engine could not even be told, until its client's limit, which that engine knows.
 *
 * <p>Times are tenths of a millisecond. Every call is an event; effects go out by {@link
 * ArrivalActions}, which may call back at once only where said.
 */
public final class AttemptStateMachine {
    /**
     * An engine ends by itself what nobody asked for in 2 s. Our last call may have been held there
     * for 250 ms first. What ends of itself meanwhile is out until that is written, which nobody
     * asks for: 2 s more, and the rest is for calls that are late on their way. At 2.45 s orders
     * broke (docs/incidents/the-last-connection.md).
     */
    public static final long UNPOLLED_EXPIRY = 45_000;

    /** So long a dispatch that is given up may take to end: the client's answer may wait for it. */
    private static final long ABANDON_TIMEOUT = 200;

    /** Between askings that fail at once: a lost connection is not worth a busy loop. */
    private static final long RETRY_DELAY = 500;

    /**
     * Until a connection that was just in use may carry a DELETE: it rests for 10 ms after an
     * answer.
     */
    private static final long QUIET_CONNECTION_DELAY = 120;

    /** An engine counts its limit from when the statement comes: that may be late by so much. */
    private static final long STATEMENT_TRANSIT_ALLOWANCE = 1_000;

    /**
     * Between DELETEs once nobody waits for them: a statement that lay unread may have come
     * meanwhile.
     */
    private static final long REPEATED_DELETE_INTERVAL = 5_000;

    /**
     * An engine that has nothing to tell and does not hold the call is asked again after a pause.
     */
    private static final long MIN_LONG_POLL = 100;

    private static final long SHORT_POLL_DELAY = 200;

    /** Answers in a row that can't be read: some are spoilt on their way, not so many. */
    private static final int MAX_UNREADABLE_REPLIES = 5;

    /** New connections in a row that are reset before the statement is written. */
    private static final int MAX_CONNECTION_RESETS = 3;

    /** Carries the effects out; none of them calls back before it returns. */
    public interface AttemptActions {
        /**
         * Sends the statement where {@link #shouldSendStatement} still says so when its connection
         * is up.
         */
        void sendStatement();

        /** Asks for news; {@code fresh} on a new connection. */
        void poll(boolean onNewConnection);

        /** Asks for a page of the result, from 1. */
        void fetchPage(int page, boolean onNewConnection);

        /** Tells the engine to end it. */
        void sendDelete(boolean onNewConnection);

        /** To be answered by {@link #onTimeout} after so long. */
        void startTimer(long delay, Timeout timeout);

        /**
         * Whether another connection to this engine is up: a process that died has reset all it
         * had.
         */
        boolean hasOpenConnection();

        /**
         * Whether somebody waits to be told how it ended: its client has no answer yet, or the
         * program closes.
         */
        boolean isResultAwaited();

        /** When its client's time is up, as its engine was told. */
        long deadline();

        /** It is over; the engine may hold it for {@code rest} more. Called once. */
        void reportEnd(AttemptOutcome outcome, long heldFor);

        /** Nothing more is called for it, now or later. Called once, after {@link #ended}. */
        void release();
    }

    /** What a timer was set for. */
    public enum Timeout {
        RETRY_POLL,
        ABANDON,
        RETRY_DELETE,
        EXPIRY
    }

    /** How a call to the engine failed. */
    public enum CallFailure {
        /** The connection was refused. */
        CONNECTION_REFUSED,
        /** No connection came up in its time. */
        CONNECT_TIMEOUT,
        /** A new connection was reset before anything was written. */
        RESET_BEFORE_SEND,
        /** Nothing was written, for reasons of our own. */
        NOT_SENT,
        /** The connection broke, or no answer came: what was written may have been read. */
        REPLY_LOST,
        /** An answer came that can't be read or used. */
        REPLY_UNREADABLE
    }

    /**
     * What an engine answered. PAGE: a good end or a page, with more to come; LAST: with all pages
     * here.
     */
    public enum EngineReply {
        PROGRESS,
        PAGE,
        LAST_PAGE,
        REFUSED,
        FAILED
    }

    enum State {
        NEW,
        ABANDONED_UNSENT,
        SENT,
        UNACKNOWLEDGED,
        RUNNING,
        FETCHING_PAGES,
        ABANDONING,
        ABANDONING_UNACKNOWLEDGED,
        LINGERING,
        LINGERING_UNACKNOWLEDGED,
        ENDED
    }

    private enum Event {
        STATEMENT_WRITTEN,
        RESET_BEFORE_SEND,
        CONNECT_FAILED,
        NOT_SENT,
        PROGRESS,
        PAGE,
        LAST_PAGE,
        REFUSED,
        FAILED,
        REPLY_LOST,
        ENGINE_GONE,
        TOO_MANY_FAILURES,
        ABANDON,
        DELETE_ACKNOWLEDGED,
        DELETE_FAILED,
        ABANDON_TIMEOUT,
        ABANDON_TIMEOUT_KEYED,
        EXPIRED
    }

    /** SURE: it ends as the outcome says, nothing is held; HELD: the engine may hold it yet. */
    private enum Action {
        NONE,
        SEND_STATEMENT,
        POLL,
        RETRY_CALL,
        FETCH_NEXT_PAGE,
        END_AFTER_CURRENT_EVENT,
        DELETE,
        CONFIRM_END,
        DELETE_ON_QUIET_CONNECTION,
        RETRY_DELETE,
        REPEAT_DELETE,
        LINGER,
        END_PROVEN,
        END_UNPROVEN
    }

    private record Transition(
            State state, Event event, State next, Action action, AttemptOutcome outcome) {}

    private static final Map<State, Map<Event, Transition>> TRANSITIONS =
            new EnumMap<>(State.class);

    private static void transition(
            State state, Event event, State next, Action action, AttemptOutcome outcome) {
        TRANSITIONS
                .computeIfAbsent(state, s -> new EnumMap<>(Event.class))
                .put(event, new Transition(state, event, next, action, outcome));
    }

    // State, event, next state, effect, outcome. What is not here changes nothing.
    static {
        // Not written: an engine never ran it, whatever happens.
        transition(State.NEW, Event.STATEMENT_WRITTEN, State.SENT, Action.NONE, null);
        transition(State.NEW, Event.RESET_BEFORE_SEND, State.NEW, Action.SEND_STATEMENT, null);
        transition(
                State.NEW,
                Event.TOO_MANY_FAILURES,
                State.ENDED,
                Action.END_PROVEN,
                AttemptOutcome.CONNECT_FAILED);
        transition(
                State.NEW,
                Event.CONNECT_FAILED,
                State.ENDED,
                Action.END_PROVEN,
                AttemptOutcome.CONNECT_FAILED);
        transition(
                State.NEW, Event.NOT_SENT, State.ENDED, Action.END_PROVEN, AttemptOutcome.NOT_SENT);
        // Told after what is at hand: it may be a decision that gives it up.
        transition(
                State.NEW,
                Event.ABANDON,
                State.ABANDONED_UNSENT,
                Action.END_AFTER_CURRENT_EVENT,
                null);
        transition(
                State.ABANDONED_UNSENT,
                Event.ABANDON_TIMEOUT,
                State.ENDED,
                Action.END_PROVEN,
                AttemptOutcome.NOT_SENT);
        // Written, and not answered for.
        transition(State.SENT, Event.PROGRESS, State.RUNNING, Action.POLL, null);
        transition(State.SENT, Event.PAGE, State.FETCHING_PAGES, Action.FETCH_NEXT_PAGE, null);
        transition(
                State.SENT,
                Event.LAST_PAGE,
                State.ENDED,
                Action.END_PROVEN,
                AttemptOutcome.SUCCEEDED);
        transition(
                State.SENT, Event.REFUSED, State.ENDED, Action.END_PROVEN, AttemptOutcome.REFUSED);
        transition(
                State.SENT,
                Event.FAILED,
                State.ABANDONING,
                Action.CONFIRM_END,
                AttemptOutcome.FAILED);
        transition(State.SENT, Event.REPLY_LOST, State.UNACKNOWLEDGED, Action.RETRY_CALL, null);
        transition(
                State.SENT,
                Event.TOO_MANY_FAILURES,
                State.ABANDONING_UNACKNOWLEDGED,
                Action.DELETE,
                AttemptOutcome.FAILED);
        transition(State.SENT, Event.ABANDON, State.ABANDONING_UNACKNOWLEDGED, Action.DELETE, null);
        // Its answer was lost. The statement may lie unread: that the engine does not know it
        // proves nothing.
        transition(State.UNACKNOWLEDGED, Event.PROGRESS, State.RUNNING, Action.POLL, null);
        transition(
                State.UNACKNOWLEDGED,
                Event.PAGE,
                State.FETCHING_PAGES,
                Action.FETCH_NEXT_PAGE,
                null);
        transition(
                State.UNACKNOWLEDGED,
                Event.LAST_PAGE,
                State.ENDED,
                Action.END_PROVEN,
                AttemptOutcome.SUCCEEDED);
        transition(
                State.UNACKNOWLEDGED,
                Event.REFUSED,
                State.ENDED,
                Action.END_PROVEN,
                AttemptOutcome.REFUSED);
        transition(
                State.UNACKNOWLEDGED,
                Event.FAILED,
                State.ABANDONING_UNACKNOWLEDGED,
                Action.DELETE,
                AttemptOutcome.FAILED);
        transition(
                State.UNACKNOWLEDGED,
                Event.REPLY_LOST,
                State.UNACKNOWLEDGED,
                Action.RETRY_CALL,
                null);
        transition(
                State.UNACKNOWLEDGED,
                Event.ENGINE_GONE,
                State.ENDED,
                Action.END_UNPROVEN,
                AttemptOutcome.CONNECTION_LOST);
        transition(
                State.UNACKNOWLEDGED,
                Event.TOO_MANY_FAILURES,
                State.ABANDONING_UNACKNOWLEDGED,
                Action.DELETE,
                AttemptOutcome.FAILED);
        transition(
                State.UNACKNOWLEDGED,
                Event.ABANDON,
                State.ABANDONING_UNACKNOWLEDGED,
                Action.DELETE,
                null);
        // The engine has it.
        transition(State.RUNNING, Event.PROGRESS, State.RUNNING, Action.POLL, null);
        transition(State.RUNNING, Event.PAGE, State.FETCHING_PAGES, Action.FETCH_NEXT_PAGE, null);
        transition(
                State.RUNNING,
                Event.LAST_PAGE,
                State.ENDED,
                Action.END_PROVEN,
                AttemptOutcome.SUCCEEDED);
        transition(
                State.RUNNING,
                Event.REFUSED,
                State.ENDED,
                Action.END_PROVEN,
                AttemptOutcome.REFUSED);
        transition(
                State.RUNNING,
                Event.FAILED,
                State.ABANDONING,
                Action.CONFIRM_END,
                AttemptOutcome.FAILED);
        transition(State.RUNNING, Event.REPLY_LOST, State.RUNNING, Action.RETRY_CALL, null);
        // One that drains may refuse new connections and run on.
        transition(
                State.RUNNING,
                Event.ENGINE_GONE,
                State.ENDED,
                Action.END_UNPROVEN,
                AttemptOutcome.CONNECTION_LOST);
        transition(
                State.RUNNING,
                Event.TOO_MANY_FAILURES,
                State.ABANDONING,
                Action.DELETE,
                AttemptOutcome.FAILED);
        transition(State.RUNNING, Event.ABANDON, State.ABANDONING, Action.DELETE, null);
        // It ended well there; only its pages can be lost.
        transition(
                State.FETCHING_PAGES,
                Event.PAGE,
                State.FETCHING_PAGES,
                Action.FETCH_NEXT_PAGE,
                null);
        transition(
                State.FETCHING_PAGES,
                Event.LAST_PAGE,
                State.ENDED,
                Action.END_PROVEN,
                AttemptOutcome.SUCCEEDED);
        transition(
                State.FETCHING_PAGES,
                Event.FAILED,
                State.ENDED,
                Action.END_PROVEN,
                AttemptOutcome.FAILED);
        transition(
                State.FETCHING_PAGES,
                Event.REPLY_LOST,
                State.FETCHING_PAGES,
                Action.RETRY_CALL,
                null);
        transition(
                State.FETCHING_PAGES,
                Event.ENGINE_GONE,
                State.ENDED,
                Action.END_PROVEN,
                AttemptOutcome.CONNECTION_LOST);
        transition(
                State.FETCHING_PAGES,
                Event.TOO_MANY_FAILURES,
                State.ABANDONING,
                Action.DELETE,
                AttemptOutcome.FAILED);
        transition(State.FETCHING_PAGES, Event.ABANDON, State.ABANDONING, Action.DELETE, null);
        // Given up, and the engine had answered for it: its answer to the DELETE, or any last word,
        // proves the end.
        transition(
                State.ABANDONING, Event.DELETE_ACKNOWLEDGED, State.ENDED, Action.END_PROVEN, null);
        transition(State.ABANDONING, Event.REFUSED, State.ENDED, Action.END_PROVEN, null);
        transition(State.ABANDONING, Event.FAILED, State.ENDED, Action.END_PROVEN, null);
        transition(State.ABANDONING, Event.PAGE, State.ENDED, Action.END_PROVEN, null);
        transition(State.ABANDONING, Event.LAST_PAGE, State.ENDED, Action.END_PROVEN, null);
        // The connection that carried this is there, where that of the DELETE may never come up.
        transition(
                State.ABANDONING,
                Event.PROGRESS,
                State.ABANDONING,
                Action.DELETE_ON_QUIET_CONNECTION,
                null);
        transition(
                State.ABANDONING, Event.DELETE_FAILED, State.ABANDONING, Action.RETRY_DELETE, null);
        transition(State.ABANDONING, Event.ABANDON_TIMEOUT, State.ENDED, Action.END_UNPROVEN, null);
        transition(
                State.ABANDONING,
                Event.ABANDON_TIMEOUT_KEYED,
                State.LINGERING,
                Action.LINGER,
                null);
        // Given up, and the DELETE may have overtaken the statement: only an answer to that proves
        // anything.
        transition(
                State.ABANDONING_UNACKNOWLEDGED,
                Event.PROGRESS,
                State.ABANDONING,
                Action.DELETE_ON_QUIET_CONNECTION,
                null);
        transition(
                State.ABANDONING_UNACKNOWLEDGED,
                Event.REFUSED,
                State.ENDED,
                Action.END_PROVEN,
                null);
        transition(
                State.ABANDONING_UNACKNOWLEDGED,
                Event.FAILED,
                State.ENDED,
                Action.END_PROVEN,
                null);
        transition(
                State.ABANDONING_UNACKNOWLEDGED, Event.PAGE, State.ENDED, Action.END_PROVEN, null);
        transition(
                State.ABANDONING_UNACKNOWLEDGED,
                Event.LAST_PAGE,
                State.ENDED,
                Action.END_PROVEN,
                null);
        transition(
                State.ABANDONING_UNACKNOWLEDGED,
                Event.DELETE_ACKNOWLEDGED,
                State.ABANDONING_UNACKNOWLEDGED,
                Action.REPEAT_DELETE,
                null);
        transition(
                State.ABANDONING_UNACKNOWLEDGED,
                Event.DELETE_FAILED,
                State.ABANDONING_UNACKNOWLEDGED,
                Action.RETRY_DELETE,
                null);
        transition(
                State.ABANDONING_UNACKNOWLEDGED,
                Event.ABANDON_TIMEOUT,
                State.ENDED,
                Action.END_UNPROVEN,
                null);
        transition(
                State.ABANDONING_UNACKNOWLEDGED,
                Event.ABANDON_TIMEOUT_KEYED,
                State.LINGERING_UNACKNOWLEDGED,
                Action.LINGER,
                null);
        // Given up, its time to hear of it is over, and others of its key wait. The harm prevented:
        // an engine that was
        // never told may run it on, and what ends there with nobody to ask is out until its limit.
        transition(
                State.LINGERING, Event.DELETE_ACKNOWLEDGED, State.ENDED, Action.END_PROVEN, null);
        transition(State.LINGERING, Event.REFUSED, State.ENDED, Action.END_PROVEN, null);
        transition(State.LINGERING, Event.FAILED, State.ENDED, Action.END_PROVEN, null);
        transition(State.LINGERING, Event.PAGE, State.ENDED, Action.END_PROVEN, null);
        transition(State.LINGERING, Event.LAST_PAGE, State.ENDED, Action.END_PROVEN, null);
        transition(
                State.LINGERING,
                Event.PROGRESS,
                State.LINGERING,
                Action.DELETE_ON_QUIET_CONNECTION,
                null);
        transition(
                State.LINGERING, Event.DELETE_FAILED, State.LINGERING, Action.RETRY_DELETE, null);
        transition(State.LINGERING, Event.EXPIRED, State.ENDED, Action.END_PROVEN, null);
        transition(
                State.LINGERING_UNACKNOWLEDGED,
                Event.PROGRESS,
                State.LINGERING,
                Action.DELETE_ON_QUIET_CONNECTION,
                null);
        transition(
                State.LINGERING_UNACKNOWLEDGED,
                Event.REFUSED,
                State.ENDED,
                Action.END_PROVEN,
                null);
        transition(
                State.LINGERING_UNACKNOWLEDGED, Event.FAILED, State.ENDED, Action.END_PROVEN, null);
        transition(
                State.LINGERING_UNACKNOWLEDGED, Event.PAGE, State.ENDED, Action.END_PROVEN, null);
        transition(
                State.LINGERING_UNACKNOWLEDGED,
                Event.LAST_PAGE,
                State.ENDED,
                Action.END_PROVEN,
                null);
        transition(
                State.LINGERING_UNACKNOWLEDGED,
                Event.DELETE_ACKNOWLEDGED,
                State.LINGERING_UNACKNOWLEDGED,
                Action.REPEAT_DELETE,
                null);
        transition(
                State.LINGERING_UNACKNOWLEDGED,
                Event.DELETE_FAILED,
                State.LINGERING_UNACKNOWLEDGED,
                Action.RETRY_DELETE,
                null);
        transition(
                State.LINGERING_UNACKNOWLEDGED,
                Event.EXPIRED,
                State.ENDED,
                Action.END_PROVEN,
                null);
    }

    private final AttemptActions actions;
    private final boolean keyed;
    private State state = State.NEW;
    private AttemptOutcome outcome;
    private boolean awaitingStatementReply;

    /** Of a DELETE that may be given again. */
    private boolean deleteOnNewConnection;

    private boolean pollOnNewConnection;
    private boolean retryScheduled;

    /** Its engine said that it erred. */
    private boolean failureReported;

    /**
     * A DELETE was answered: its engine can be told, and is told again in case the statement comes
     * yet.
     */
    private boolean deleteAcknowledged;

    /** Its end was told to who waits for it. */
    private boolean endReported;

    private int currentPage;
    private int consecutiveFailures;
    private int unreadableReplies;
    private long lastCallAt;

    /**
     * {@code keyed}: others may wait for it to be over, so its end is proven where that costs a
     * call.
     */
    public AttemptStateMachine(AttemptActions actions, boolean keyed) {
        this.actions = actions;
        this.keyed = keyed;
    }

    /** Asked when a connection for its statement is up: whether that is to be written still. */
    public boolean shouldSendStatement() {
        return state == State.NEW;
    }

    /** Whether its statement was written. */
    public boolean isStatementWritten() {
        return state != State.NEW && state != State.ABANDONED_UNSENT;
    }

    /** Whether it was written and is neither given up nor over. */
    public boolean isRunning() {
        return isStatementWritten() && outcome == null && state != State.ENDED;
    }

    /**
     * Whether it is given up and not over, and its end is not told yet: nobody waits for it but its
     * key.
     */
    public boolean isLingering() {
        return !endReported
                && (state == State.LINGERING || state == State.LINGERING_UNACKNOWLEDGED);
    }

    public boolean isEnded() {
        return state == State.ENDED;
    }

    /** Begins; nothing of it is told before this returns. */
    public void start() {
        if (state == State.NEW) {
            actions.sendStatement();
        }
    }

    /** Its statement goes onto the wire now. */
    public void onStatementWritten(long now) {
        lastCallAt = now;
        awaitingStatementReply = true;
        handle(now, Event.STATEMENT_WRITTEN);
    }

    /** The statement's own answer. */
    public void onStatementReply(long now, EngineReply reply) {
        awaitingStatementReply = false;
        handle(now, eventFor(reply));
    }

    /** The answer to another call. */
    public void onReply(long now, EngineReply reply) {
        // In the blind a word on other calls proves nothing.
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

    /** The statement could not be sent, or its answer was lost. */
    public void onStatementFailed(long now, CallFailure failure) {
        awaitingStatementReply = false;
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

    /** Another call failed. */
    public void onCallFailed(long now, CallFailure failure) {
        unreadableReplies += failure == CallFailure.REPLY_UNREADABLE ? 1 : 0;
        pollOnNewConnection = failure != CallFailure.CONNECTION_REFUSED;
        boolean gone = failure == CallFailure.CONNECTION_REFUSED && !actions.hasOpenConnection();
        handle(
                now,
                gone
                        ? Event.ENGINE_GONE
                        : unreadableReplies >= MAX_UNREADABLE_REPLIES
                                ? Event.TOO_MANY_FAILURES
                                : Event.REPLY_LOST);
    }

    /**
     * Ends it with this outcome, once the engine has heard of it or can't hear in time: until then
     * it is out.
     */
    public void abandon(long now, AttemptOutcome requestedOutcome) {
        if (state != State.ENDED && outcome == null) {
            outcome = requestedOutcome;
            handle(now, Event.ABANDON);
        }
    }

    public void onDeleteAcknowledged(long now) {
        deleteAcknowledged = true;
        // A statement that lay unread for so long does not come any more, and what came before this
        // is ended by it.
        boolean late =
                state == State.LINGERING_UNACKNOWLEDGED && now >= lastCallAt + UNPOLLED_EXPIRY;
        handle(now, late ? Event.EXPIRED : Event.DELETE_ACKNOWLEDGED);
    }

    public void onDeleteFailed(long now, CallFailure failure) {
        deleteOnNewConnection = failure != CallFailure.CONNECTION_REFUSED;
        handle(now, Event.DELETE_FAILED);
    }

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
        Transition transition = TRANSITIONS.getOrDefault(state, Map.of()).get(event);
        if (transition == null) {
            return;
        }
        State before = state;
        state = transition.next;
        outcome = transition.outcome != null ? transition.outcome : outcome;
        switch (transition.action) {
            case NONE -> {}
            case SEND_STATEMENT -> actions.sendStatement();
            case POLL -> pollWithMinimumInterval(now, before);
            case RETRY_CALL -> retryCall(now);
            case FETCH_NEXT_PAGE -> {
                currentPage++;
                lastCallAt = now;
                actions.fetchPage(currentPage, false);
            }
            case END_AFTER_CURRENT_EVENT -> actions.startTimer(0, Timeout.ABANDON);
            case DELETE -> deleteWithTimeout();
            case CONFIRM_END -> {
                if (keyed) {
                    failureReported = true;
                    deleteWithTimeout();
                } else {
                    end(now, false);
                }
            }
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

    private void deleteWithTimeout() {
        retryScheduled = false;
        actions.startTimer(ABANDON_TIMEOUT, Timeout.ABANDON);
        actions.sendDelete(false);
    }

    /** Asks on; an engine that answered at once with nothing is left alone for a moment. */
    private void pollWithMinimumInterval(long now, State before) {
        if (before == State.RUNNING && now - lastCallAt < MIN_LONG_POLL) {
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
     * Whoever waits for its end is told at once, with the rest; else it is told when it is proven.
     */
    private void linger(long now) {
        long limit =
                failureReported || deleteAcknowledged
                        ? 0
                        : actions.deadline() + STATEMENT_TRANSIT_ALLOWANCE;
        long heldFor = Math.max(0, Math.max(lastCallAt + UNPOLLED_EXPIRY, limit) - now);
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
