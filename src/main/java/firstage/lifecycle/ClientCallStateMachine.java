package firstage.lifecycle;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * A batch as its client sees it. The client's first call is held until there is an answer; where
 * that takes long it gets a path to ask at instead, so that a connection that breaks costs a call
 * and not the batch. An answer that was written may be lost with its connection: it is kept for a
 * client that asks again.
 *
 * <p>Times are tenths of a millisecond. Effects go out by {@link ClientCallActions}, which does not
 * call back before it returns.
 */
public final class ClientCallStateMachine {
    /** A first call is held so long: as the engines hold theirs. */
    public static final long FIRST_CALL_HOLD = 2_500;

    /**
     * A client calls again at once, three times at most; so long it may take, and an answer be
     * asked for anew.
     */
    public static final long RECONNECT_TIMEOUT = 20_000;

    /**
     * One that has not called at its path within this may be gone: a way there and back takes
     * milliseconds. Nothing is sent for it until it calls; half of the 0.1 s after which a client
     * that left must cost no engine anything, so that a statement which is just on its way comes in
     * time, too.
     */
    public static final long POLL_GRACE = 500;

    /** Carries the effects out. */
    public interface ClientCallActions {
        /** Answers the first call with the path. */
        void respondWithPollPath();

        /** Answers all calls that are held with the batch's answer. */
        void respond();

        /**
         * Sets the one timer, to be told by {@link ClientCallStateMachine#onTimeout}; the one
         * before is void.
         */
        void startTimer(long delay);

        /** The timer is void. */
        void stopTimer();

        /** Ends the connections of all calls that are held. */
        void closeHeldCalls();

        /** Answers all calls that are held: errored, for it is given up and may have run. */
        void failHeldCalls();

        /** Nobody asks at the path, and nobody may any more: it is not to be sent on. */
        void markClientAbsent();

        /** It is asked for again. */
        void markClientPresent();

        /** The client is gone, or gave up, before there was an answer: it is owed nothing. */
        void markClientGone();

        /** Nobody asks any more: the call is off the books. Called once. */
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

    // State, event, next state, effects. What is not here changes nothing.
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
        // With no path yet a client that closes gives up.
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
        transition(
                State.POLL_PATH_SENT,
                Event.CLIENT_CANCELLED,
                State.RELEASED,
                Action.STOP_TIMER,
                Action.RELEASE,
                Action.MARK_CLIENT_GONE);
        // The harm prevented: a client that closed and can't say so, or whose word is late, is
        // worked for in vain. One
        // whose connection broke finds its batch where it was.
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
        // Which of two calls is the later one can't be told by when they come in: both are held,
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
        // The harm prevented: a client's time may be up before ours says so, as it counts from
        // before it sent; its held
        // call would end with no answer at all, and that is a batch lost.
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

    /** The first call is held. */
    public void start() {
        actions.startTimer(FIRST_CALL_HOLD);
    }

    /** The timer that was set last. */
    public void onTimeout() {
        handle(Event.TIMEOUT);
    }

    /** The client asks at the path; its call is held from here on. */
    public void onPoll() {
        handle(Event.POLL);
    }

    /** There is an answer. */
    public void onAnswerAvailable() {
        handle(Event.ANSWER_AVAILABLE);
    }

    /** The connection of the first call ended under it. */
    public void onFirstCallBroken() {
        handle(Event.FIRST_CALL_BROKEN);
    }

    /** The connection of a call at the path ended under it, and no other is held. */
    public void onLastPollBroken() {
        handle(Event.LAST_POLL_BROKEN);
    }

    /** The client gave up by the path, or did what no client of ours does. */
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
