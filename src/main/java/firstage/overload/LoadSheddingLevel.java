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
 * Computes one load-shedding threshold for the whole fleet. Each manager sends a row with the work
 * that arrives by priority band, and the work that it starts, queues and runs. Managers forward
 * rows, so that all have nearly the same table and compute the same threshold: the fleet's capacity
 * is filled from the highest priority band down. Requests of bands below the threshold are refused
 * at once; of the threshold's own band a fraction is admitted.
 *
 * <p>The fleet's capacity is not known in advance. The estimate is the work that is started now;
 * less if work is queued too long or more threads run than the engines can sustain, and up to three
 * times as much if neither holds. The only state is smoothed rates, so a restarted manager agrees
 * with the others as soon as it has their rows.
 *
 * <p>Invariants: rows of others only make a manager refuse more than it would because of its own
 * queue; no row counts for more than a few times the mean of the others; without fresh rows there
 * is no threshold. Times are in ticks, rates in seconds of expected work a second.
 */
public final class LoadSheddingLevel {
    /** Time constant of the smoothed rates, in ticks: an overload shows within its first second. */
    private static final double SMOOTHING_TIME = 3_000;

    /**
     * Time for which a received row counts: several probe rounds of a small fleet, and less than a
     * restart takes.
     */
    private static final long ROW_LIFETIME = Ticks.ofSeconds(3);

    /** Fraction of the shortest latency objective that requests may spend in the queue. */
    private static final double MAX_WAIT_FRACTION = 0.5;

    /** Seconds for which work that was shed from the queue counts as queued. */
    private static final double SHED_WORK_WEIGHT = 1;

    /** Seconds in which the queue is to return to its target delay. */
    private static final double DRAIN_TIME_S = 2;

    /** Maximum growth of the estimate, relative to the start rate, while nothing is queued. */
    private static final double MAX_GROWTH = 2;

    /** Maximum reduction of the estimate, relative to the start rate. */
    private static final double MAX_REDUCTION = 0.5;

    /** Fraction of the thread capacity in use above which the estimate is reduced. */
    private static final double UTILIZATION_THRESHOLD = 0.8;

    /**
     * Reduction of the estimate, relative to the start rate, per unit of utilization above the
     * threshold.
     */
    private static final double REDUCTION_PER_UTILIZATION = 1.5;

    /** Maximum weight of one row, as a multiple of the mean of the others. */
    private static final double MAX_ROW_WEIGHT = 4;

    private static final double TICKS_PER_SECOND = 10_000;

    /** Resolution of row timestamps in ticks; 32 bits last for more than a year. */
    private static final long TIMESTAMP_UNIT = Ticks.ofMillis(10);

    /**
     * Maximum number of managers in the view for which a message carries all rows that fit; in
     * larger views a message carries up to {@link #ROWS_PER_TURN} rows, in turn.
     */
    private static final int MAX_VIEW_FOR_ALL_ROWS = 24;

    private static final int ROWS_PER_TURN = 6;

    /** Defects that tests inject one at a time, to prove that the checks detect them. */
    public enum InjectedDefect {
        NONE,

        /** Rows of other managers are ignored. */
        NO_PEERS,

        /** Rows never expire. */
        NEVER_OLD,

        /** An older row replaces a newer one. */
        OLDER_WINS,

        /** The weight of a single row is not limited. */
        NO_LIMIT,

        /** The queueing delay is ignored. */
        WAITS_UNSEEN,

        /** The capacity estimate never grows. */
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
    private double admittedFraction = 1;

    /**
     * Creates a level without a threshold.
     *
     * @param self name of this manager
     * @param latencyObjective shortest latency objective of all traffic classes, in ticks
     */
    public LoadSheddingLevel(
            String self, long latencyObjective, SheddingActions actions, InjectedDefect defect) {
        this.self = managerHash(self);
        this.targetDelayS = latencyObjective / TICKS_PER_SECOND * MAX_WAIT_FRACTION;
        this.actions = actions;
        this.defect = defect;
    }

