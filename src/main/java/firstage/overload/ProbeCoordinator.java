package firstage.overload;

import firstage.overload.OverloadDigest.Word;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Who tries a sick engine, and who keeps away from it. Each manager by itself finds out that an
 * engine is sick by batches that are lost there, and tries one that it holds closed after a rest: a
 * fleet of forty loses forty batches to learn it and forty a rest to unlearn it, and all come back
 * in one instant. Where several hold an engine closed, the others keep away unless they have heard
 * from it themselves of late; one of those that hold it closed, its owner by rendezvous hashing
 * (Thaler and Ravishankar 1998), tries it, the more often as it is alone; when that went well the
 * others follow in steps, twice as many each, so that a step that breaks it again takes few along.
 * An engine that only one holds closed is its own matter: that is its way to the engine, not the
 * engine. Where most engines are closed by others' words, the words count for nothing.
 *
 * <p>A right is only ever withheld by words of others that are fresh by this manager's clock; with
 * none, it goes by itself as ever. Times are tenths of a millisecond.
 */
public final class ProbeCoordinator {
    private static final int SEVERAL =
            3; // hold it closed before it is the engine: one or two may share a bad way
    private static final long LEAST_FRESH = 30_000; // a word lasts: some rounds of a small fleet
    private static final double ROUNDS =
            1.5; // and of a large one, in rounds in which each hears each
    private static final long TRY_EVERY =
            20_000; // by the owner: a batch in two seconds there, whatever the fleet
    private static final long HEARD =
            20_000; // by ourselves of late: our own news is better than others'
    private static final double MOST_PART =
            0.34; // of the engines are kept away from: else it is not the engines
    private static final long NO_TRIAL =
            120_000; // an owner without a batch to try it with is passed over after this
    private static final long STEP =
            2_500; // between steps back: a short batch must have come back by then
    private static final long FREE =
            50_000; // after a step back: until a usual batch must have come back
    private static final long OPENED_FOR =
            60_000; // it is told that an engine was opened: all steps of a large fleet

    private enum State {
        OWN,
        WITHHELD,
        STEPPING
    }

    private enum Event {
        SHARED,
        MINE,
        ALONE,
        OPENED,
        DUE
    }

    private record Row(State state, Event event, State next) {}

    /**
     * State, event, next state: whether this manager's right to try an engine is its own, withheld,
     * or due by its step.
     */
    private static final Row[] TABLE = {
        new Row(State.OWN, Event.SHARED, State.WITHHELD),
        new Row(State.WITHHELD, Event.MINE, State.OWN),
        new Row(State.WITHHELD, Event.ALONE, State.OWN),
        new Row(State.WITHHELD, Event.OPENED, State.STEPPING),
        new Row(State.STEPPING, Event.SHARED, State.WITHHELD),
        new Row(State.STEPPING, Event.MINE, State.OWN),
        new Row(State.STEPPING, Event.ALONE, State.OWN),
        new Row(State.STEPPING, Event.DUE, State.OWN),
    };

    /** What is decided; none of it calls back. */
    public interface Effects {
        /** Whether others try this engine; where {@code now} is true as well, its rest is over. */
        void othersTry(long engine, boolean others, boolean restIsOver);
    }

    /** Faults put back one at a time. */
    public enum Fault {
        NONE,
        ALL_OWN,
        WORDS_NEVER_END,
        ALL_AT_ONCE,
        ALONE_IS_SHARED
    }

    private record Told(Word word, long at) {}

    private static final class Sick {
        private State state = State.OWN;
        private boolean closed;
        private long triedAt;
        private long heardAt;
        private long openHeard = Long.MIN_VALUE / 4;
        private long openedAt = Long.MIN_VALUE / 4;
        private long dueAt;
        private long freeUntil;
    }

    private final String me;
    private final Effects effects;
    private final Fault fault;
    private final Map<Long, Sick> engines = new HashMap<>();
    private final Map<String, Map<Long, Told>> told = new HashMap<>();
    private final long period;
    private Set<String> view = Set.of();
    private long fresh = LEAST_FRESH;
    private int turn;

    /** {@code period} between two probes of the membership, which carries the words. */
    public ProbeCoordinator(String me, long period, Effects effects, Fault fault) {
        this.me = me;
        this.period = period;
        this.effects = effects;
        this.fault = fault;
    }

    /** Who is here. */
    public void viewed(List<String> names) {
        view = new HashSet<>(names);
        told.keySet().retainAll(view);
        fresh = Math.max(LEAST_FRESH, (long) (ROUNDS * names.size() * period));
    }

    /** What another tells now: it takes the place of all that it told before. */
    public void heard(long now, String from, List<Word> words) {
        Map<Long, Told> all = new HashMap<>();
        words.forEach(w -> all.put(w.engine(), new Told(w, now)));
        if (all.isEmpty()) {
            told.remove(from);
        } else {
            told.put(from, all);
        }
    }

    /**
     * How this manager itself holds an engine of the list; {@code triedAt}, {@code heardAt}: when a
     * batch last went there, when it last spoke.
     */
    public void holds(long now, long engine, boolean closed, long triedAt, long heardAt) {
        Sick s = engines.computeIfAbsent(engine, e -> new Sick());
        if (s.closed && !closed) {
            s.openedAt = now;
            s.state = State.OWN;
        }
        s.closed = closed;
        s.triedAt = Math.max(s.triedAt, triedAt);
        s.heardAt = Math.max(s.heardAt, heardAt);
    }

