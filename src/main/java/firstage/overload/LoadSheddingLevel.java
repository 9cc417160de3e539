package firstage.overload;

import firstage.policy.api.DemandHistogram;
import firstage.util.Ticks;
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
    private static final double SMOOTHING_TIME =
            3_000; // of rates: a storm shows in its first second, a lone report does not
    private static final long ROW_LIFETIME =
            Ticks.ofSeconds(
                    3); // a row counts: some rounds of a small fleet, fewer than a restart takes
    private static final double MAX_WAIT_FRACTION =
            0.5; // of the shortest goal may be spent waiting: the rest is run and chance
    private static final double SHED_WORK_WEIGHT =
            1; // second of what the queue gave up counts as waiting: it would have been
    private static final double DRAIN_TIME_S =
            2; // seconds in which what waits too long is to be gone
    private static final double MAX_GROWTH =
            2; // times what is sent that may come beside it while nothing waits
    private static final double MAX_REDUCTION =
            0.5; // of what is sent at most held back: what runs ends by itself
    private static final double BUSY_THRESHOLD =
            0.8; // of the threads that engines bear: the first long ones are in by then
    private static final double REDUCTION_PER_BUSY =
            1.5; // of what is sent held back for each whole of it beyond that
    private static final double MAX_ROW_WEIGHT =
            4; // times the others' mean that one row counts for: a skewed fleet's most
    private static final double TENTHS = 10_000;
    private static final long TIMESTAMP_UNIT =
            Ticks.ofMillis(
                    10); // what is told is dated in steps of 10 ms: 32 bits are a year and more

    /**
     * Up to so many members each message tells all rows; beyond, rows go by turns and cost the same
     * for any size.
     */
    private static final int MAX_VIEW_FOR_ALL_ROWS = 24;

    private static final int ROWS_BY_TURNS = 6;

    /** Faults put back one at a time. */
    public enum InjectedDefect {
        NONE,
        NO_PEERS,
        NEVER_OLD,
        OLDER_WINS,
        NO_LIMIT,
        WAITS_UNSEEN,
        NO_WAY_BACK
    }

    private record ReceivedRow(LoadRow row, long receivedAt) {}

    private final int self;
    private final double targetDelayS;
    private final SheddingActions actions;
    private final InjectedDefect defect;
    private final Map<Integer, ReceivedRow> rowsByManager = new HashMap<>();
    private final double[] previousArrivedWork = new double[DemandHistogram.BANDS];
    private final double[] arrivalRates = new double[DemandHistogram.BANDS];
    private double previousStartedWork;
    private double previousShedWork;
    private double startRate;
    private double shedRate;
    private double queuedWork;
    private double runningThreads;
    private double threadCapacity;
    private long measuredAt = -1;
    private Set<Integer> view = Set.of();
    private int nextRow;
    private int zone;
    private int[] ejectedPercent = new int[0];
    private int[] zoneOrders = new int[0];
    private int threshold;
    private double admittedPart = 1;

    /** {@code goal}: the shortest response goal of a service group. */
    public LoadSheddingLevel(
            String self, long latencyObjective, SheddingActions actions, InjectedDefect defect) {
        this.self = managerHash(self);
        this.targetDelayS = latencyObjective / TENTHS * MAX_WAIT_FRACTION;
        this.actions = actions;
        this.defect = defect;
    }

    /**
     * A moment as it is told: the later is the greater by difference, for half of a year and more.
     */
    public static int timestamp(long now) {
        return (int) (now / TIMESTAMP_UNIT);
    }

    static int managerHash(String name) {
        return (int) LongHashFunction.xx3().hashChars(name);
    }

    /** Who is here. */
    public void onViewChanged(List<String> names) {
        view = new HashSet<>(names.stream().map(LoadSheddingLevel::managerHash).toList());
        rowsByManager.keySet().retainAll(view);
    }

    /** Rows that another tells, its own and such as it was told. */
    public void onRows(long now, List<LoadRow> rows) {
        for (LoadRow row : rows) {
            ReceivedRow before = rowsByManager.get(row.managerHash());
            boolean newer =
                    before == null
                            || row.timestamp() - before.row.timestamp() > 0
                            || defect == InjectedDefect.OLDER_WINS;
            if (row.managerHash() != self && view.contains(row.managerHash()) && newer) {
                rowsByManager.put(row.managerHash(), new ReceivedRow(row, now));
            }
        }
    }

    private boolean isFresh(long now, ReceivedRow received) {
        return now - received.receivedAt < ROW_LIFETIME || defect == InjectedDefect.NEVER_OLD;
    }

    /**
     * What this manager tells: its own row first, then those it was told, by turns where there is
     * no room for all.
     */
    public List<LoadRow> rowsToSend(long now, int maxRows) {
        int most = view.size() > MAX_VIEW_FOR_ALL_ROWS ? Math.min(maxRows, ROWS_BY_TURNS) : maxRows;
        List<LoadRow> others = freshPeerRows(now);
        List<LoadRow> rows = new ArrayList<>(List.of(localRow(now)));
        for (int i = 0; i < others.size() && rows.size() < most; i++) {
            rows.add(others.get((nextRow + i) % others.size()));
        }
        nextRow = others.isEmpty() ? 0 : (nextRow + rows.size() - 1) % others.size();
        return rows;
    }

    private List<LoadRow> freshPeerRows(long now) {
        return rowsByManager.values().stream()
                .filter(received -> isFresh(now, received))
                .map(ReceivedRow::row)
                .toList();
    }

    private LoadRow localRow(long now) {
        return new LoadRow(
                self,
                timestamp(now),
                arrivalRates.clone(),
                startRate,
                queuedWork,
                runningThreads,
                zone,
                ejectedPercent,
                zoneOrders);
    }

    /** What this manager's own decisions count, to be told each tenth of a second or so. */
    public void measure(long now, DemandHistogram demand) {
        double[] arrivedWork = demand.arrivedWork();
        if (measuredAt >= 0 && now > measuredAt) {
            double elapsed = now - measuredAt;
            double weight = 1 - Math.exp(-elapsed / SMOOTHING_TIME);
            for (int i = 0; i < arrivedWork.length; i++) {
                arrivalRates[i] +=
                        ((arrivedWork[i] - previousArrivedWork[i]) / elapsed - arrivalRates[i])
                                * weight;
            }
            startRate +=
                    ((demand.startedWork() - previousStartedWork) / elapsed - startRate) * weight;
            shedRate += ((demand.shedWork() - previousShedWork) / elapsed - shedRate) * weight;
            queuedWork +=
                    (demand.waitingWork() / TENTHS + shedRate * SHED_WORK_WEIGHT - queuedWork)
                            * weight;
            runningThreads += (demand.runningThreads() - runningThreads) * weight;
        }
        threadCapacity = demand.threadCapacity();
        measuredAt = now;
        System.arraycopy(arrivedWork, 0, previousArrivedWork, 0, arrivedWork.length);
        previousStartedWork = demand.startedWork();
        previousShedWork = demand.shedWork();
    }

    /** What it sees of the zones, to be told with the rest. */
    public void setZoneObservations(int ownZone, int[] ejectedPercentByZone, int[] ordersByZone) {
        zone = ownZone;
        ejectedPercent = ejectedPercentByZone;
        zoneOrders = ordersByZone;
    }

    /** All fresh rows, its own first. */
    public List<LoadRow> freshRows(long now) {
        List<LoadRow> rows = new ArrayList<>(List.of(localRow(now)));
        rows.addAll(defect == InjectedDefect.NO_PEERS ? List.of() : freshPeerRows(now));
        return rows;
    }

    /** Works out the cut; to be called after {@link #measure}. */
    public void evaluate(long now) {
        List<LoadRow> rows = freshRows(now);
        // Who is here and not heard is taken to be as the others are.
        double unheardFactor = Math.max(1, (double) view.size() / rows.size());
        double totalStartRate = rows.stream().mapToDouble(LoadRow::startRate).sum();
        double queueDelayS =
                defect == InjectedDefect.WAITS_UNSEEN
                        ? 0
                        : limited(rows, LoadRow::queuedWork).sum() / Math.max(0.01, totalStartRate);
        double busy =
                limited(rows, LoadRow::runningThreads).sum()
                        * unheardFactor
                        / Math.max(1, threadCapacity);
        ToDoubleFunction<LoadRow> totalArrivalRate = row -> Arrays.stream(row.arrivalRates()).sum();
        double[] rates = rows.stream().mapToDouble(totalArrivalRate).toArray();
        double[] limitedRates = limited(rows, totalArrivalRate).toArray();
        double changeByDelay =
                queueDelayS <= targetDelayS
                        ? MAX_GROWTH * (1 - queueDelayS / targetDelayS)
                        : (targetDelayS - queueDelayS) / DRAIN_TIME_S;
        double change =
                Math.max(
                        -MAX_REDUCTION,
                        busy > BUSY_THRESHOLD
                                ? Math.min(
                                        changeByDelay, (BUSY_THRESHOLD - busy) * REDUCTION_PER_BUSY)
                                : changeByDelay);
        double remainingRate =
                totalStartRate
                        * (1
                                + (defect == InjectedDefect.NO_WAY_BACK
                                        ? Math.min(0, change)
                                        : change));
        int band = DemandHistogram.BANDS;
        double bandRate = 0;
        while (band > 0 && remainingRate >= 0) {
            band--;
            bandRate = 0;
            for (int r = 0; r < limitedRates.length; r++) {
                bandRate +=
                        rates[r] > 0
                                ? rows.get(r).arrivalRates()[band] * limitedRates[r] / rates[r]
                                : 0;
            }
            remainingRate -= bandRate;
        }
        boolean admitAll =
                remainingRate >= 0
                        || rows.size() < 2 && view.size() > 1 && defect != InjectedDefect.NO_PEERS;
        apply(now, admitAll ? 0 : band, admitAll ? 1 : 1 + remainingRate / bandRate);
    }

    private void apply(long now, int nextThreshold, double nextPart) {
        if (nextThreshold != threshold || nextPart != admittedPart) {
            threshold = nextThreshold;
            admittedPart = nextPart;
            actions.setThreshold(now, threshold, admittedPart);
        }
    }

    /**
     * By row what would make this manager refuse more, none of it more than a few times the mean of
     * the others: what one alone claims, a mistake or a lie, moves the fleet no further. What one
     * claims to send only makes it refuse less.
     */
    private DoubleStream limited(List<LoadRow> rows, ToDoubleFunction<LoadRow> figure) {
        double total = rows.stream().mapToDouble(figure).sum();
        boolean unlimited = defect == InjectedDefect.NO_LIMIT || rows.size() < 2;
        return rows.stream()
                .mapToDouble(figure)
                .map(
                        value ->
                                unlimited
                                        ? value
                                        : Math.min(
                                                value,
                                                MAX_ROW_WEIGHT
                                                        * (total - value)
                                                        / (rows.size() - 1)));
    }

    /** The band below which all is refused; 0 where nothing is. */
    public int threshold() {
        return threshold;
    }
}
