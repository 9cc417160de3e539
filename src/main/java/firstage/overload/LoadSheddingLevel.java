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
 * One load-shedding threshold for the whole fleet. Each manager sends a row with what it is asked
 * for by priority band, what it starts, what is queued and what runs. Rows are passed on, so that
 * all have nearly the same table and compute the same threshold: what the fleet can get through,
 * highest priority first. Requests of a lower band are refused at once; of the threshold's own band
 * a part is admitted.
 *
 * <p>The fleet's capacity is not known ahead. It is estimated as what is started now, less where
 * work is queued too long or more threads run than engines bear, and up to three times as much
 * where neither is so. The only state is smoothed rates, so a manager that restarts agrees with the
 * others as soon as it has their rows.
 *
 * <p>Invariants: rows of others only make a manager refuse more than its own queue would; no row
 * counts for more than a few times the mean of the others; without fresh rows there is no
 * threshold. Times are in ticks, rates in seconds of expected work a second.
 */
public final class LoadSheddingLevel {
    /** Ticks over which rates are smoothed: a storm shows in its first second. */
    private static final double SMOOTHING_TIME = 3_000;

    /** A row counts so long: some probe rounds of a small fleet, fewer than a restart takes. */
    private static final long ROW_LIFETIME = Ticks.ofSeconds(3);

    /** Of the shortest latency objective that may be spent in the queue. */
    private static final double MAX_WAIT_FRACTION = 0.5;

    /** Seconds for which work that the queue shed counts as queued. */
    private static final double SHED_WORK_WEIGHT = 1;

    /** Seconds in which work that is queued too long is to be gone. */
    private static final double DRAIN_TIME_S = 2;

    /** Times the start rate that may come in addition while nothing is queued. */
    private static final double MAX_GROWTH = 2;

    /** Of the start rate held back at most. */
    private static final double MAX_REDUCTION = 0.5;

    /** Of the threads that engines bear. */
    private static final double BUSY_THRESHOLD = 0.8;

    /** Of the start rate held back for each whole of the threads beyond the threshold. */
    private static final double REDUCTION_PER_BUSY = 1.5;

    /** Times the mean of the others that one row counts for at most. */
    private static final double MAX_ROW_WEIGHT = 4;

    private static final double TICKS_PER_SECOND = 10_000;

    /** Rows are dated in steps of this: 32 bits are more than a year. */
    private static final long TIMESTAMP_UNIT = Ticks.ofMillis(10);

    /** Up to so many members each message carries all rows; beyond, rows go by turns. */
    private static final int MAX_VIEW_FOR_ALL_ROWS = 24;

    private static final int ROWS_BY_TURNS = 6;

    /** Defects that tests put in one at a time, to show that they are found. */
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

    /** {@code latencyObjective}: the shortest of a traffic class, in ticks. */
    public LoadSheddingLevel(
            String self, long latencyObjective, SheddingActions actions, InjectedDefect defect) {
        this.self = managerHash(self);
        this.targetDelayS = latencyObjective / TICKS_PER_SECOND * MAX_WAIT_FRACTION;
        this.actions = actions;
        this.defect = defect;
    }

    /** A time as it is sent; compared by difference, which holds for half a year and more. */
    public static int timestamp(long now) {
        return (int) (now / TIMESTAMP_UNIT);
    }

    static int managerHash(String name) {
        return (int) LongHashFunction.xx3().hashChars(name);
    }

    /** The alive managers. */
    public void onViewChanged(List<String> names) {
        view = new HashSet<>(names.stream().map(LoadSheddingLevel::managerHash).toList());
        rowsByManager.keySet().retainAll(view);
    }

    /** Rows that another sent, its own and those passed on. */
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
     * What this manager sends: its own row first, then others', by turns where there is no room for
     * all.
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

    /** Updates this manager's own rates; to be called each 100 ms or so. */
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
                    (demand.waitingWork() / TICKS_PER_SECOND
                                    + shedRate * SHED_WORK_WEIGHT
                                    - queuedWork)
                            * weight;
            runningThreads += (demand.runningThreads() - runningThreads) * weight;
        }
        threadCapacity = demand.threadCapacity();
        measuredAt = now;
        System.arraycopy(arrivedWork, 0, previousArrivedWork, 0, arrivedWork.length);
        previousStartedWork = demand.startedWork();
        previousShedWork = demand.shedWork();
    }

    /** What this manager observes of the zones, to be sent with its row. */
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

    /** Computes the threshold; to be called after {@link #measure}. */
    public void evaluate(long now) {
        List<LoadRow> rows = freshRows(now);
        // Members without a fresh row are assumed to be as the others.
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
     * The figures by row, none more than a few times the mean of the others: a mistaken row moves
     * the fleet no further. For figures that make this manager refuse more.
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

    /** The priority band below which all requests are refused; 0 for none. */
    public int threshold() {
        return threshold;
    }
}
