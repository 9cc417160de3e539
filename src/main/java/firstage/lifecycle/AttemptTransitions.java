package firstage.lifecycle;

import firstage.policy.api.AttemptOutcome;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

/**
 * Transition table of {@link AttemptStateMachine}: state, event, next state, action, and the
 * outcome that the transition settles. An event without an entry for the current state changes
 * nothing.
 */
final class AttemptTransitions {
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

    enum Event {
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
        ENGINE_GONE_END_NEEDED,
        TOO_MANY_FAILURES,
        ABANDON,
        DELETE_ACKNOWLEDGED,
        DELETE_UNCERTAIN,
        DELETE_FAILED,
        ABANDON_TIMEOUT,
        ABANDON_TIMEOUT_END_NEEDED,
        EXPIRED
    }

    /** Actions of transitions, which {@link AttemptStateMachine} performs. */
    enum Action {
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
        LINGER_AND_DELETE,
        END_PROVEN,
        END_UNPROVEN
    }

    /**
     * Reaction to an event in a state.
     *
     * @param outcome the outcome with which the attempt will end; empty if the transition settles
     *     none
     */
    record Transition(State next, Action action, Optional<AttemptOutcome> outcome) {}

    private static final Map<State, Map<Event, Transition>> TABLE = new EnumMap<>(State.class);