    /**
     * Returns a time as it is sent in rows. Timestamps are compared by their difference, which is
     * valid for times up to half a year apart.
     */
    public static int timestamp(long now) {
        return (int) (now / TIMESTAMP_UNIT);
    }

    static int managerHash(String name) {
        return (int) LongHashFunction.xx3().hashChars(name);
    }

    /** Sets the names of the alive managers, and drops the rows of all others. */
    public void onViewChanged(List<String> names) {
        view = new HashSet<>(names.stream().map(LoadSheddingLevel::managerHash).toList());
        rowsByManager.keySet().retainAll(view);
    }

    /** Handles rows that another manager sent: its own and forwarded ones. */
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
     * Returns the rows to send: this manager's own first, then rows of others, in turn if not all
     * of them fit.
     */
    public List<LoadRow> rowsToSend(long now, int maxRows) {
        int limit =
                view.size() > MAX_VIEW_FOR_ALL_ROWS ? Math.min(maxRows, ROWS_PER_TURN) : maxRows;
        List<LoadRow> others = freshPeerRows(now);
        List<LoadRow> rows = new ArrayList<>(List.of(localRow(now)));
        for (int i = 0; i < others.size() && rows.size() < limit; i++) {
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

    /** Updates this manager's own rates; to be called about every 100 ms. */
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

    /** Sets this manager's observations of the zones, which are sent with its row. */
    public void setZoneObservations(int ownZone, int[] ejectedPercentByZone, int[] ordersByZone) {
        zone = ownZone;
        ejectedPercent = ejectedPercentByZone;
        zoneOrders = ordersByZone;
    }

    /** Returns all fresh rows, this manager's own first. */
    public List<LoadRow> freshRows(long now) {
        List<LoadRow> rows = new ArrayList<>(List.of(localRow(now)));
        rows.addAll(defect == InjectedDefect.NO_PEERS ? List.of() : freshPeerRows(now));
        return rows;
    }

    /** Computes the threshold; to be called after {@link #measure}. */
    public void evaluate(long now) {
        List<LoadRow> rows = freshRows(now);
        // Members without a fresh row are assumed to be like the others.
        double missingRowsFactor = Math.max(1, (double) view.size() / rows.size());
        double totalStartRate = rows.stream().mapToDouble(LoadRow::startRate).sum();
        double queueDelayS =
                defect == InjectedDefect.WAITS_UNSEEN
                        ? 0
                        : limited(rows, LoadRow::queuedWork).sum() / Math.max(0.01, totalStartRate);
        double utilization =
                limited(rows, LoadRow::runningThreads).sum()
                        * missingRowsFactor
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
                        utilization > UTILIZATION_THRESHOLD
                                ? Math.min(
                                        changeByDelay,
                                        (UTILIZATION_THRESHOLD - utilization)
                                                * REDUCTION_PER_UTILIZATION)
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

    private void apply(long now, int nextThreshold, double nextFraction) {
        if (nextThreshold != threshold || nextFraction != admittedFraction) {
            threshold = nextThreshold;
            admittedFraction = nextFraction;
            actions.setThreshold(now, threshold, admittedFraction);
        }
    }

    /**
     * Returns the value of each row, limited to a few times the mean of the others, so that a
     * single wrong row has a bounded effect on the fleet. Applied to values that make this manager
     * refuse more.
     */
    private DoubleStream limited(List<LoadRow> rows, ToDoubleFunction<LoadRow> valueOf) {
        double total = rows.stream().mapToDouble(valueOf).sum();
        boolean unlimited = defect == InjectedDefect.NO_LIMIT || rows.size() < 2;
        return rows.stream()
                .mapToDouble(valueOf)
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

    /** Returns the priority band below which all requests are refused; 0 for none. */
    public int threshold() {
        return threshold;
    }
}
