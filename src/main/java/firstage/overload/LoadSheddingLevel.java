package firstage.overload;

import firstage.policy.api.DemandHistogram;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.stream.DoubleStream;
import net.openhft.hashing.LongHashFunction;

/**
 * One level of shedding for the whole fleet. Each manager by itself sheds what its own queue has no
 * room for: what came last, whatever it is worth, and what is let in is mostly late when its turn
 * comes. Here each tells what it is asked for by worth, what it sends, what waits and what runs;
 * rows are passed on, so that all have nearly the same table and work out the same cut: what the
 * fleet gets through, best worth first. Below the cut a batch is answered at once by whoever has
 * it; at it, a part is let in.
 *
 * <p>What the fleet gets through is not known ahead; it is what it sends while there is enough of
 * it, a little less while work waits too long or more threads run than engines bear, and up to
 * three times as much while neither is so. No state is kept but smoothed rates, so a manager that
 * starts or comes back agrees with the others as soon as it has their rows.
 *
 * <p>Words of others only make a manager refuse more, never less than its own queue does, and only
 * so much: no one row counts for more than a few times the others' mean. Without rows that are
 * fresh there is no cut. Times are tenths of a millisecond, rates seconds of expected work a
 * second.
 */
public final class LoadSheddingLevel {
    private static final double SMOOTH =
            3_000; // of rates: a storm shows in its first second, a lone report does not
    private static final long FRESH =
            30_000; // a row counts: some rounds of a small fleet, fewer than a restart takes
    private static final double WAIT =
            0.5; // of the shortest goal may be spent waiting: the rest is run and chance
    private static final double LOST =
            1; // second of what the queue gave up counts as waiting: it would have been
    private static final double DRAIN = 2; // seconds in which what waits too long is to be gone
    private static final double GROW =
            2; // times what is sent that may come beside it while nothing waits
    private static final double DROP =
            0.5; // of what is sent at most held back: what runs ends by itself
    private static final double BUSY =
            0.8; // of the threads that engines bear: the first long ones are in by then
    private static final double BY_BUSY =
            1.5; // of what is sent held back for each whole of it beyond that
    private static final double OUTSIZED =
            4; // times the others' mean that one row counts for: a skewed fleet's most
    private static final double TENTHS = 10_000;
    private static final long STAMP =
            100; // what is told is dated in steps of 10 ms: 32 bits are a year and more

    /** What is decided. */
    public interface Effects {
        /** Batches of a lower band are refused, and of this band all but this part. */
        void cut(long now, int band, double part);
    }

    /**
     * Up to so many members each message tells all rows; beyond, rows go by turns and cost the same
     * for any size.
     */
    private static final int ALL_AT_ONCE = 24;

    private static final int BY_TURNS = 6;

    /** Faults put back one at a time. */
    public enum Fault {
        NONE,
        NO_PEERS,
        NEVER_OLD,
        OLDER_WINS,
        NO_LIMIT,
        WAITS_UNSEEN,
        NO_WAY_BACK
    }

    /**
     * What one manager tells of itself. {@code name}: a hash; {@code stamp}: of its own clock, the
     * later is the newer; {@code came} by band, {@code sent}: rates; {@code waits}: seconds of
     * work; {@code runs}: threads; {@code zone}: its own; {@code bad}: by zone, per cent of its
     * engines that it holds closed; {@code orders}: what operators want of zones ({@link
     * firstage.failover.ZoneFailover}).
     */
    public record Row(
            int name,
            int stamp,
            double[] came,
            double sent,
            double waits,
            double runs,
            int zone,
            int[] bad,
            int[] orders) {}

    private record Told(Row row, long at) {}

    private final int me;
    private final double target;
    private final Effects effects;
    private final Fault fault;
    private final Map<Integer, Told> told = new HashMap<>();
    private final double[] cameBefore = new double[DemandHistogram.BANDS];
    private final double[] came = new double[DemandHistogram.BANDS];
    private double sentBefore;
    private double lostBefore;
    private double sent;
    private double lost;
    private double waits;
    private double runs;
    private double bears;
    private long measuredAt = -1;
    private Set<Integer> view = Set.of();
    private int turn;
    private int zone;
    private int[] bad = new int[0];
    private int[] orders = new int[0];
    private int cut;
    private double part = 1;

    /** {@code goal}: the shortest response goal of a service group. */
    public LoadSheddingLevel(String me, long goal, Effects effects, Fault fault) {
        this.me = id(me);
        this.target = goal / TENTHS * WAIT;
        this.effects = effects;
        this.fault = fault;
    }

    /**
     * A moment as it is told: the later is the greater by difference, for half of a year and more.
     */
    public static int stamp(long now) {
        return (int) (now / STAMP);
    }

    static int id(String name) {
        return (int) LongHashFunction.xx3().hashChars(name);
    }

    /** Who is here. */
    public void viewed(List<String> names) {
        view = new HashSet<>(names.stream().map(LoadSheddingLevel::id).toList());
        told.keySet().retainAll(view);
    }

    /** Rows that another tells, its own and such as it was told. */
    public void heard(long now, List<Row> rows) {
        for (Row r : rows) {
            Told before = told.get(r.name);
            boolean newer =
                    before == null || r.stamp - before.row.stamp > 0 || fault == Fault.OLDER_WINS;
            if (r.name != me && view.contains(r.name) && newer) {
                told.put(r.name, new Told(r, now));
            }
        }
    }

