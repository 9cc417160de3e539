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
 * held until nobody asked for it in {@link #FORGETS}, counted from our last call, and, where its
 * engine could not even be told, until its client's limit, which that engine knows.
 *
 * <p>Times are tenths of a millisecond. Every call is an event; effects go out by {@link
 * MembershipActions}, which may call back at once only where said.
 */
public final class AttemptStateMachine {
    /**
     * An engine ends by itself what nobody asked for in 2 s. Our last call may have been held there
     * for 250 ms first. What ends of itself meanwhile is out until that is written, which nobody
     * asks for: 2 s more, and the rest is for calls that are late on their way. At 2.45 s orders
     * broke (docs/incidents/the-last-connection.md).
     */
    public static final long FORGETS = 45_000;

    /** So long a dispatch that is given up may take to end: the client's answer may wait for it. */
    private static final long GIVE_UP = 200;

    /** Between askings that fail at once: a lost connection is not worth a busy loop. */
    private static final long PAUSE = 500;

    /**
     * Until a connection that was just in use may carry a DELETE: it rests for 10 ms after an
     * answer.
     */
    private static final long SOON = 120;

    /** An engine counts its limit from when the statement comes: that may be late by so much. */
    private static final long ON_ITS_WAY = 1_000;

    /**
     * Between DELETEs once nobody waits for them: a statement that lay unread may have come
     * meanwhile.
     */
    private static final long NOW_AND_THEN = 5_000;

    /**
     * An engine that has nothing to tell and does not hold the call is asked again after a pause.
     */
    private static final long HELD = 100;

    private static final long NOT_HELD = 200;

    /** Answers in a row that can't be read: some are spoilt on their way, not so many. */
    private static final int MOST_UNREADABLE = 5;

    /** New connections in a row that are reset before the statement is written. */
    private static final int MOST_RESETS = 3;

    /** Carries the effects out; none of them calls back before it returns. */
    public interface Carrier {
        /** Sends the statement where {@link #wanted} still says so when its connection is up. */
        void post();

        /** Asks for news; {@code fresh} on a new connection. */
        void ask(boolean fresh);

        /** Asks for a page of the result, from 1. */
        void fetch(int page, boolean fresh);

        /** Tells the engine to end it. */
        void delete(boolean fresh);

        /** To be answered by {@link #rang} after so long. */
        void after(long delay, Alarm alarm);

        /**
         * Whether another connection to this engine is up: a process that died has reset all it
         * had.
         */
        boolean lives();

        /**
         * Whether somebody waits to be told how it ended: its client has no answer yet, or the
         * program closes.
         */
        boolean awaited();

        /** When its client's time is up, as its engine was told. */
        long limit();

        /** It is over; the engine may hold it for {@code rest} more. Called once. */
        void ended(AttemptOutcome how, long rest);

        /** Nothing more is called for it, now or later. Called once, after {@link #ended}. */
        void done();
    }

    /** What a timer was set for. */
    public enum Alarm {
        AGAIN,
        DUE,
        DELETE_AGAIN,
        FORGOTTEN
    }

    /** How a call to the engine failed. */
    public enum Loss {
        /** The connection was refused. */
        REFUSED,
        /** No connection came up in its time. */
        UNREACHED,
        /** A new connection was reset before anything was written. */
        RESET,
        /** Nothing was written, for reasons of our own. */
        UNSENT,
        /** The connection broke, or no answer came: what was written may have been read. */
        LOST,
        /** An answer came that can't be read or used. */
        SPOILT
    }

    /**
     * What an engine answered. PAGE: a good end or a page, with more to come; LAST: with all pages
     * here.
     */
    public enum Word {
        NEWS,
        PAGE,
        LAST,
        TURNED_AWAY,
        ERROR
    }

    enum State {
        NEW,
        DROPPED,
        POSTING,
        UNHEARD,
        RUNNING,
        FETCHING,
        ENDING,
        ENDING_BLIND,
        LINGERING,
        LINGERING_BLIND,
        OVER
    }

    private enum Event {
        WRITTEN,
        RESET,
        UNREACHED,
        UNSENT,
        NEWS,
        PAGE,
        LAST,
        TURNED_AWAY,
        ERROR,
        LOST,
        GONE,
        TOO_MANY,
        GIVE_UP,
        DELETED,
        UNDELETED,
        DUE,
        DUE_ORDERED,
        FORGOTTEN
    }

    /** SURE: it ends as the outcome says, nothing is held; HELD: the engine may hold it yet. */
    private enum Effect {
        NONE,
        POST,
        ASK,
        ASK_AGAIN,
        FETCH,
        NEXT,
        END_IT,
        CONFIRM,
        DELETE_SOON,
        DELETE_AGAIN,
        DELETE_LATER,
        LINGER,
        SURE,
        HELD
    }

    private record Row(State state, Event event, State next, Effect effect, AttemptOutcome how) {}

    private static final Map<State, Map<Event, Row>> TABLE = new EnumMap<>(State.class);

    private static void row(
            State state, Event event, State next, Effect effect, AttemptOutcome how) {
        TABLE.computeIfAbsent(state, s -> new EnumMap<>(Event.class))
                .put(event, new Row(state, event, next, effect, how));
    }

    // State, event, next state, effect, outcome. What is not here changes nothing.
    static {
        // Not written: an engine never ran it, whatever happens.
        row(State.NEW, Event.WRITTEN, State.POSTING, Effect.NONE, null);
        row(State.NEW, Event.RESET, State.NEW, Effect.POST, null);
        row(State.NEW, Event.TOO_MANY, State.OVER, Effect.SURE, AttemptOutcome.CONNECT_FAILED);
        row(State.NEW, Event.UNREACHED, State.OVER, Effect.SURE, AttemptOutcome.CONNECT_FAILED);
        row(State.NEW, Event.UNSENT, State.OVER, Effect.SURE, AttemptOutcome.NOT_SENT);
        // Told after what is at hand: it may be a decision that gives it up.
        row(State.NEW, Event.GIVE_UP, State.DROPPED, Effect.NEXT, null);
        row(State.DROPPED, Event.DUE, State.OVER, Effect.SURE, AttemptOutcome.NOT_SENT);
        // Written, and not answered for.
        row(State.POSTING, Event.NEWS, State.RUNNING, Effect.ASK, null);
        row(State.POSTING, Event.PAGE, State.FETCHING, Effect.FETCH, null);
        row(State.POSTING, Event.LAST, State.OVER, Effect.SURE, AttemptOutcome.SUCCEEDED);
        row(State.POSTING, Event.TURNED_AWAY, State.OVER, Effect.SURE, AttemptOutcome.REFUSED);
        row(State.POSTING, Event.ERROR, State.ENDING, Effect.CONFIRM, AttemptOutcome.FAILED);
        row(State.POSTING, Event.LOST, State.UNHEARD, Effect.ASK_AGAIN, null);
        row(
                State.POSTING,
                Event.TOO_MANY,
                State.ENDING_BLIND,
                Effect.END_IT,
                AttemptOutcome.FAILED);
        row(State.POSTING, Event.GIVE_UP, State.ENDING_BLIND, Effect.END_IT, null);
        // Its answer was lost. The statement may lie unread: that the engine does not know it
        // proves nothing.
        row(State.UNHEARD, Event.NEWS, State.RUNNING, Effect.ASK, null);
        row(State.UNHEARD, Event.PAGE, State.FETCHING, Effect.FETCH, null);
        row(State.UNHEARD, Event.LAST, State.OVER, Effect.SURE, AttemptOutcome.SUCCEEDED);
        row(State.UNHEARD, Event.TURNED_AWAY, State.OVER, Effect.SURE, AttemptOutcome.REFUSED);
        row(State.UNHEARD, Event.ERROR, State.ENDING_BLIND, Effect.END_IT, AttemptOutcome.FAILED);
        row(State.UNHEARD, Event.LOST, State.UNHEARD, Effect.ASK_AGAIN, null);
        row(State.UNHEARD, Event.GONE, State.OVER, Effect.HELD, AttemptOutcome.CONNECTION_LOST);
        row(
                State.UNHEARD,
                Event.TOO_MANY,
                State.ENDING_BLIND,
                Effect.END_IT,
                AttemptOutcome.FAILED);
        row(State.UNHEARD, Event.GIVE_UP, State.ENDING_BLIND, Effect.END_IT, null);
        // The engine has it.
        row(State.RUNNING, Event.NEWS, State.RUNNING, Effect.ASK, null);
        row(State.RUNNING, Event.PAGE, State.FETCHING, Effect.FETCH, null);
        row(State.RUNNING, Event.LAST, State.OVER, Effect.SURE, AttemptOutcome.SUCCEEDED);
        row(State.RUNNING, Event.TURNED_AWAY, State.OVER, Effect.SURE, AttemptOutcome.REFUSED);
        row(State.RUNNING, Event.ERROR, State.ENDING, Effect.CONFIRM, AttemptOutcome.FAILED);
        row(State.RUNNING, Event.LOST, State.RUNNING, Effect.ASK_AGAIN, null);
        // One that drains may refuse new connections and run on.
        row(State.RUNNING, Event.GONE, State.OVER, Effect.HELD, AttemptOutcome.CONNECTION_LOST);
        row(State.RUNNING, Event.TOO_MANY, State.ENDING, Effect.END_IT, AttemptOutcome.FAILED);
        row(State.RUNNING, Event.GIVE_UP, State.ENDING, Effect.END_IT, null);
        // It ended well there; only its pages can be lost.
        row(State.FETCHING, Event.PAGE, State.FETCHING, Effect.FETCH, null);
        row(State.FETCHING, Event.LAST, State.OVER, Effect.SURE, AttemptOutcome.SUCCEEDED);
        row(State.FETCHING, Event.ERROR, State.OVER, Effect.SURE, AttemptOutcome.FAILED);
        row(State.FETCHING, Event.LOST, State.FETCHING, Effect.ASK_AGAIN, null);
        row(State.FETCHING, Event.GONE, State.OVER, Effect.SURE, AttemptOutcome.CONNECTION_LOST);
        row(State.FETCHING, Event.TOO_MANY, State.ENDING, Effect.END_IT, AttemptOutcome.FAILED);
        row(State.FETCHING, Event.GIVE_UP, State.ENDING, Effect.END_IT, null);
        // Given up, and the engine had answered for it: its answer to the DELETE, or any last word,
        // proves the end.
        row(State.ENDING, Event.DELETED, State.OVER, Effect.SURE, null);
        row(State.ENDING, Event.TURNED_AWAY, State.OVER, Effect.SURE, null);
        row(State.ENDING, Event.ERROR, State.OVER, Effect.SURE, null);
        row(State.ENDING, Event.PAGE, State.OVER, Effect.SURE, null);
        row(State.ENDING, Event.LAST, State.OVER, Effect.SURE, null);
        // The connection that carried this is there, where that of the DELETE may never come up.
        row(State.ENDING, Event.NEWS, State.ENDING, Effect.DELETE_SOON, null);
        row(State.ENDING, Event.UNDELETED, State.ENDING, Effect.DELETE_AGAIN, null);
        row(State.ENDING, Event.DUE, State.OVER, Effect.HELD, null);
        row(State.ENDING, Event.DUE_ORDERED, State.LINGERING, Effect.LINGER, null);
        // Given up, and the DELETE may have overtaken the statement: only an answer to that proves
        // anything.
        row(State.ENDING_BLIND, Event.NEWS, State.ENDING, Effect.DELETE_SOON, null);
        row(State.ENDING_BLIND, Event.TURNED_AWAY, State.OVER, Effect.SURE, null);
        row(State.ENDING_BLIND, Event.ERROR, State.OVER, Effect.SURE, null);
        row(State.ENDING_BLIND, Event.PAGE, State.OVER, Effect.SURE, null);
        row(State.ENDING_BLIND, Event.LAST, State.OVER, Effect.SURE, null);
        row(State.ENDING_BLIND, Event.DELETED, State.ENDING_BLIND, Effect.DELETE_LATER, null);
        row(State.ENDING_BLIND, Event.UNDELETED, State.ENDING_BLIND, Effect.DELETE_AGAIN, null);
        row(State.ENDING_BLIND, Event.DUE, State.OVER, Effect.HELD, null);
        row(State.ENDING_BLIND, Event.DUE_ORDERED, State.LINGERING_BLIND, Effect.LINGER, null);
        // Given up, its time to hear of it is over, and others of its key wait. The harm prevented:
        // an engine that was
        // never told may run it on, and what ends there with nobody to ask is out until its limit.
        row(State.LINGERING, Event.DELETED, State.OVER, Effect.SURE, null);
        row(State.LINGERING, Event.TURNED_AWAY, State.OVER, Effect.SURE, null);
        row(State.LINGERING, Event.ERROR, State.OVER, Effect.SURE, null);
        row(State.LINGERING, Event.PAGE, State.OVER, Effect.SURE, null);
        row(State.LINGERING, Event.LAST, State.OVER, Effect.SURE, null);
        row(State.LINGERING, Event.NEWS, State.LINGERING, Effect.DELETE_SOON, null);
        row(State.LINGERING, Event.UNDELETED, State.LINGERING, Effect.DELETE_AGAIN, null);
        row(State.LINGERING, Event.FORGOTTEN, State.OVER, Effect.SURE, null);
        row(State.LINGERING_BLIND, Event.NEWS, State.LINGERING, Effect.DELETE_SOON, null);
        row(State.LINGERING_BLIND, Event.TURNED_AWAY, State.OVER, Effect.SURE, null);
        row(State.LINGERING_BLIND, Event.ERROR, State.OVER, Effect.SURE, null);
        row(State.LINGERING_BLIND, Event.PAGE, State.OVER, Effect.SURE, null);
        row(State.LINGERING_BLIND, Event.LAST, State.OVER, Effect.SURE, null);
        row(State.LINGERING_BLIND, Event.DELETED, State.LINGERING_BLIND, Effect.DELETE_LATER, null);
        row(
                State.LINGERING_BLIND,
                Event.UNDELETED,
                State.LINGERING_BLIND,
                Effect.DELETE_AGAIN,
                null);
        row(State.LINGERING_BLIND, Event.FORGOTTEN, State.OVER, Effect.SURE, null);
    }

    private final Carrier carrier;
    private final boolean ordered;
    private State state = State.NEW;
    private AttemptOutcome how;
    private boolean postOut;

    /** Of a DELETE that may be given again. */
    private boolean deleteFresh;

    private boolean askFresh;
    private boolean again;

    /** Its engine said that it erred. */
    private boolean heardOver;

    /**
     * A DELETE was answered: its engine can be told, and is told again in case the statement comes
     * yet.
     */
    private boolean reached;

    /** Its end was told to who waits for it. */
    private boolean told;

    private int page;
    private int failures;
    private int unreadable;
    private long lastCall;

    /**
     * {@code ordered}: others may wait for it to be over, so its end is proven where that costs a
     * call.
     */
    public AttemptStateMachine(Carrier carrier, boolean ordered) {
        this.carrier = carrier;
        this.ordered = ordered;
    }

    /** Asked when a connection for its statement is up: whether that is to be written still. */
    public boolean wanted() {
        return state == State.NEW;
    }

    /** Whether its statement was written. */
    public boolean written() {
        return state != State.NEW && state != State.DROPPED;
    }

    /** Whether it was written and is neither given up nor over. */
    public boolean runs() {
        return written() && how == null && state != State.OVER;
    }

    /**
     * Whether it is given up and not over, and its end is not told yet: nobody waits for it but its
     * key.
     */
    public boolean lingers() {
        return !told && (state == State.LINGERING || state == State.LINGERING_BLIND);
    }

    public boolean over() {
        return state == State.OVER;
    }

    /** Begins; nothing of it is told before this returns. */
    public void start() {
        if (state == State.NEW) {
            carrier.post();
        }
    }

    /** Its statement goes onto the wire now. */
    public void written(long now) {
        lastCall = now;
        postOut = true;
        on(now, Event.WRITTEN);
    }

    /** The statement's own answer. */
    public void posted(long now, Word word) {
        postOut = false;
        on(now, event(word));
    }

    /** The answer to another call. */
    public void told(long now, Word word) {
        // In the blind a word on other calls proves nothing.
        if (state != State.ENDING_BLIND && state != State.LINGERING_BLIND) {
            on(now, event(word));
        }
    }

    private Event event(Word word) {
        failures = 0;
        unreadable = word == Word.PAGE ? 0 : unreadable;
        return switch (word) {
            case NEWS -> Event.NEWS;
            case PAGE -> Event.PAGE;
            case LAST -> Event.LAST;
            case TURNED_AWAY -> Event.TURNED_AWAY;
            case ERROR -> Event.ERROR;
        };
    }

    /** The statement could not be sent, or its answer was lost. */
    public void postFailed(long now, Loss loss) {
        postOut = false;
        switch (loss) {
            case RESET -> on(now, ++failures < MOST_RESETS ? Event.RESET : Event.TOO_MANY);
            case REFUSED, UNREACHED -> on(now, Event.UNREACHED);
            case UNSENT -> on(now, Event.UNSENT);
            default -> lost(now, loss);
        }
    }

    /** Another call failed. */
    public void lost(long now, Loss loss) {
        unreadable += loss == Loss.SPOILT ? 1 : 0;
        askFresh = loss != Loss.REFUSED;
        boolean gone = loss == Loss.REFUSED && !carrier.lives();
        on(now, gone ? Event.GONE : unreadable >= MOST_UNREADABLE ? Event.TOO_MANY : Event.LOST);
    }

    /**
     * Ends it with this outcome, once the engine has heard of it or can't hear in time: until then
     * it is out.
     */
    public void giveUp(long now, AttemptOutcome as) {
        if (state != State.OVER && how == null) {
            how = as;
            on(now, Event.GIVE_UP);
        }
    }

    public void deleted(long now) {
        reached = true;
        // A statement that lay unread for so long does not come any more, and what came before this
        // is ended by it.
        boolean late = state == State.LINGERING_BLIND && now >= lastCall + FORGETS;
        on(now, late ? Event.FORGOTTEN : Event.DELETED);
    }

    public void deleteFailed(long now, Loss loss) {
        deleteFresh = loss != Loss.REFUSED;
        on(now, Event.UNDELETED);
    }

    public void rang(long now, Alarm alarm) {
        switch (alarm) {
            case AGAIN -> {
                if (again) {
                    again = false;
                    askAgain(now);
                }
            }
            case DUE -> on(now, ordered && written() ? Event.DUE_ORDERED : Event.DUE);
            case DELETE_AGAIN -> {
                if (ending()) {
                    carrier.delete(deleteFresh);
                }
            }
            case FORGOTTEN -> on(now, Event.FORGOTTEN);
        }
    }

    private void on(long now, Event event) {
        Row row = TABLE.getOrDefault(state, Map.of()).get(event);
        if (row == null) {
            return;
        }
        State before = state;
        state = row.next;
        how = row.how != null ? row.how : how;
        switch (row.effect) {
            case NONE -> {}
            case POST -> carrier.post();
            case ASK -> pace(now, before);
            case ASK_AGAIN -> retry(now);
            case FETCH -> {
                page++;
                lastCall = now;
                carrier.fetch(page, false);
            }
            case NEXT -> carrier.after(0, Alarm.DUE);
            case END_IT -> endIt();
            case CONFIRM -> {
                if (ordered) {
                    heardOver = true;
                    endIt();
                } else {
                    end(now, false);
                }
            }
            case DELETE_SOON -> {
                deleteFresh = false;
                carrier.after(SOON, Alarm.DELETE_AGAIN);
            }
            case DELETE_AGAIN -> carrier.after(PAUSE, Alarm.DELETE_AGAIN);
            case DELETE_LATER -> carrier.after(NOW_AND_THEN, Alarm.DELETE_AGAIN);
            case LINGER -> linger(now);
            case SURE -> end(now, false);
            case HELD -> end(now, true);
        }
    }

    private void endIt() {
        again = false;
        carrier.after(GIVE_UP, Alarm.DUE);
        carrier.delete(false);
    }

    /** Asks on; an engine that answered at once with nothing is left alone for a moment. */
    private void pace(long now, State before) {
        if (before == State.RUNNING && now - lastCall < HELD) {
            again = true;
            askFresh = false;
            carrier.after(NOT_HELD, Alarm.AGAIN);
        } else {
            lastCall = now;
            carrier.ask(false);
        }
    }

    private void retry(long now) {
        // The first time at once: a process that died resets its connections, and refuses the next.
        if (failures++ == 0 && askFresh) {
            askAgain(now);
        } else {
            again = true;
            carrier.after(PAUSE, Alarm.AGAIN);
        }
    }

    private void askAgain(long now) {
        if (state == State.UNHEARD || state == State.RUNNING) {
            lastCall = now;
            carrier.ask(askFresh);
        } else if (state == State.FETCHING) {
            lastCall = now;
            carrier.fetch(page, askFresh);
        }
    }

    private boolean ending() {
        return state == State.ENDING
                || state == State.ENDING_BLIND
                || state == State.LINGERING
                || state == State.LINGERING_BLIND;
    }

    /**
     * Whoever waits for its end is told at once, with the rest; else it is told when it is proven.
     */
    private void linger(long now) {
        long limit = heardOver || reached ? 0 : carrier.limit() + ON_ITS_WAY;
        long rest = Math.max(0, Math.max(lastCall + FORGETS, limit) - now);
        carrier.after(rest, Alarm.FORGOTTEN);
        if (carrier.awaited()) {
            told = true;
            carrier.ended(how, rest);
        }
    }

    private void end(long now, boolean held) {
        state = State.OVER;
        if (!told) {
            told = true;
            carrier.ended(how, held ? Math.max(0, lastCall + FORGETS - now) : 0);
        }
        carrier.done();
    }
}
