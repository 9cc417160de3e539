package firstage.lifecycle;

import firstage.policy.api.AttemptOutcome;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

/**
 * The table of transitions of {@link AttemptStateMachine}: state, event, next state, action, and
 * the outcome that is settled by it. An event that is not in the row of a state changes nothing.
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
        TOO_MANY_FAILURES,
        ABANDON,
        DELETE_ACKNOWLEDGED,
        DELETE_FAILED,
        ABANDON_TIMEOUT,
        ABANDON_TIMEOUT_KEYED,
        EXPIRED
    }

    /** What a transition does; {@link AttemptStateMachine} carries it out. */
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
        END_PROVEN,
        END_UNPROVEN
    }

    /**
     * One transition.
     *
     * @param outcome what the attempt will end with; empty where the transition settles none
     */
    record Transition(State next, Action action, Optional<AttemptOutcome> outcome) {}

    private static final Map<State, Map<Event, Transition>> TABLE = new EnumMap<>(State.class);

    static {
        // Not written yet: the engine never ran it, whatever happens.
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
        // Ends after the current event: that may be the decision that abandons it.
        on(
                State.ABANDONED_UNSENT,
                Event.ABANDON_TIMEOUT,
                State.ENDED,
                Action.END_PROVEN,
                AttemptOutcome.NOT_SENT);
        // Written, and not answered.
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
        // Not written to its end: the engine never began it.
        on(State.SENT, Event.NOT_SENT, State.ENDED, Action.END_PROVEN, AttemptOutcome.NOT_SENT);
        on(State.ABANDONING_UNACKNOWLEDGED, Event.NOT_SENT, State.ENDED, Action.END_PROVEN);
        on(State.LINGERING_UNACKNOWLEDGED, Event.NOT_SENT, State.ENDED, Action.END_PROVEN);
        // Its answer was lost. The statement may lie unread: that the engine does not know it
        // proves
        // nothing.
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
                Event.TOO_MANY_FAILURES,
                State.ABANDONING_UNACKNOWLEDGED,
                Action.DELETE,
                AttemptOutcome.FAILED);
        on(State.UNACKNOWLEDGED, Event.ABANDON, State.ABANDONING_UNACKNOWLEDGED, Action.DELETE);
        // The engine has it. One that drains may refuse new connections and run on.
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
                Event.TOO_MANY_FAILURES,
                State.ABANDONING,
                Action.DELETE,
                AttemptOutcome.FAILED);
        on(State.RUNNING, Event.ABANDON, State.ABANDONING, Action.DELETE);
        // It succeeded there; only its pages can be lost.
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
                Event.TOO_MANY_FAILURES,
                State.ABANDONING,
                Action.DELETE,
                AttemptOutcome.FAILED);
        on(State.FETCHING_PAGES, Event.ABANDON, State.ABANDONING, Action.DELETE);
        // Abandoned, and the engine had answered for it: its answer to the DELETE, or any final
        // reply,
        // proves the end. The connection of PROGRESS is there, where that of the DELETE may never
        // come up.
        on(State.ABANDONING, Event.DELETE_ACKNOWLEDGED, State.ENDED, Action.END_PROVEN);
        on(State.ABANDONING, Event.REFUSED, State.ENDED, Action.END_PROVEN);
        on(State.ABANDONING, Event.FAILED, State.ENDED, Action.END_PROVEN);
        on(State.ABANDONING, Event.PAGE, State.ENDED, Action.END_PROVEN);
        on(State.ABANDONING, Event.LAST_PAGE, State.ENDED, Action.END_PROVEN);
        on(State.ABANDONING, Event.PROGRESS, State.ABANDONING, Action.DELETE_ON_QUIET_CONNECTION);
        on(State.ABANDONING, Event.DELETE_FAILED, State.ABANDONING, Action.RETRY_DELETE);
        on(State.ABANDONING, Event.ABANDON_TIMEOUT, State.ENDED, Action.END_UNPROVEN);
        on(State.ABANDONING, Event.ABANDON_TIMEOUT_KEYED, State.LINGERING, Action.LINGER);
        // Abandoned, and the DELETE may have overtaken the statement: only a reply to the statement
        // itself proves anything.
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
                Event.ABANDON_TIMEOUT_KEYED,
                State.LINGERING_UNACKNOWLEDGED,
                Action.LINGER);
        // Abandoned, its time to hear of it is over, and others of its key wait: an engine that was
        // never told may run it on, and a result that nobody fetches is held until its deadline.
        on(State.LINGERING, Event.DELETE_ACKNOWLEDGED, State.ENDED, Action.END_PROVEN);
        on(State.LINGERING, Event.REFUSED, State.ENDED, Action.END_PROVEN);
        on(State.LINGERING, Event.FAILED, State.ENDED, Action.END_PROVEN);
        on(State.LINGERING, Event.PAGE, State.ENDED, Action.END_PROVEN);
        on(State.LINGERING, Event.LAST_PAGE, State.ENDED, Action.END_PROVEN);
        on(State.LINGERING, Event.PROGRESS, State.LINGERING, Action.DELETE_ON_QUIET_CONNECTION);
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

    /** The transition of an event in a state; empty where the event changes nothing. */
    static Optional<Transition> find(State state, Event event) {
        return Optional.ofNullable(TABLE.getOrDefault(state, Map.of()).get(event));
    }
}