    static {
        // The statement is not written yet: whatever happens, the engine never ran it.
        on(State.NEW, Event.STATEMENT_WRITTEN, State.SENT, Action.NONE);
        on(State.NEW, Event.RESET_BEFORE_SEND, State.NEW, Action.SEND_STATEMENT);
        on(
                State.NEW,
                Event.TOO_MANY_FAILURES,
                State.ENDED,
                Action.END_PROVEN,
                AttemptOutcome.CONNECT_FAILED);
        on(
                State.NEW,
                Event.CONNECT_FAILED,
                State.ENDED,
                Action.END_PROVEN,
                AttemptOutcome.CONNECT_FAILED);
        on(State.NEW, Event.NOT_SENT, State.ENDED, Action.END_PROVEN, AttemptOutcome.NOT_SENT);
        on(State.NEW, Event.ABANDON, State.ABANDONED_UNSENT, Action.END_AFTER_CURRENT_EVENT);
        // The attempt ends only after the current event, since that event may be the decision that
        // abandons it.
        on(
                State.ABANDONED_UNSENT,
                Event.ABANDON_TIMEOUT,
                State.ENDED,
                Action.END_PROVEN,
                AttemptOutcome.NOT_SENT);
        // The statement is written, and no reply has come.
        on(State.SENT, Event.PROGRESS, State.RUNNING, Action.POLL);
        on(State.SENT, Event.PAGE, State.FETCHING_PAGES, Action.FETCH_NEXT_PAGE);
        on(State.SENT, Event.LAST_PAGE, State.ENDED, Action.END_PROVEN, AttemptOutcome.SUCCEEDED);
        on(State.SENT, Event.REFUSED, State.ENDED, Action.END_PROVEN, AttemptOutcome.REFUSED);
        on(State.SENT, Event.FAILED, State.ABANDONING, Action.CONFIRM_END, AttemptOutcome.FAILED);
        on(State.SENT, Event.REPLY_LOST, State.UNACKNOWLEDGED, Action.RETRY_CALL);
        on(
                State.SENT,
                Event.TOO_MANY_FAILURES,
                State.ABANDONING_UNACKNOWLEDGED,
                Action.DELETE,
                AttemptOutcome.FAILED);
        on(State.SENT, Event.ABANDON, State.ABANDONING_UNACKNOWLEDGED, Action.DELETE);
        // The statement was not written completely: the engine never started it.
        on(State.SENT, Event.NOT_SENT, State.ENDED, Action.END_PROVEN, AttemptOutcome.NOT_SENT);
        on(State.ABANDONING_UNACKNOWLEDGED, Event.NOT_SENT, State.ENDED, Action.END_PROVEN);
        on(State.LINGERING_UNACKNOWLEDGED, Event.NOT_SENT, State.ENDED, Action.END_PROVEN);
        // The reply was lost. The engine may not have read the statement yet, so a reply that the
        // statement is unknown does not prove the end.
        on(State.UNACKNOWLEDGED, Event.PROGRESS, State.RUNNING, Action.POLL);
        on(State.UNACKNOWLEDGED, Event.PAGE, State.FETCHING_PAGES, Action.FETCH_NEXT_PAGE);
        on(
                State.UNACKNOWLEDGED,
                Event.LAST_PAGE,
                State.ENDED,
                Action.END_PROVEN,
                AttemptOutcome.SUCCEEDED);
        on(
                State.UNACKNOWLEDGED,
                Event.REFUSED,
                State.ENDED,
                Action.END_PROVEN,
                AttemptOutcome.REFUSED);
        on(
                State.UNACKNOWLEDGED,
                Event.FAILED,
                State.ABANDONING_UNACKNOWLEDGED,
                Action.DELETE,
                AttemptOutcome.FAILED);
        on(State.UNACKNOWLEDGED, Event.REPLY_LOST, State.UNACKNOWLEDGED, Action.RETRY_CALL);
        on(
                State.UNACKNOWLEDGED,
                Event.ENGINE_GONE,
                State.ENDED,
                Action.END_UNPROVEN,
                AttemptOutcome.CONNECTION_LOST);
        on(
                State.UNACKNOWLEDGED,
                Event.ENGINE_GONE_END_NEEDED,
                State.LINGERING_UNACKNOWLEDGED,
                Action.LINGER_AND_DELETE,
                AttemptOutcome.CONNECTION_LOST);
        on(
                State.UNACKNOWLEDGED,
                Event.TOO_MANY_FAILURES,
                State.ABANDONING_UNACKNOWLEDGED,
                Action.DELETE,
                AttemptOutcome.FAILED);
        on(State.UNACKNOWLEDGED, Event.ABANDON, State.ABANDONING_UNACKNOWLEDGED, Action.DELETE);
        // The engine has confirmed the statement. A draining engine may refuse new connections and
        // still run the statement.
        on(State.RUNNING, Event.PROGRESS, State.RUNNING, Action.POLL);
        on(State.RUNNING, Event.PAGE, State.FETCHING_PAGES, Action.FETCH_NEXT_PAGE);
        on(
                State.RUNNING,
                Event.LAST_PAGE,
                State.ENDED,
                Action.END_PROVEN,
                AttemptOutcome.SUCCEEDED);
        on(State.RUNNING, Event.REFUSED, State.ENDED, Action.END_PROVEN, AttemptOutcome.REFUSED);
        on(
                State.RUNNING,
                Event.FAILED,
                State.ABANDONING,
                Action.CONFIRM_END,
                AttemptOutcome.FAILED);
        on(State.RUNNING, Event.REPLY_LOST, State.RUNNING, Action.RETRY_CALL);
        on(
                State.RUNNING,
                Event.ENGINE_GONE,
                State.ENDED,
                Action.END_UNPROVEN,
                AttemptOutcome.CONNECTION_LOST);
        on(
                State.RUNNING,
                Event.ENGINE_GONE_END_NEEDED,
                State.LINGERING,
                Action.LINGER_AND_DELETE,
                AttemptOutcome.CONNECTION_LOST);
        on(
                State.RUNNING,
                Event.TOO_MANY_FAILURES,
                State.ABANDONING,
                Action.DELETE,
                AttemptOutcome.FAILED);
        on(State.RUNNING, Event.ABANDON, State.ABANDONING, Action.DELETE);
        // The statement succeeded at the engine; only its pages can be lost.
        on(State.FETCHING_PAGES, Event.PAGE, State.FETCHING_PAGES, Action.FETCH_NEXT_PAGE);
        on(
                State.FETCHING_PAGES,
                Event.LAST_PAGE,
                State.ENDED,
                Action.END_PROVEN,
                AttemptOutcome.SUCCEEDED);
        on(
                State.FETCHING_PAGES,
                Event.FAILED,
                State.ENDED,
                Action.END_PROVEN,
                AttemptOutcome.FAILED);
        on(State.FETCHING_PAGES, Event.REPLY_LOST, State.FETCHING_PAGES, Action.RETRY_CALL);
        on(
                State.FETCHING_PAGES,
                Event.ENGINE_GONE,
                State.ENDED,
                Action.END_PROVEN,
                AttemptOutcome.CONNECTION_LOST);
        on(
                State.FETCHING_PAGES,
                Event.ENGINE_GONE_END_NEEDED,
                State.ENDED,
                Action.END_PROVEN,
                AttemptOutcome.CONNECTION_LOST);
        on(
                State.FETCHING_PAGES,
                Event.TOO_MANY_FAILURES,
                State.ABANDONING,
                Action.DELETE,
                AttemptOutcome.FAILED);
        on(State.FETCHING_PAGES, Event.ABANDON, State.ABANDONING, Action.DELETE);
        // The attempt was abandoned after a reply to the statement: the answer to the DELETE, or
        // any final reply, proves the end. After PROGRESS the DELETE is sent again on the
        // connection that carried this reply, as the connection for the first DELETE may never be
        // established.
        on(State.ABANDONING, Event.DELETE_ACKNOWLEDGED, State.ENDED, Action.END_PROVEN);
        on(State.ABANDONING, Event.REFUSED, State.ENDED, Action.END_PROVEN);
        on(State.ABANDONING, Event.FAILED, State.ENDED, Action.END_PROVEN);
        on(State.ABANDONING, Event.PAGE, State.ENDED, Action.END_PROVEN);
        on(State.ABANDONING, Event.LAST_PAGE, State.ENDED, Action.END_PROVEN);
        on(State.ABANDONING, Event.PROGRESS, State.ABANDONING, Action.DELETE_ON_QUIET_CONNECTION);
        on(State.ABANDONING, Event.DELETE_UNCERTAIN, State.ABANDONING, Action.REPEAT_DELETE);
        on(State.ABANDONING, Event.DELETE_FAILED, State.ABANDONING, Action.RETRY_DELETE);
        on(State.ABANDONING, Event.ABANDON_TIMEOUT, State.ENDED, Action.END_UNPROVEN);
        on(State.ABANDONING, Event.ABANDON_TIMEOUT_END_NEEDED, State.LINGERING, Action.LINGER);
        // The attempt was abandoned without a reply to the statement, which the DELETE may have
        // overtaken: only a reply to the statement itself proves the end.
        on(
                State.ABANDONING_UNACKNOWLEDGED,
                Event.PROGRESS,
                State.ABANDONING,
                Action.DELETE_ON_QUIET_CONNECTION);
        on(State.ABANDONING_UNACKNOWLEDGED, Event.REFUSED, State.ENDED, Action.END_PROVEN);
        on(State.ABANDONING_UNACKNOWLEDGED, Event.FAILED, State.ENDED, Action.END_PROVEN);
        on(State.ABANDONING_UNACKNOWLEDGED, Event.PAGE, State.ENDED, Action.END_PROVEN);
        on(State.ABANDONING_UNACKNOWLEDGED, Event.LAST_PAGE, State.ENDED, Action.END_PROVEN);
        on(
                State.ABANDONING_UNACKNOWLEDGED,
                Event.DELETE_ACKNOWLEDGED,
                State.ABANDONING_UNACKNOWLEDGED,
                Action.REPEAT_DELETE);
        on(
                State.ABANDONING_UNACKNOWLEDGED,
                Event.DELETE_FAILED,
                State.ABANDONING_UNACKNOWLEDGED,
                Action.RETRY_DELETE);
        on(
                State.ABANDONING_UNACKNOWLEDGED,
                Event.ABANDON_TIMEOUT,
                State.ENDED,
                Action.END_UNPROVEN);
        on(
                State.ABANDONING_UNACKNOWLEDGED,
                Event.ABANDON_TIMEOUT_END_NEEDED,
                State.LINGERING_UNACKNOWLEDGED,
                Action.LINGER);
        // The attempt was abandoned, the abandon timeout is over, and other requests of the
        // ordering key wait, or the next attempt of the same request does. An engine that received
        // no DELETE may still run the statement, and keeps the unread result until the client's
        // deadline.
        on(State.LINGERING, Event.DELETE_ACKNOWLEDGED, State.ENDED, Action.END_PROVEN);
        on(State.LINGERING, Event.REFUSED, State.ENDED, Action.END_PROVEN);
        on(State.LINGERING, Event.FAILED, State.ENDED, Action.END_PROVEN);
        on(State.LINGERING, Event.PAGE, State.ENDED, Action.END_PROVEN);
        on(State.LINGERING, Event.LAST_PAGE, State.ENDED, Action.END_PROVEN);
        on(State.LINGERING, Event.PROGRESS, State.LINGERING, Action.DELETE_ON_QUIET_CONNECTION);
        on(State.LINGERING, Event.DELETE_UNCERTAIN, State.LINGERING, Action.REPEAT_DELETE);
        on(State.LINGERING, Event.DELETE_FAILED, State.LINGERING, Action.RETRY_DELETE);
        on(State.LINGERING, Event.EXPIRED, State.ENDED, Action.END_PROVEN);
        on(
                State.LINGERING_UNACKNOWLEDGED,
                Event.PROGRESS,
                State.LINGERING,
                Action.DELETE_ON_QUIET_CONNECTION);
        on(State.LINGERING_UNACKNOWLEDGED, Event.REFUSED, State.ENDED, Action.END_PROVEN);
        on(State.LINGERING_UNACKNOWLEDGED, Event.FAILED, State.ENDED, Action.END_PROVEN);
        on(State.LINGERING_UNACKNOWLEDGED, Event.PAGE, State.ENDED, Action.END_PROVEN);
        on(State.LINGERING_UNACKNOWLEDGED, Event.LAST_PAGE, State.ENDED, Action.END_PROVEN);
        on(
                State.LINGERING_UNACKNOWLEDGED,
                Event.DELETE_ACKNOWLEDGED,
                State.LINGERING_UNACKNOWLEDGED,
                Action.REPEAT_DELETE);
        on(
                State.LINGERING_UNACKNOWLEDGED,
                Event.DELETE_FAILED,
                State.LINGERING_UNACKNOWLEDGED,
                Action.RETRY_DELETE);
        on(State.LINGERING_UNACKNOWLEDGED, Event.EXPIRED, State.ENDED, Action.END_PROVEN);
    }

