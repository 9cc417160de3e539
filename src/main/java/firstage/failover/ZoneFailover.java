package firstage.failover;

import firstage.overload.LoadSheddingLevel;
import firstage.overload.RendezvousHash;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;

/**
 * Which zones the fleet uses. Each manager by itself finds out engine by engine that a zone is
 * gone, by batches that are lost at each, and comes back to all of it the moment the list says so.
 * Here each tells what share of each zone's engines it holds closed, of those it knows of late; a
 * zone that most observers of most other zones hold for bad is left by all, engines it was not
 * tried at included. One manager for each of its engines goes on trying it; when these are well for
 * a while, managers come back one after another over the time that engines take to warm up. A zone
 * that fails again is held out for twice as long each time.
 *
 * <p>A zone is never left by the evidence of one other zone where there are more: that is the way
 * between the two, and each engine's own health deals with it. Nor is one left where too few would
 * stay in use: if all is bad, leaving makes it worse. Who stood still or was cut off has no voice
 * until it looked around again. Times are tenths of a millisecond.
 */
public final class ZoneFailover {
    /** What is told of a zone that one knows nothing of. */
    public static final int UNKNOWN = 255;

    /**
     * Of one that it left, and whose engines others try: so one whose own evidence came too late
     * goes along.
     */
    private static final int LEFT = 250;

    /** Of one that it is on its way back to, and has not met yet: so all set out together. */
    private static final int RETURNING = 240;

    private static final int ALL = 100; // per cent: what is told beyond is one of the above
    private static final int BAD =
            60; // per cent of its known engines closed: a release or a rack is less
    private static final int WELL =
            50; // per cent: those that are closed still are engine health's matter
    private static final int LEAST_KNOWN = 2; // engines: one alone tells of itself
    private static final long LATELY =
            30_000; // since an engine spoke: what is older says nothing of now
    private static final long ANSWERS =
            20_000; // within this a usual batch comes back: before, a trial says nothing
    private static final long SURE =
            5_000; // a verdict lasts before it is acted on: one late answer passes
    private static final long WELL_FOR =
            20_000; // before the way back: a flap of 3 s does not look like it
    private static final long FIRST_HOLD =
            100_000; // out at least: four flaps in two minutes; doubled up to ...
    private static final long MOST_HOLD =
            600_000; // ... this: a zone that is well is back within a minute
    private static final long FORGIVEN =
            600_000; // in use so long, and the next failure counts as the first
    private static final long LEAST_RAMP =
            20_000; // for the way back; else as long as engines take to warm up
    private static final long TRY_EVERY =
            20_000; // by an engine's owner: a batch in two seconds, whatever the fleet
    private static final double USED = 1 / 3.0; // of all zones stay in use at least
    private static final long STOOD_STILL = 10_000; // between two looks: then what is known is old

    private enum State {
        IN,
        OUT,
        BACK
    }

    private enum Event {
        BAD,
        WELL,
        DUE,
        ORDERED
    }

    /**
     * What an operator wants of a zone: by its health, out whatever its health, or in whatever it
     * is.
     */
    public enum Order {
        NONE,
        LEAVE,
        HOLD
    }

    private record Row(State state, Event event, State next) {}

    private static final Row[] TABLE = {
        new Row(State.IN, Event.BAD, State.OUT),
        new Row(State.IN, Event.ORDERED, State.OUT),
        new Row(State.BACK, Event.ORDERED, State.OUT),
        new Row(State.OUT, Event.WELL, State.BACK),
        new Row(State.BACK, Event.BAD, State.OUT),
        new Row(State.BACK, Event.DUE, State.IN),
    };

    /** What is told of a zone of which nothing is seen, by its state. */
    private static final Map<State, Integer> TELLS =
            Map.of(State.IN, UNKNOWN, State.OUT, LEFT, State.BACK, RETURNING);

    /** What is decided; none of it calls back. */
    public interface Effects {
        /**
         * Whether this manager keeps away from an engine; where {@code restIsOver}, it is to be
         * tried now.
         */
        void keepAway(long engine, boolean away, boolean restIsOver);

