package firstage.cells;

import firstage.overload.RendezvousHash;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * What one manager knows of the other cells, and which engines it may use.
 *
 * <p><b>Rows.</b> A cell tells one row of fixed size of itself: a stamp, the least plan that its
 * managers hold, how many are here, what it sheds. Its deputies, the first three by rendezvous over
 * its view, renew it; each of them sends all rows it knows to one manager of one other cell, drawn
 * anew each second. Within a cell rows go on with the messages of the membership, a few in each,
 * newer ones first, others by turns. So what a manager sends and holds is the same whatever the
 * size of the fleet but for the rows themselves, 12 bytes a cell; with many cells rows only get
 * older.
 *
 * <p><b>Engines.</b> A manager holds one plan for its whole life, and the one before it while it is
 * being replaced. Of an engine that both give to its cell it uses its part; of one that only the
 * old plan gives, nothing; one that only the new plan gives it uses once all managers of all cells
 * that give it up hold the new plan, by their rows. Each of those gave up before it said so, and
 * never goes back. So the parts of an engine never pass the whole, in whatever order managers are
 * started anew and words are lost, late or doubled; a cell that can't be heard keeps what it had.
 *
 * <p>Times are tenths of a millisecond of a clock that only goes forward.
 */
public final class CellDirectory {
    private static final int DEPUTIES =
            3; // of a cell at once: two may die in one second, the next view has others
    private static final long TELL_EVERY =
            10_000; // a deputy's datagram: some 1 KB a second, whatever the fleet
    private static final long ROW_EVERY =
            50_000; // a row that does not change: 65 cells make 13 newer rows a second
    private static final long SILENT_AFTER =
            250_000; // of a row not renewed: five renewals, some on their way
    private static final long LEAST_BETWEEN =
            5_000; // two renewals: a view that changes often is no flood
    private static final long LOOK_EVERY = 5_000; // at what has grown old
    private static final int ROWS_A_MESSAGE = 6; // 72 bytes on each message of the membership
    private static final int TELLINGS =
            2; // of a newer row by each manager: one of seven hears of it by turns only
    private static final int BY_TURNS =
            2; // of a message, newer or not: none stays unheard by chance
    private static final int MOST =
            1_200; // bytes of a datagram: under the least MTU of IPv6 with its heads
    private static final int HEAD = 1 + 3 * Integer.BYTES; // version, fleet, plan's number and mark
    private static final int ROW =
            Short.BYTES + 2 * Integer.BYTES + 2; // cell, stamp, plan, here, cut
    private static final int VERSION = 1;
    private static final int MOST_BYTE = 255;
    private static final long NEVER = Long.MIN_VALUE / 4;

    /** Carries the effects out; none of them calls back before it returns. */
    public interface Effects {
        /** To the manager at this place of that cell. */
        void send(int cell, int slot, byte[] datagram);

        /** Engines that could not be used may be now; {@link CellDirectory#uses} says which. */
        void freed(long now);

        /** A line for the log: what, of which cell, and why. */
        void noteOfCell(long now, String what, String cell, String why);

        /** What this manager sheds: the level's band, 0 for nothing. */
        int cut();
    }

    /** Faults put back one at a time. */
    public enum Fault {
        NONE,
        TOLD_TO_ALL,
        DEPUTIES_FOR_GOOD,
        GAINS_AT_ONCE,
        LEAST_OF_THE_HEARD,
        OLDER_ROW_WINS,
        GAINS_COLD_PART
    }

    /** How a cell is held. */
    public enum Standing {
        UNHEARD,
        HEARD,
        SILENT
    }

    private enum Event {
        NEWER,
        OLD
    }

    private enum Effect {
        NONE,
        MET,
        LOST,
        BACK
    }

    private record Rule(Standing state, Event event, Standing next, Effect effect) {}

    /** State, event, next state, effect; what is not here changes nothing. */
    private static final Rule[] TABLE = {
        new Rule(Standing.UNHEARD, Event.NEWER, Standing.HEARD, Effect.MET),
        new Rule(Standing.HEARD, Event.NEWER, Standing.HEARD, Effect.NONE),
        new Rule(Standing.HEARD, Event.OLD, Standing.SILENT, Effect.LOST),
        new Rule(Standing.SILENT, Event.NEWER, Standing.HEARD, Effect.BACK),
    };

