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
 * <p>Times are tenths of a millisecond. Effects go out by {@link MembershipActions}, which does not
 * call back before it returns.
 */
public final class ClientCallStateMachine {
    /** A first call is held so long: as the engines hold theirs. */
    public static final long FIRST_HELD = 2_500;

    /**
     * A client calls again at once, three times at most; so long it may take, and an answer be
     * asked for anew.
     */
    public static final long AGAIN = 20_000;

    /**
     * One that has not called at its path within this may be gone: a way there and back takes
     * milliseconds. Nothing is sent for it until it calls; half of the 0.1 s after which a client
     * that left must cost no engine anything, so that a statement which is just on its way comes in
     * time, too.
     */
    public static final long MISSED = 500;

    /** Carries the effects out. */
    public interface Carrier {
        /** Answers the first call with the path. */
        void givePath();

        /** Answers all calls that are held with the batch's answer. */
        void give();

        /**
         * Sets the one timer, to be told by {@link ClientCallStateMachine#due}; the one before is
         * void.
         */
        void arm(long delay);

        /** The timer is void. */
        void disarm();

        /** Ends the connections of all calls that are held. */
        void closeHeld();

        /** Answers all calls that are held: errored, for it is given up and may have run. */
        void failHeld();

        /** Nobody asks at the path, and nobody may any more: it is not to be sent on. */
        void away();

        /** It is asked for again. */
        void back();

        /** The client is gone, or gave up, before there was an answer: it is owed nothing. */
        void left();

        /** Nobody asks any more: the call is off the books. Called once. */
        void forget();
    }

    enum State {
        FIRST,
        PATHED,
        AWAY,
        HELD,
        ANSWERED,
        GIVEN,
        OVER
    }

    private enum Event {
        DUE,
        ASKED,
        ANSWER,
        FIRST_BROKE,
        LAST_BROKE,
        GAVE_UP
    }

    private enum Effect {
        GIVE_PATH,
        GIVE,
        ARM_SHORT,
        ARM_REST,
        ARM,
        DISARM,
        CLOSE,
        FAIL,
        AWAY,
        BACK,
        LEFT,
        FORGET
    }

    private record Row(State next, List<Effect> effects) {}

    private static final Map<State, Map<Event, Row>> TABLE = new EnumMap<>(State.class);

    private static void row(State state, Event event, State next, Effect... effects) {
        TABLE.computeIfAbsent(state, s -> new EnumMap<>(Event.class))
                .put(event, new Row(next, List.of(effects)));
    }

    // State, event, next state, effects. What is not here changes nothing.
    static {
        row(State.FIRST, Event.DUE, State.PATHED, Effect.GIVE_PATH, Effect.ARM_SHORT);
        row(State.FIRST, Event.ANSWER, State.OVER, Effect.GIVE, Effect.DISARM, Effect.FORGET);
        // With no path yet a client that closes gives up.
        row(
                State.FIRST,
                Event.FIRST_BROKE,
                State.OVER,
                Effect.CLOSE,
                Effect.DISARM,
                Effect.FORGET,
                Effect.LEFT);
        row(
                State.FIRST,
                Event.GAVE_UP,
                State.OVER,
                Effect.CLOSE,
                Effect.DISARM,
                Effect.FORGET,
                Effect.LEFT);
        row(State.PATHED, Event.ASKED, State.HELD, Effect.DISARM);
        row(State.PATHED, Event.ANSWER, State.ANSWERED, Effect.ARM);
        row(State.PATHED, Event.DUE, State.AWAY, Effect.ARM_REST, Effect.AWAY);
        row(State.PATHED, Event.GAVE_UP, State.OVER, Effect.DISARM, Effect.FORGET, Effect.LEFT);
        // The harm prevented: a client that closed and can't say so, or whose word is late, is
        // worked for in vain. One
        // whose connection broke finds its batch where it was.
        row(State.AWAY, Event.ASKED, State.HELD, Effect.DISARM, Effect.BACK);
        row(State.AWAY, Event.ANSWER, State.ANSWERED, Effect.ARM);
        row(State.AWAY, Event.DUE, State.OVER, Effect.FORGET, Effect.LEFT);
        row(State.AWAY, Event.GAVE_UP, State.OVER, Effect.DISARM, Effect.FORGET, Effect.LEFT);
        // Which of two calls is the later one can't be told by when they come in: both are held,
        // and both answered.
        row(State.HELD, Event.ANSWER, State.GIVEN, Effect.GIVE, Effect.ARM);
        row(State.HELD, Event.LAST_BROKE, State.AWAY, Effect.ARM, Effect.AWAY);
        // The harm prevented: a client's time may be up before ours says so, as it counts from
        // before it sent; its held
        // call would end with no answer at all, and that is a batch lost.
        row(State.HELD, Event.GAVE_UP, State.OVER, Effect.FAIL, Effect.FORGET, Effect.LEFT);
        row(State.ANSWERED, Event.ASKED, State.GIVEN, Effect.GIVE, Effect.ARM);
        row(State.ANSWERED, Event.DUE, State.OVER, Effect.FORGET);
        row(State.ANSWERED, Event.GAVE_UP, State.OVER, Effect.DISARM, Effect.FORGET);
        row(State.GIVEN, Event.ASKED, State.GIVEN, Effect.GIVE, Effect.ARM);
        row(State.GIVEN, Event.DUE, State.OVER, Effect.FORGET);
        row(State.GIVEN, Event.GAVE_UP, State.OVER, Effect.CLOSE, Effect.DISARM, Effect.FORGET);
    }

    private final Carrier carrier;
    private State state = State.FIRST;

    public ClientCallStateMachine(Carrier carrier) {
        this.carrier = carrier;
    }

    /** The first call is held. */
    public void start() {
        carrier.arm(FIRST_HELD);
    }

    /** The timer that was set last. */
    public void due() {
        on(Event.DUE);
    }

    /** The client asks at the path; its call is held from here on. */
    public void asked() {
        on(Event.ASKED);
    }

    /** There is an answer. */
    public void answer() {
        on(Event.ANSWER);
    }

    /** The connection of the first call ended under it. */
    public void firstBroke() {
        on(Event.FIRST_BROKE);
    }

    /** The connection of a call at the path ended under it, and no other is held. */
    public void lastBroke() {
        on(Event.LAST_BROKE);
    }

    /** The client gave up by the path, or did what no client of ours does. */
    public void gaveUp() {
        on(Event.GAVE_UP);
    }

    /** Whether its client has its answer, or is owed none. */
    public boolean settled() {
        return state == State.GIVEN || state == State.OVER;
    }

    private void on(Event event) {
        Row row = TABLE.getOrDefault(state, Map.of()).get(event);
        if (row == null) {
            return;
        }
        state = row.next;
        for (Effect effect : row.effects) {
            switch (effect) {
                case GIVE_PATH -> carrier.givePath();
                case GIVE -> carrier.give();
                case ARM_SHORT -> carrier.arm(MISSED);
                case ARM_REST -> carrier.arm(AGAIN - MISSED);
                case ARM -> carrier.arm(AGAIN);
                case DISARM -> carrier.disarm();
                case CLOSE -> carrier.closeHeld();
                case FAIL -> carrier.failHeld();
                case AWAY -> carrier.away();
                case BACK -> carrier.back();
                case LEFT -> carrier.left();
                case FORGET -> carrier.forget();
            }
        }
    }
}