    private boolean isFresh(long now, Told t) {
        return now - t.at < FRESH || fault == Fault.NEVER_OLD;
    }

    /**
     * What this manager tells: its own row first, then those it was told, by turns where there is
     * no room for all.
     */
    public List<Row> rows(long now, int room) {
        int most = view.size() > ALL_AT_ONCE ? Math.min(room, BY_TURNS) : room;
        List<Row> others = others(now);
        List<Row> rows = new ArrayList<>(List.of(mine(now)));
        for (int i = 0; i < others.size() && rows.size() < most; i++) {
            rows.add(others.get((turn + i) % others.size()));
        }
        turn = others.isEmpty() ? 0 : (turn + rows.size() - 1) % others.size();
        return rows;
    }

    private List<Row> others(long now) {
        return told.values().stream().filter(t -> isFresh(now, t)).map(Told::row).toList();
    }

    private Row mine(long now) {
        return new Row(me, stamp(now), came.clone(), sent, waits, runs, zone, bad, orders);
    }

    /** What this manager's own decisions count, to be told each tenth of a second or so. */
    public void measure(long now, DemandHistogram d) {
        double[] all = d.arrivedWork();
        if (measuredAt >= 0 && now > measuredAt) {
            double time = now - measuredAt;
            double by = 1 - Math.exp(-time / SMOOTH);
            for (int i = 0; i < all.length; i++) {
                came[i] += ((all[i] - cameBefore[i]) / time - came[i]) * by;
            }
            sent += ((d.startedWork() - sentBefore) / time - sent) * by;
            lost += ((d.shedWork() - lostBefore) / time - lost) * by;
            waits += (d.waitingWork() / TENTHS + lost * LOST - waits) * by;
            runs += (d.runningThreads() - runs) * by;
        }
        bears = d.threadCapacity();
        measuredAt = now;
        System.arraycopy(all, 0, cameBefore, 0, all.length);
        sentBefore = d.startedWork();
        lostBefore = d.shedWork();
    }

    /** What it sees of the zones, to be told with the rest. */
    public void sees(int ownZone, int[] badByZone, int[] ordersOfZones) {
        zone = ownZone;
        bad = badByZone;
        orders = ordersOfZones;
    }

    /** All fresh rows, its own first. */
    public List<Row> table(long now) {
        List<Row> rows = new ArrayList<>(List.of(mine(now)));
        rows.addAll(fault == Fault.NO_PEERS ? List.of() : others(now));
        return rows;
    }

    /** Works out the cut; to be called after {@link #measure}. */
    public void look(long now) {
        List<Row> rows = table(now);
        // Who is here and not heard is taken to be as the others are.
        double whole = Math.max(1, (double) view.size() / rows.size());
        double sends = rows.stream().mapToDouble(Row::sent).sum();
        double delay =
                fault == Fault.WAITS_UNSEEN
                        ? 0
                        : limited(rows, Row::waits).sum() / Math.max(0.01, sends);
        double busy = limited(rows, Row::runs).sum() * whole / Math.max(1, bears);
        ToDoubleFunction<Row> asks = r -> Arrays.stream(r.came).sum();
        double[] all = rows.stream().mapToDouble(asks).toArray();
        double[] wants = limited(rows, asks).toArray();
        double byDelay = delay <= target ? GROW * (1 - delay / target) : (target - delay) / DRAIN;
        double step =
                Math.max(-DROP, busy > BUSY ? Math.min(byDelay, (BUSY - busy) * BY_BUSY) : byDelay);
        double left = sends * (1 + (fault == Fault.NO_WAY_BACK ? Math.min(0, step) : step));
        int band = DemandHistogram.BANDS;
        double asked = 0;
        while (band > 0 && left >= 0) {
            band--;
            asked = 0;
            for (int r = 0; r < wants.length; r++) {
                asked += all[r] > 0 ? rows.get(r).came[band] * wants[r] / all[r] : 0;
            }
            left -= asked;
        }
        boolean open = left >= 0 || rows.size() < 2 && view.size() > 1 && fault != Fault.NO_PEERS;
        tell(now, open ? 0 : band, open ? 1 : 1 + left / asked);
    }

    private void tell(long now, int nextCut, double nextPart) {
        if (nextCut != cut || nextPart != part) {
            cut = nextCut;
            part = nextPart;
            effects.cut(now, cut, part);
        }
    }

    /**
     * By row what would make this manager refuse more, none of it more than a few times the mean of
     * the others: what one alone claims, a mistake or a lie, moves the fleet no further. What one
     * claims to send only makes it refuse less.
     */
    private DoubleStream limited(List<Row> rows, ToDoubleFunction<Row> figure) {
        double all = rows.stream().mapToDouble(figure).sum();
        boolean free = fault == Fault.NO_LIMIT || rows.size() < 2;
        return rows.stream()
                .mapToDouble(figure)
                .map(f -> free ? f : Math.min(f, OUTSIZED * (all - f) / (rows.size() - 1)));
    }

    /** The band below which all is refused; 0 where nothing is. */
    public int cut() {
        return cut;
    }
}