        /** A zone is left, or used again: for the log of who keeps one. */
        default void turned(int zone, String state) {}
    }

    /** Faults put back one at a time. */
    public enum Fault {
        NONE,
        ONE_IS_ENOUGH,
        ALL_MAY_GO,
        ALL_AT_ONCE,
        NO_HOLD,
        STILL_COUNTS,
        NOBODY_TRIES,
        ORDER_FORGOTTEN
    }

    private static final class Known {
        private final int zone;
        private boolean closed;
        private long triedAt;
        private long heardAt;
        private boolean othersTry;
        private boolean away;

        private Known(int zone) {
            this.zone = zone;
        }
    }

    private static final class Zone {
        private State state = State.IN;
        private long since;
        private long badSince = -1;
        private long wellSince = -1;
        private long hold = FIRST_HOLD;
        private Order order = Order.NONE;

        /**
         * Of the clock of the manager that was asked, in steps of 10 ms; 0 where nobody ever was.
         */
        private int orderedAt;
    }

    private final String me;
    private final int mine;
    private final long ramp;
    private final Effects effects;
    private final Fault fault;
    private final Zone[] zones;
    private final Map<Long, Known> engines = new HashMap<>();
    private List<String> view = List.of();
    private long lookedAt = -1;
    private long blindUntil = Long.MIN_VALUE / 4;

    /** {@code mine}: this manager's zone; {@code warm}: how long engines take to warm up. */
    public ZoneFailover(String me, int mine, int zones, long warm, Effects effects, Fault fault) {
        this.me = me;
        this.mine = mine;
        this.ramp = Math.max(LEAST_RAMP, warm);
        this.effects = effects;
        this.fault = fault;
        this.zones = new Zone[zones];
        Arrays.setAll(this.zones, z -> new Zone());
    }

    /** Who is here. */
    public void viewed(List<String> names) {
        view = List.copyOf(names);
    }

    /**
     * How this manager itself holds an engine of the list; {@code triedAt}, {@code heardAt}: when a
     * batch last went there, when it last spoke.
     */
    public void holds(int zone, long engine, boolean closed, long triedAt, long heardAt) {
        if (zone >= 0 && zone < zones.length) {
            Known k = engines.computeIfAbsent(engine, e -> new Known(zone));
            k.closed = closed;
            k.triedAt = triedAt;
            k.heardAt = heardAt;
        }
    }

    /** It is off the list. */
    public void forget(long engine) {
        engines.remove(engine);
    }

    /**
     * The engine by itself is left to others to try, or no longer ({@link
     * firstage.overload.ProbeCoordinator}).
     */
    public void othersTry(long engine, boolean others, boolean restIsOver) {
        Known k = engines.get(engine);
        if (k == null) {
            effects.keepAway(engine, others, restIsOver);
            return;
        }
        k.othersTry = others;
        if (zones[k.zone].state == State.IN) {
            k.away = others;
            effects.keepAway(engine, others, restIsOver);
        }
    }

    /** An operator asked this manager; it tells the others, and each that hears it tells it on. */
    public void order(long now, int zone, Order order) {
        zones[zone].order = order;
        zones[zone].orderedAt = LoadSheddingLevel.stamp(now);
    }

    /**
     * The orders that are known, to be told with the rest; three figures each: zone, order, when.
     */
    public int[] orders() {
        return IntStream.range(0, zones.length)
                .filter(z -> zones[z].orderedAt != 0)
                .flatMap(z -> IntStream.of(z, zones[z].order.ordinal(), zones[z].orderedAt))
                .toArray();
    }

    /** The later order counts: so one that was asked and started anew hears its own again. */
    private void heed(List<LoadSheddingLevel.Row> rows) {
        for (LoadSheddingLevel.Row r : rows) {
            for (int i = 0; i + 2 < r.orders().length && fault != Fault.ORDER_FORGOTTEN; i += 3) {
                int zone = r.orders()[i];
                int order = r.orders()[i + 1];
                int at = r.orders()[i + 2];
                boolean known =
                        zone >= 0
                                && zone < zones.length
                                && order >= 0
                                && order < Order.values().length;
                if (known && (zones[zone].orderedAt == 0 || at - zones[zone].orderedAt > 0)) {
                    zones[zone].order = Order.values()[order];
                    zones[zone].orderedAt = at;
                }
            }
        }
    }

