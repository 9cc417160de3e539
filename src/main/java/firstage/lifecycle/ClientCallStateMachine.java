package firstage.lifecycle;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * State machine of a request from its client's point of view. The client's first call is held until
 * the answer is available. If that takes too long, the client gets a path to poll instead, so that
 * a broken connection costs a call and not the request. An answer that was written may be lost with
 * its connection, so it is kept for a client that polls again.
 *
 * <table>
 * <caption>States</caption>
 * <tr><td>FIRST_CALL_HELD</td><td>the first call waits for the answer</td></tr>
 * <tr><td>POLL_PATH_SENT</td><td>the client has a path and is expected to poll</td></tr>
 * <tr><td>CLIENT_ABSENT</td><td>the client did not poll in time; nothing is sent for it</td></tr>
 * <tr><td>POLL_HELD</td><td>a poll waits for the answer</td></tr>
 * <tr><td>ANSWER_READY</td><td>the answer waits for a poll</td></tr>
 * <tr><td>ANSWER_SENT</td><td>the answer was sent and is kept for another poll</td></tr>
 * <tr><td>RELEASED</td><td>final</td></tr>
 * </table>
 *
 * <p>Invariants: {@link ClientCallActions#release} is called once; a client whose request is
 * released before there is an answer is marked as gone; at most one timer runs.
 *
 * <p>Times are ticks. All calls come on one thread. Actions go out through {@link
 * ClientCallActions}, which does not call back into the state machine before it returns.
 */
public final class ClientCallStateMachine {
    /** Time for which a first call is held, in ticks: as long as engines hold their polls. */
    public static final long FIRST_CALL_HOLD = 2_500;

    /**
     * Time, in ticks, for which an answer is kept and an absent client may come back. A client
     * whose connection broke calls again at once, three times at most.
     */
    public static final long RECONNECT_TIMEOUT = 20_000;

    /**
     * Time, in ticks, after which a client that has not polled may be gone; a round trip takes
     * milliseconds. Nothing is sent for the client until it polls. Half of the 0.1 s after which no
     * engine may work for a client that left, so that a statement that is just being sent is within
     * that limit, too.
     */
    public static final long POLL_GRACE = 500;

    /** Actions of a call. */
    public interface ClientCallActions {
        /** Answers the first call with the path to poll. */
        void respondWithPollPath();

        /** Answers all held calls with the answer to the request. */
        void respond();

        /**
         * Starts the timer, which calls {@link ClientCallStateMachine#onTimeout} after {@code
         * delay}; replaces a timer that runs.
         */
        void startTimer(long delay);

        /** Stops the timer. */
        void stopTimer();

        /** Closes the connections of all held calls. */
        void closeHeldCalls();

        /** Answers all held calls as failed: the request is cancelled and may have run. */
        void failHeldCalls();

        /** Reports that the client does not poll and may be gone: nothing more is sent for it. */
        void markClientAbsent();

        /** Reports that the client polls again. */
        void markClientPresent();

        /**
         * Reports that the client is gone, or cancelled, before there was an answer; it gets none.
         */
        void markClientGone();

        /** Releases the request: the client does not poll any more. Called once. */
        void release();
    }

    enum State {
        FIRST_CALL_HELD,
        POLL_PATH_SENT,
        CLIENT_ABSENT,
        POLL_HELD,
        ANSWER_READY,
        ANSWER_SENT,
        RELEASED
    }

    private enum Event {
        TIMEOUT,
        POLL,
        ANSWER_AVAILABLE,
        FIRST_CALL_BROKEN,
        PATH_CONNECTION_CLOSED,
        LAST_POLL_BROKEN,
        CLIENT_CANCELLED
    }

    private enum Action {
        RESPOND_WITH_POLL_PATH,
        RESPOND,
        START_POLL_GRACE,
        START_REMAINING_RECONNECT_TIMEOUT,
        START_RECONNECT_TIMEOUT,
        STOP_TIMER,
        CLOSE_HELD_CALLS,
        FAIL_HELD_CALLS,
        MARK_CLIENT_ABSENT,
        MARK_CLIENT_PRESENT,
        MARK_CLIENT_GONE,
        RELEASE
    }

    private record Transition(State next, List<Action> actions) {}

    private static final Map<State, Map<Event, Transition>> TRANSITIONS =
            new EnumMap<>(State.class);

    private static void transition(State state, Event event, State next, Action... actions) {
        TRANSITIONS
                .computeIfAbsent(state, s -> new EnumMap<>(Event.class))
                .put(event, new Transition(next, List.of(actions)));
    }

    // State, event, next state, actions. An event without an entry for the current state changes
    // nothing.
    static {
        transition(
                State.FIRST_CALL_HELD,
                Event.TIMEOUT,
                State.POLL_PATH_SENT,
                Action.RESPOND_WITH_POLL_PATH,
                Action.START_POLL_GRACE);
        transition(
                State.FIRST_CALL_HELD,
                Event.ANSWER_AVAILABLE,
                State.RELEASED,
                Action.RESPOND,
                Action.STOP_TIMER,
                Action.RELEASE);
        // A client that closes its connection before it has a path to poll cancels its request.
        transition(
                State.FIRST_CALL_HELD,
                Event.FIRST_CALL_BROKEN,
                State.RELEASED,
                Action.CLOSE_HELD_CALLS,
                Action.STOP_TIMER,
                Action.RELEASE,
                Action.MARK_CLIENT_GONE);
        transition(
                State.FIRST_CALL_HELD,
                Event.CLIENT_CANCELLED,
                State.RELEASED,
                Action.CLOSE_HELD_CALLS,
                Action.STOP_TIMER,
                Action.RELEASE,
                Action.MARK_CLIENT_GONE);
        transition(State.POLL_PATH_SENT, Event.POLL, State.POLL_HELD, Action.STOP_TIMER);
        transition(
                State.POLL_PATH_SENT,
                Event.ANSWER_AVAILABLE,
                State.ANSWER_READY,
                Action.START_RECONNECT_TIMEOUT);
        transition(
                State.POLL_PATH_SENT,
                Event.TIMEOUT,
                State.CLIENT_ABSENT,
                Action.START_REMAINING_RECONNECT_TIMEOUT,
                Action.MARK_CLIENT_ABSENT);
        // The client polls on the connection on which it got the path, so it is absent once that
        // connection is closed.
        transition(
                State.POLL_PATH_SENT,
                Event.PATH_CONNECTION_CLOSED,
                State.CLIENT_ABSENT,
                Action.START_RECONNECT_TIMEOUT,
                Action.MARK_CLIENT_ABSENT);
        transition(
                State.POLL_PATH_SENT,
                Event.CLIENT_CANCELLED,
                State.RELEASED,
                Action.STOP_TIMER,
                Action.RELEASE,
                Action.MARK_CLIENT_GONE);
        // No engine may work for an absent client: it may have left without being able to cancel,
        // or its cancellation may be late. The request is kept for a client whose connection broke.
        transition(
                State.CLIENT_ABSENT,
                Event.POLL,
                State.POLL_HELD,
                Action.STOP_TIMER,
                Action.MARK_CLIENT_PRESENT);
        transition(
                State.CLIENT_ABSENT,
                Event.ANSWER_AVAILABLE,
                State.ANSWER_READY,
                Action.START_RECONNECT_TIMEOUT);
        transition(
                State.CLIENT_ABSENT,
                Event.TIMEOUT,
                State.RELEASED,
                Action.RELEASE,
                Action.MARK_CLIENT_GONE);
        transition(
                State.CLIENT_ABSENT,
                Event.CLIENT_CANCELLED,
                State.RELEASED,
                Action.STOP_TIMER,
                Action.RELEASE,
                Action.MARK_CLIENT_GONE);
        // The order in which two polls arrive does not show which one the client sent last, so both
        // are held and both are answered.
        transition(
                State.POLL_HELD,
                Event.ANSWER_AVAILABLE,
                State.ANSWER_SENT,
                Action.RESPOND,
                Action.START_RECONNECT_TIMEOUT);
        transition(
                State.POLL_HELD,
                Event.LAST_POLL_BROKEN,
                State.CLIENT_ABSENT,
                Action.START_RECONNECT_TIMEOUT,
                Action.MARK_CLIENT_ABSENT);
        // The client's deadline may pass before the manager's, as the client counts it from before
        // it sent the request: its held poll must not end without any answer.
        transition(
                State.POLL_HELD,
                Event.CLIENT_CANCELLED,
                State.RELEASED,
                Action.FAIL_HELD_CALLS,
                Action.RELEASE,
                Action.MARK_CLIENT_GONE);
        transition(
                State.ANSWER_READY,
                Event.POLL,
                State.ANSWER_SENT,
                Action.RESPOND,
                Action.START_RECONNECT_TIMEOUT);
        transition(State.ANSWER_READY, Event.TIMEOUT, State.RELEASED, Action.RELEASE);
        transition(
                State.ANSWER_READY,
                Event.CLIENT_CANCELLED,
                State.RELEASED,
                Action.STOP_TIMER,
                Action.RELEASE);
        transition(
                State.ANSWER_SENT,
                Event.POLL,
                State.ANSWER_SENT,
                Action.RESPOND,
                Action.START_RECONNECT_TIMEOUT);
        transition(State.ANSWER_SENT, Event.TIMEOUT, State.RELEASED, Action.RELEASE);
        transition(
                State.ANSWER_SENT,
                Event.CLIENT_CANCELLED,
                State.RELEASED,
                Action.CLOSE_HELD_CALLS,
                Action.STOP_TIMER,
                Action.RELEASE);
    }

    private final ClientCallActions actions;
    private State state = State.FIRST_CALL_HELD;

    public ClientCallStateMachine(ClientCallActions actions) {
        this.actions = actions;
    }

    /** Starts to hold the first call. */
    public void start() {
        actions.startTimer(FIRST_CALL_HOLD);
    }

    /** Handles the timer that elapsed. */
    public void onTimeout() {
        handle(Event.TIMEOUT);
    }

    /** Handles a poll of the client; the call is held until it is answered. */
    public void onPoll() {
        handle(Event.POLL);
    }

    /** Handles the answer to the request, which has become available. */
    public void onAnswerAvailable() {
        handle(Event.ANSWER_AVAILABLE);
    }

    /** Handles a broken connection of the first call. */
    public void onFirstCallBroken() {
        handle(Event.FIRST_CALL_BROKEN);
    }

    /** Handles the end of the connection on which the path was sent, before any poll. */
    public void onPathConnectionClosed() {
        handle(Event.PATH_CONNECTION_CLOSED);
    }

    /** Handles a broken connection of a poll when no other poll is held. */
    public void onLastPollBroken() {
        handle(Event.LAST_POLL_BROKEN);
    }

    /** Handles a client that cancelled or violated the protocol. */
    public void onClientCancelled() {
        handle(Event.CLIENT_CANCELLED);
    }

    /** Returns whether the client has its answer, or gets none. */
    public boolean isSettled() {
        return state == State.ANSWER_SENT || state == State.RELEASED;
    }

    private void handle(Event event) {
        Transition transition = TRANSITIONS.getOrDefault(state, Map.of()).get(event);
        if (transition == null) {
            return;
        }
        state = transition.next;
        for (Action action : transition.actions) {
            switch (action) {
                case RESPOND_WITH_POLL_PATH -> actions.respondWithPollPath();
                case RESPOND -> actions.respond();
                case START_POLL_GRACE -> actions.startTimer(POLL_GRACE);
                case START_REMAINING_RECONNECT_TIMEOUT ->
                        actions.startTimer(RECONNECT_TIMEOUT - POLL_GRACE);
                case START_RECONNECT_TIMEOUT -> actions.startTimer(RECONNECT_TIMEOUT);
                case STOP_TIMER -> actions.stopTimer();
                case CLOSE_HELD_CALLS -> actions.closeHeldCalls();
                case FAIL_HELD_CALLS -> actions.failHeldCalls();
                case MARK_CLIENT_ABSENT -> actions.markClientAbsent();
                case MARK_CLIENT_PRESENT -> actions.markClientPresent();
                case MARK_CLIENT_GONE -> actions.markClientGone();
                case RELEASE -> actions.release();
            }
        }
    }
}