    /** It is off the list. */
    public void forget(long engine) {
        engines.remove(engine);
    }

    /**
     * What this manager tells: the engines it holds closed, and those it opened of late; by turns
     * where they are many.
     */
    public List<Word> words(long now) {
        List<Word> words = new ArrayList<>();
        engines.forEach(
                (engine, s) -> {
                    long opened = Math.max(s.openedAt, s.openHeard);
                    if (s.closed && opened <= s.triedAt) {
                        words.add(new Word(engine, true, Math.max(0, now - s.triedAt)));
                    } else if (now - opened < OPENED_FOR) {
                        // Passed on by who heard it, too: so it is with all in a few rounds.
                        words.add(new Word(engine, false, now - opened));
                    }
                });
        words.sort(Comparator.comparingLong(Word::engine));
        if (words.size() <= OverloadDigest.MOST) {
            return words;
        }
        List<Word> some = new ArrayList<>();
        turn = (turn + OverloadDigest.MOST) % words.size();
        for (int i = 0; i < OverloadDigest.MOST; i++) {
            some.add(words.get((turn + i) % words.size()));
        }
        return some;
    }

    private boolean isFresh(long now, Told t) {
        return now - t.at < fresh || fault == Fault.WORDS_NEVER_END;
    }

    /** Looks at all that is sick; to be called each tenth of a second or so. */
    public void look(long now) {
        Set<Long> sick = new HashSet<>();
        engines.forEach(
                (engine, s) -> {
                    if (s.closed || s.state != State.OWN) {
                        sick.add(engine);
                    }
                });
        told.values()
                .forEach(
                        words ->
                                words.values().stream()
                                        .filter(t -> t.word.closed())
                                        .forEach(t -> sick.add(t.word.engine())));
        sick.retainAll(engines.keySet());
        long others =
                sick.stream()
                        .filter(e -> !engines.get(e).closed && closers(now, e).size() >= several())
                        .count();
        boolean most = others > MOST_PART * engines.size();
        sick.forEach(engine -> look(now, engine, engines.get(engine), most));
    }

    private int several() {
        return Math.max(2, Math.min(SEVERAL, (view.size() + 1) / 2));
    }

    /** Who else holds it closed, by fresh words. */
    private List<String> closers(long now, long engine) {
        List<String> closers = new ArrayList<>();
        told.forEach(
                (name, words) -> {
                    Told t = words.get(engine);
                    if (t != null && isFresh(now, t) && t.word.closed()) {
                        closers.add(name);
                    }
                });
        return closers;
    }

    private void look(long now, long engine, Sick s, boolean most) {
        List<String> closers = closers(now, engine);
        List<String> ready =
                new ArrayList<>(
                        closers.stream()
                                .filter(
                                        n ->
                                                told.get(n).get(engine).word.ago()
                                                                + now
                                                                - told.get(n).get(engine).at
                                                        < NO_TRIAL)
                                .toList());
        told.values()
                .forEach(
                        words -> {
                            Told t = words.get(engine);
                            if (t != null && isFresh(now, t) && !t.word.closed()) {
                                s.openHeard = Math.max(s.openHeard, t.at - t.word.ago());
                            }
                        });
        if (s.closed) {
            closers.add(me);
            if (now - s.triedAt < NO_TRIAL) {
                ready.add(me);
            }
        }
        // Held closed by others only: our own fresh news, or a sickness of most engines, is better
        // than their word.
        boolean shared =
                now >= s.freeUntil
                                && closers.size() >= several()
                                && (s.closed || !most && now - s.heardAt > HEARD)
                        || fault == Fault.ALONE_IS_SHARED;
        boolean mine =
                s.closed
                        && fault != Fault.ALONE_IS_SHARED
                        && (fault == Fault.ALL_OWN
                                || (ready.isEmpty() ? closers : ready)
                                        .stream()
                                                .max(
                                                        Comparator.comparingLong(
                                                                n ->
                                                                        RendezvousHash.rank(
                                                                                engine, n)))
                                                .orElse(me)
                                                .equals(me));
        // What was opened before this manager last tried it in vain says nothing.
        boolean open = s.openHeard > s.triedAt;
        Event event =
                open && s.state != State.OWN
                        ? s.state == State.STEPPING && now >= s.dueAt ? Event.DUE : Event.OPENED
                        : !shared ? Event.ALONE : mine ? Event.MINE : open ? null : Event.SHARED;
        for (Row row : TABLE) {
            if (row.state == s.state && row.event == event && row.next != s.state) {
                s.state = row.next;
                if (s.state == State.STEPPING) {
                    // Those before this one in the order of the engine, doubled with each step.
                    long before = RendezvousHash.before(engine, view, me);
                    int step =
                            fault == Fault.ALL_AT_ONCE
                                    ? 0
                                    : Long.SIZE - Long.numberOfLeadingZeros(before + 1) - 1;
                    s.dueAt = now + step * STEP;
                }
                // Whoever was led back looks for itself first: what the others tell may be from
                // before.
                s.freeUntil = event == Event.DUE ? now + FREE : s.freeUntil;
                effects.othersTry(engine, s.state != State.OWN, event == Event.DUE);
                return;
            }
        }
        if (event == Event.MINE && shared && now - s.triedAt >= TRY_EVERY) {
            effects.othersTry(engine, false, true);
        }
    }

    /** How many engines' trials are withheld from this manager. */
    public long withheld() {
        return engines.values().stream().filter(s -> s.state != State.OWN).count();
    }
}