    /**
     * What this manager tells: by zone, per cent of the engines it knows of late that it holds
     * closed.
     */
    public int[] sees(long now) {
        awake(now);
        int[] closed = new int[zones.length];
        int[] known = new int[zones.length];
        int[] all = new int[zones.length];
        engines.forEach(
                (engine, k) -> {
                    Zone z = zones[k.zone];
                    // Of a zone that was left those count that this manager tries, and what came of
                    // it since.
                    boolean counts = z.state == State.IN || !k.away;
                    boolean spoke = k.heardAt > (z.state == State.IN ? now - LATELY : z.since);
                    boolean shut =
                            k.closed
                                    && (z.state != State.BACK
                                            || k.triedAt > z.since && now - k.triedAt > ANSWERS);
                    all[k.zone]++;
                    known[k.zone] += counts && (shut || spoke) ? 1 : 0;
                    closed[k.zone] += counts && shut ? 1 : 0;
                });
        int[] told = new int[zones.length];
        for (int z = 0; z < zones.length; z++) {
            int least = zones[z].state == State.OUT ? 1 : Math.min(LEAST_KNOWN, all[z]);
            boolean silent = known[z] == 0 || known[z] < least || now < blindUntil;
            told[z] = !silent ? ALL * closed[z] / known[z] : TELLS.get(zones[z].state);
        }
        return told;
    }

    /**
     * Who stood still knows nothing of now: what it holds is from before, or fell due in one
     * instant on waking.
     */
    private void awake(long now) {
        if (lookedAt >= 0 && now - lookedAt > STOOD_STILL && fault != Fault.STILL_COUNTS) {
            blindUntil = now + LATELY;
        }
        lookedAt = now;
    }

    private boolean owns(long engine) {
        return fault != Fault.NOBODY_TRIES && RendezvousHash.before(engine, view, me) == 0;
    }

    /**
     * Looks at all zones, each tenth of a second or so; {@code rows}: of all that are fresh, its
     * own included.
     */
    public void look(long now, List<LoadSheddingLevel.Row> rows) {
        awake(now);
        heed(rows);
        boolean[] bad = new boolean[zones.length];
        int worst = 0;
        for (int z = 0; z < zones.length; z++) {
            bad[z] = bad(z, rows);
            worst += bad[z] || zones[z].state == State.OUT ? 1 : 0;
        }
        boolean tooMany =
                zones.length - worst < Math.max(1, USED * zones.length)
                        && fault != Fault.ALL_MAY_GO;
        for (int z = 0; z < zones.length; z++) {
            look(
                    now,
                    z,
                    bad[z] && !(tooMany && zones[z].state == State.IN) && now >= blindUntil,
                    rows);
        }
        engines.forEach((engine, k) -> keep(now, engine, k));
    }

    /**
     * Whether most observers of most other zones, and of two where there are so many, hold it for
     * bad.
     */
    private boolean bad(int zone, List<LoadSheddingLevel.Row> rows) {
        // Of one that was left only what is seen counts, not who is away.
        int also = zones[zone].state == State.IN ? LEFT : ALL;
        int voices = 0;
        int say = 0;
        for (int from = 0; from < zones.length; from++) {
            int is = from;
            if (is != zone) {
                int[] told =
                        rows.stream()
                                .filter(r -> r.zone() == is)
                                .mapToInt(r -> sees(r, zone))
                                .filter(s -> s <= ALL || s == also)
                                .toArray();
                long hold = Arrays.stream(told).filter(s -> s >= BAD).count();
                voices += told.length > 0 ? 1 : 0;
                say += 2 * hold > told.length || fault == Fault.ONE_IS_ENOUGH && hold > 0 ? 1 : 0;
            }
        }
        int needed = fault == Fault.ONE_IS_ENOUGH ? 1 : Math.min(2, zones.length - 1);
        return say >= needed && (2 * say > voices || fault == Fault.ONE_IS_ENOUGH);
    }

