package firstage.lifecycle;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * A request as its client sees it. The client's first call is held until there is an answer; where
 * that takes long it gets a path to poll instead, so that a connection that breaks costs a call and
 * not the request. An answer that was written may be lost with its connection: it is kept for a
 * client that polls again.
 *
 * <table>
 * <caption>States</caption>
 * <tr><td>FIRST_CALL_HELD</td><td>the first call waits for the answer</td></tr>
 * <tr><td>POLL_PATH_SENT</td><td>the client has a path and is expected to poll</td></tr>
 * <tr><td>CLIENT_ABSENT</td><td>it did not poll in time: nothing new is sent for it</td></tr>
 * <tr><td>POLL_HELD</td><td>a poll waits for the answer</td></tr>
 * <tr><td>ANSWER_READY</td><td>the answer waits for a poll</td></tr>
 * <tr><td>ANSWER_SENT</td><td>the answer was sent, and is kept for another poll</td></tr>
 * <tr><td>RELEASED</td><td>final</td></tr>
 * </table>
 *
 * <p>Invariants: {@link ClientCallActions#release} is called once; a client whose request is
 * released before there is an answer is marked gone; at most one timer runs.
 *
 * <p>Times are ticks. Calls come on one thread; actions go out by {@link ClientCallActions}, which
 * does not call back before it returns.
 */
public final class ClientCallStateMachine {
    /** How long a first call is held: as long as the engines hold theirs. */
    public static final long FIRST_CALL_HOLD = 2_500;

    /**
     * A client whose connection broke calls again at once, three times at most: within this an
     * answer may be fetched again.
     */
    public static final long RECONNECT_TIMEOUT = 20_000;

    /**
     * A client that has not polled within this may be gone: a round trip takes milliseconds.
     * Nothing is sent for it until it polls. Half of the 0.1 s after which a client that left must
     * cost no engine anything, so that a statement which is just being sent is in time, too.
     */
    public static final long POLL_GRACE = 500;

    /** What a call causes. */
    public interface ClientCallActions {
        /** Answers the first call with the path to poll. */
        void respondWithPollPath();

        /** Answers all calls that are held with the request's answer. */
        void respond();

        /**
         * Starts the one timer, which ends in {@link ClientCallStateMachine#onTimeout}; replaces
         * the one before.
         */
        void startTimer(long delay);

        /** Stops the timer. */
        void stopTimer();

        /** Ends the connections of all calls that are held. */
        void closeHeldCalls();

        /** Answers all calls that are held as failed: the request is cancelled and may have run. */
        void failHeldCalls();

        /** Nobody polls, and the client may be gone: nothing more is to be sent for it. */
        void markClientAbsent();

        /** The client polls again. */
        void markClientPresent();

        /** The client is gone, or cancelled, before there was an answer: it is owed none. */
        void markClientGone();

        /** Nobody polls any more. Called once. */
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

    // State, event, next state, actions. An event that is not here changes nothing.
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
        // A client that closes before it has a path cancels.
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
        // The connection on which it has its path, and on which it polls.
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
        // A client that closed and can't say so, or whose cancellation is late, must cost no
        // engine anything. One whose connection broke finds its request where it was.
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
        // Which of two polls is the later one can't be known from when they arrive: both are held,
        // and both answered.
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
        // A client's deadline may pass before ours, as it counts from before it sent: its held
        // poll must not end with no answer at all.
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

    /** Begins: the first call is held. */
    public void start() {
        actions.startTimer(FIRST_CALL_HOLD);
    }

    /** The timer ran out. */
    public void onTimeout() {
        handle(Event.TIMEOUT);
    }

    /** The client polls; its call is held from here on. */
    public void onPoll() {
        handle(Event.POLL);
    }

    /** There is an answer. */
    public void onAnswerAvailable() {
        handle(Event.ANSWER_AVAILABLE);
    }

    /** The connection of the first call broke. */
    public void onFirstCallBroken() {
        handle(Event.FIRST_CALL_BROKEN);
    }

    /** The connection on which the path was sent ended, and no poll had come. */
    public void onPathConnectionClosed() {
        handle(Event.PATH_CONNECTION_CLOSED);
    }

    /** The connection of a poll broke, and no other poll is held. */
    public void onLastPollBroken() {
        handle(Event.LAST_POLL_BROKEN);
    }

    /** The client cancelled, or broke the protocol. */
    public void onClientCancelled() {
        handle(Event.CLIENT_CANCELLED);
    }

    /** Whether its client has its answer, or is owed none. */
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