    private AttemptTransitions() {}

    private static void on(State state, Event event, State next, Action action) {
        add(state, event, new Transition(next, action, Optional.empty()));
    }

    private static void on(
            State state, Event event, State next, Action action, AttemptOutcome outcome) {
        add(state, event, new Transition(next, action, Optional.of(outcome)));
    }

    private static void add(State state, Event event, Transition transition) {
        TABLE.computeIfAbsent(state, s -> new EnumMap<>(Event.class)).put(event, transition);
    }

    /** Returns what the event proves if it ends an attempt in this state. */
    static EndProof proofOf(State state, Event event) {
        boolean unsent = state == State.NEW || state == State.ABANDONED_UNSENT;
        return switch (event) {
            case NOT_SENT -> EndProof.NOT_SENT;
            case DELETE_ACKNOWLEDGED -> EndProof.DELETE_ANSWERED;
            case EXPIRED -> EndProof.NOT_POLLED;
            // Pages are fetched after the engine has reported that the statement succeeded.
            default -> unsent ? EndProof.NOT_SENT : EndProof.ENGINE_REPLY;
        };
    }

    /** Returns the transition for an event in a state; empty if the event changes nothing. */
    static Optional<Transition> find(State state, Event event) {
        return Optional.ofNullable(TABLE.getOrDefault(state, Map.of()).get(event));
    }
}