    /**
     * A cell as it is known. {@code age}: since a newer row came, -1 for never; {@code plan}: the
     * least in it.
     */
    public record Known(
            String name,
            String zone,
            Standing standing,
            long age,
            int plan,
            int here,
            int slots,
            int cut) {}

    private static final class Row {
        private Standing standing = Standing.UNHEARD;
        private int stamp;
        private int plan;
        private int here;
        private int cut;
        private long at = NEVER;
        private int left;
    }

    private final CellPlan plan;
    private final CellPlan before;
    private final int mark;
    private final int mine;
    private final int slot;
    private final String name;
    private final int fleet;
    private final long lifeS;
    private final RandomGenerator chance;
    private final Effects effects;
    private final Fault fault;
    private final Row[] rows;

    /**
     * By place in this cell, the plan that the manager there holds, as it told; 0 where none did.
     */
    private final int[] plans;

    private final ArrayDeque<Integer> fresh = new ArrayDeque<>();
    private final Map<String, Long> refused = new HashMap<>();
    private List<String> view;

    /** The largest view so far, for a fault put back. */
    private List<String> first = List.of();

    private boolean changed;
    private long startedAt = NEVER;
    private long nextTell;
    private long nextRow;
    private long nextLook;
    private int turn;
    private int next;
    private boolean noted;

    /**
     * {@code before}: the plan that this one replaces, or null; {@code mine}, {@code slot}: this
     * manager's cell and its place there; {@code fleet}: a name that all of it have; {@code life}:
     * Unix ms of this start.
     */
    public CellDirectory(
            CellPlan plan,
            CellPlan before,
            int mine,
            int slot,
            String name,
            String fleet,
            long life,
            RandomGenerator chance,
            Effects effects,
            Fault fault) {
        this.plan = plan;
        this.before = before;
        mark = plan.mark();
        this.mine = mine;
        this.slot = slot;
        this.name = name;
        this.fleet = fleet.hashCode();
        lifeS = life / 1_000;
        this.chance = chance;
        this.effects = effects;
        this.fault = fault;
        rows = new Row[plan.cells().size()];
        Arrays.setAll(rows, c -> new Row());
        view = List.of(name);
        plans = new int[plan.cells().get(mine).slots()];
        plans[slot] = plan.number();
    }

    // ---- Which engines.
    /** Whether this manager may use its part of an engine at this moment. */
    public boolean uses(long engine, String zone) {
        return plan.serves(mine, engine, zone)
                && (before == null
                        || before.serves(mine, engine, zone)
                        || fault == Fault.GAINS_AT_ONCE
                        || givenUp(engine, zone));
    }

    /**
     * Of what an engine that this manager uses bears while it is cold, its part; {@link
     * CellPlan#coldPart}.
     */
    public double coldPart(long engine, String zone) {
        return plan.coldPart(fault == Fault.GAINS_COLD_PART ? null : before, mine, engine, zone);
    }

    /** Whether it will: the new plan gives it, and others may not have given it up yet. */
    public boolean awaits(long engine, String zone) {
        return plan.serves(mine, engine, zone) && !uses(engine, zone);
    }

    /** Whether all managers of all cells that lose it are known to hold the new plan. */
    private boolean givenUp(long engine, String zone) {
        List<Integer> now = plan.serving(engine, zone);
        for (int c : before.serving(engine, zone)) {
            int place = plan.index(before.cells().get(c).name());
            if (!now.contains(place) && rows[place].plan < plan.number()) {
                return false;
            }
        }
        return true;
    }

    /** The cells that are not known to hold this plan in full. */
    public List<String> behind() {
        List<String> names = new ArrayList<>();
        for (int c = 0; c < rows.length; c++) {
            if (rows[c].plan < plan.number()) {
                names.add(plan.cells().get(c).name());
            }
        }
        return names;
    }

    /** What is known of each cell, by place. */
    public List<Known> known(long now) {
        List<Known> all = new ArrayList<>();
        for (int c = 0; c < rows.length; c++) {
            CellPlan.Cell of = plan.cells().get(c);
            Row r = rows[c];
            all.add(
                    new Known(
                            of.name(),
                            of.zone(),
                            r.standing,
                            r.at == NEVER ? -1 : now - r.at,
                            r.plan,
                            r.here,
                            of.slots(),
                            r.cut));
        }
        return all;
    }

    /** Messages that changed nothing, by cause. */
    public Map<String, Long> refused() {
        return refused;
    }