    private static int sees(LoadSheddingLevel.Row row, int zone) {
        return zone < row.bad().length ? row.bad()[zone] : UNKNOWN;
    }

    /** Whether those that try its engines find most of them well. */
    private static boolean well(int zone, List<LoadSheddingLevel.Row> rows) {
        int[] told =
                rows.stream()
                        .mapToInt(r -> sees(r, zone))
                        .filter(s -> s <= ALL || s == RETURNING)
                        .map(s -> s == RETURNING ? 0 : s)
                        .toArray();
        return told.length > 0 && Arrays.stream(told).average().orElse(ALL) <= WELL;
    }

    private void look(long now, int at, boolean bad, List<LoadSheddingLevel.Row> rows) {
        Zone z = zones[at];
        boolean well = well(at, rows);
        z.badSince = !bad ? -1 : z.badSince < 0 ? now : z.badSince;
        z.wellSince = !well ? -1 : z.wellSince < 0 ? now : z.wellSince;
        boolean held = now - z.since < z.hold && fault != Fault.NO_HOLD;
        Event event =
                z.order == Order.LEAVE
                        ? Event.ORDERED
                        : z.order == Order.HOLD && z.state == State.OUT
                                ? Event.WELL
                                : bad && now - z.badSince >= SURE && z.order != Order.HOLD
                                        ? Event.BAD
                                        : z.state == State.OUT
                                                        && well
                                                        && now - z.wellSince >= WELL_FOR
                                                        && !held
                                                ? Event.WELL
                                                : z.state == State.BACK && now - z.since >= ramp
                                                        ? Event.DUE
                                                        : null;
        for (Row row : TABLE) {
            if (row.state == z.state && row.event == event) {
                if (row.next == State.OUT) {
                    // Failed on its way back, or soon after: longer out. In use for long, it is
                    // forgiven.
                    boolean again =
                            row.state == State.BACK || z.since > 0 && now - z.since < FORGIVEN;
                    z.hold =
                            event == Event.ORDERED
                                    ? 0
                                    : again ? Math.min(MOST_HOLD, 2 * z.hold) : FIRST_HOLD;
                }
                z.state = row.next;
                z.since = now;
                z.badSince = -1;
                z.wellSince = -1;
                effects.turned(at, row.next.name().toLowerCase(Locale.ROOT));
                return;
            }
        }
    }

    private void keep(long now, long engine, Known k) {
        Zone z = zones[k.zone];
        boolean owned = z.state != State.IN && owns(engine);
        boolean away =
                switch (z.state) {
                    case IN -> k.othersTry;
                    case OUT -> !owned;
                    case BACK ->
                            !owned
                                    && now < z.since + place(k.zone) * ramp
                                    && fault != Fault.ALL_AT_ONCE;
                };
        boolean tries = owned && k.closed && now - k.triedAt >= TRY_EVERY;
        if (away != k.away || tries) {
            k.away = away;
            effects.keepAway(engine, away, tries || !away && z.state == State.BACK);
        }
    }

    /** This manager's place on the way back to a zone, from 0 to 1. */
    private double place(int zone) {
        return (double) RendezvousHash.before(zone, view, me) / Math.max(1, view.size());
    }

    /** By zone, what operators want. */
    public Map<Integer, Order> ordered() {
        Map<Integer, Order> ordered = new TreeMap<>();
        for (int z = 0; z < zones.length; z++) {
            if (zones[z].order != Order.NONE) {
                ordered.put(z, zones[z].order);
            }
        }
        return ordered;
    }

    /** The zones that are left, or on the way back. */
    public List<Integer> out() {
        return IntStream.range(0, zones.length)
                .filter(z -> zones[z].state != State.IN)
                .boxed()
                .toList();
    }

    /** This manager's own zone. */
    public int mine() {
        return mine;
    }
}