    // ---- Time.
    /** The membership has another view of this cell. */
    public void viewed(List<String> names) {
        view = names;
        first = names.size() > first.size() ? names : first;
        changed = true;
    }

    /** To be called each 20 ms or so. */
    public void tick(long now) {
        if (startedAt == NEVER) {
            startedAt = now;
            // Managers that start together must not all speak at once.
            nextTell = now + chance.nextLong(TELL_EVERY);
        }
        if (now >= nextLook) {
            nextLook = now + LOOK_EVERY;
            for (int c = 0; c < rows.length; c++) {
                if (c != mine && rows[c].at != NEVER && now - rows[c].at > SILENT_AFTER) {
                    on(now, c, Event.OLD);
                }
            }
        }
        if (now >= nextRow) {
            nextRow = now + LEAST_BETWEEN;
            long place = place();
            // The second and the third deputy renew it only where those before them do not.
            if (place < DEPUTIES
                    && (changed || now - rows[mine].at >= ROW_EVERY + place * TELL_EVERY)) {
                renew(now);
            }
            changed = false;
        }
        if (now >= nextTell) {
            nextTell = now + TELL_EVERY;
            if (place() < DEPUTIES) {
                tell(now);
            }
        }
    }

    /** This manager's place among those of its cell that are here; the first are its deputies. */
    private long place() {
        // With the fault: those that were first of all for good, here or not.
        List<String> of = fault == Fault.DEPUTIES_FOR_GOOD ? first : view;
        return RendezvousHash.before(mine, of, name);
    }

    /**
     * Only what each manager of the cell has said itself counts: a silent one may hold the old plan
     * and use it.
     */
    private int least() {
        return Math.min(
                plan.number(),
                Arrays.stream(plans)
                        .filter(p -> p > 0 || fault != Fault.LEAST_OF_THE_HEARD)
                        .min()
                        .orElse(0));
    }

    private void renew(long now) {
        Row r = rows[mine];
        int clock = (int) (lifeS + (now - startedAt) / TELL_EVERY);
        newer(
                now,
                mine,
                r.at != NEVER && r.stamp - clock >= 0 ? r.stamp + 1 : clock,
                least(),
                view.size(),
                effects.cut());
    }

    private void tell(long now) {
        if (rows.length < 2) {
            return;
        }
        byte[] datagram = datagram();
        if (fault == Fault.TOLD_TO_ALL) {
            for (int c = 0; c < rows.length; c++) {
                send(c, datagram);
            }
            return;
        }
        int to = chance.nextInt(rows.length - 1);
        send(to >= mine ? to + 1 : to, datagram);
    }

    private void send(int cell, byte[] datagram) {
        if (cell != mine) {
            effects.send(cell, chance.nextInt(plan.cells().get(cell).slots()), datagram);
        }
    }

    // ---- Rows.
    private void newer(long now, int cell, int stamp, int least, int here, int cut) {
        Row r = rows[cell];
        if (r.at != NEVER && stamp - r.stamp <= 0 && fault != Fault.OLDER_ROW_WINS) {
            return;
        }
        r.stamp = stamp;
        r.here = here;
        r.cut = cut;
        r.at = now;
        if (r.left == 0) {
            fresh.add(cell);
        }
        r.left = TELLINGS;
        on(now, cell, Event.NEWER);
        // A plan is never given back: a row from before, told again, takes nothing away.
        if (least > r.plan) {
            r.plan = least;
            if (before != null && least >= plan.number()) {
                effects.noteOfCell(
                        now,
                        "follows",
                        plan.cells().get(cell).name(),
                        "all of it hold plan " + plan.number());
                effects.freed(now);
            }
        } else if (fault == Fault.OLDER_ROW_WINS) {
            r.plan = least;
        }
    }

    private void on(long now, int cell, Event event) {
        Row r = rows[cell];
        for (Rule rule : TABLE) {
            if (rule.state == r.standing && rule.event == event) {
                r.standing = rule.next;
                String of = plan.cells().get(cell).name();
                switch (rule.effect) {
                    case NONE -> {}
                    case MET -> effects.noteOfCell(now, "met", of, r.here + " of it are here");
                    case LOST ->
                            effects.noteOfCell(
                                    now,
                                    "silent",
                                    of,
                                    "no row for " + SILENT_AFTER / TELL_EVERY + " s");
                    case BACK ->
                            effects.noteOfCell(now, "heard again", of, r.here + " of it are here");
                }
                return;
            }
        }
    }

    private BigEndianBytes head(int bytes) {
        return new BigEndianBytes(new byte[HEAD + bytes])
                .put(VERSION, 1)
                .put(fleet, 4)
                .put(plan.number(), 4)
                .put(mark, 4);
    }

    private void put(BigEndianBytes out, int cell) {
        Row r = rows[cell];
        out.put(cell, 2)
                .put(r.stamp, 4)
                .put(r.plan, 4)
                .put(Math.min(MOST_BYTE, r.here), 1)
                .put(Math.min(MOST_BYTE, r.cut), 1);
    }

    /** All rows that are known, or as many as a datagram holds, by turns. */
    private byte[] datagram() {
        List<Integer> told = new ArrayList<>();
        int room = (MOST - HEAD) / ROW;
        for (int i = 0; i < rows.length && told.size() < room; i++) {
            int c = (turn + i) % rows.length;
            if (rows[c].standing == Standing.HEARD) {
                told.add(c);
            }
        }
        turn = (turn + room) % rows.length;
        BigEndianBytes out = head(told.size() * ROW);
        told.forEach(c -> put(out, c));
        return out.all();
    }

    /** What goes before the digest of the rooms above on each message within the cell. */
    public byte[] digest(byte[] rest) {
        List<Integer> told = new ArrayList<>();
        for (int i = fresh.size(); i > 0 && told.size() < ROWS_A_MESSAGE; i--) {
            int c = fresh.poll();
            told.add(c);
            if (--rows[c].left > 0) {
                fresh.add(c);
            }
        }
        int most = Math.min(ROWS_A_MESSAGE, told.size() + BY_TURNS);
        for (int i = 0; i < rows.length && told.size() < most; i++) {
            next = (next + 1) % rows.length;
            if (rows[next].standing == Standing.HEARD && !told.contains(next)) {
                told.add(next);
            }
        }
        BigEndianBytes out = head(1 + told.size() * ROW + rest.length).put(told.size(), 1);
        told.forEach(c -> put(out, c));
        return out.put(rest).all();
    }

    /**
     * A digest told by the manager at this place of the cell: takes its own part, gives that of the
     * rooms above.
     */
    public byte[] digested(long now, int from, byte[] bytes) {
        BigEndianBytes in = new BigEndianBytes(bytes);
        int number = opened(now, in);
        if (number < 0 || in.left() == 0) {
            return new byte[0];
        }
        // A manager never goes back to an older plan: a message from before, told again, takes
        // nothing away.
        plans[from] = Math.max(plans[from], number);
        int count = in.take(1);
        if (in.left() < count * ROW) {
            refuse("spoilt rows");
            return new byte[0];
        }
        for (int i = 0; i < count; i++) {
            take(now, in);
        }
        return in.rest();
    }

    /** A datagram from a manager of another cell. */
    public void received(long now, byte[] datagram) {
        BigEndianBytes in = new BigEndianBytes(datagram);
        if (opened(now, in) < 0) {
            return;
        }
        if (in.left() % ROW != 0) {
            refuse("spoilt rows");
            return;
        }
        while (in.left() > 0) {
            take(now, in);
        }
    }

    /** The number of the teller's plan; -1 where it is nobody's of this fleet. */
    private int opened(long now, BigEndianBytes in) {
        if (in.left() < HEAD || in.take(1) != VERSION) {
            refuse("another form");
            return -1;
        }
        if (in.take(4) != fleet) {
            refuse("another fleet");
            return -1;
        }
        int number = in.take(4);
        int other = in.take(4);
        if (number == plan.number() && other != mark) {
            refuse("another plan of this number");
            if (!noted) {
                noted = true;
                effects.noteOfCell(
                        now,
                        "differs",
                        plan.cells().get(mine).name(),
                        "two plans have the number "
                                + number
                                + "; give the later one a higher number");
            }
            return -1;
        }
        return Math.max(0, number);
    }

    /** Cells keep their places from one plan to the next; new ones are added at the end. */
    private void take(long now, BigEndianBytes in) {
        int cell = in.take(2);
        int stamp = in.take(4);
        int least = in.take(4);
        int here = in.take(1);
        int cut = in.take(1);
        if (cell < rows.length) {
            newer(now, cell, stamp, least, here, cut);
        }
    }

    private void refuse(String why) {
        refused.merge(why, 1L, Long::sum);
    }
}
