package firstage.scale;

import firstage.cells.CellDirectory;
import firstage.simulation.schedule.SimulatedCells;
import firstage.simulation.schedule.SimulatedCells.FleetShape;
import firstage.simulation.schedule.SimulatedCells.ManagerHost;
import firstage.simulation.schedule.SimulatedCells.MessageKind;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import org.apache.commons.math3.stat.descriptive.DescriptiveStatistics;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * Measures what coordination costs a manager, by the size of the fleet. A simulation in virtual
 * time gives a row of figures for each size, and a fit gives the slope of each figure against the
 * number of managers, with its error. All figures are simulated. Times are ticks.
 */
public final class ScalingSlopes {
    private static final long SECOND = 10_000;

    /** Time within which all managers start, as in a fleet that returns from a power cut. */
    private static final long START_WINDOW = SECOND;

    /** Share of the managers that a mass restart kills at once. */
    private static final double MASS_RESTART_SHARE = 0.7;

    /** Time within which the managers of a mass restart start again. */
    private static final long MASS_RESTART_WINDOW = 3 * SECOND;

    /** Time between restarts on an ordinary day: 1,800 a day in a fleet of 2,600 managers. */
    private static final long RESTART_INTERVAL = 48 * SECOND;

    /** Time for which a restarted manager is away. */
    private static final long RESTART_DOWNTIME = 2 * SECOND;

    private static final int KILLS = 3;

    private ScalingSlopes() {}

    /**
     * Returns the heap that the state of a manager takes, in KB, 30 s after the start of the fleet.
     * The figure is the difference of the whole heap with and without the fleet, so nothing else
     * may run in the process. The engines that a manager holds are not included.
     */
    public static double heapPerManagerKb(FleetShape shape, long seed) {
        double bytesBefore = usedHeapBytes();
        SimulatedCells fleet = new SimulatedCells(shape, seed);
        start(fleet, shape, new LinkedHashMap<>());
        fleet.advance(10 * SECOND);
        double bytesAfter = usedHeapBytes();
        return fleet.hosts().isEmpty() ? 0 : (bytesAfter - bytesBefore) / 1_024 / shape.managers();
    }

    private static double usedHeapBytes() {
        MemoryMXBean memory = ManagementFactory.getMemoryMXBean();
        memory.gc();
        memory.gc();
        return memory.getHeapMemoryUsage().getUsed();
    }

    /**
     * Returns the figures of one size, by name.
     *
     * @param includeRestarts whether to measure a day's restarts and a mass restart as well
     */
    public static Map<String, Double> measure(
            FleetShape shape, long seed, boolean includeRestarts) {
        Map<String, Double> row = new LinkedHashMap<>();
        row.put("managers", (double) shape.managers());
        SimulatedCells fleet = new SimulatedCells(shape, seed);
        start(fleet, shape, row);
        long[] bytesBefore = new long[MessageKind.values().length];
        fleet.bytesByKind().forEach((kind, bytes) -> bytesBefore[kind.ordinal()] = bytes);
        long datagramsBefore = fleet.sentDatagramCount();
        fleet.advance(10 * SECOND);
        double totalRate = 0;
        for (Map.Entry<MessageKind, Long> entry : fleet.bytesByKind().entrySet()) {
            double rate =
                    (entry.getValue() - bytesBefore[entry.getKey().ordinal()])
                            / 10.0
                            / shape.managers();
            row.put("bytes a s, " + entry.getKey().name().toLowerCase(Locale.ROOT), rate);
            totalRate += rate;
        }
        row.put("bytes a s", totalRate);
        row.put(
                "datagrams a s",
                (fleet.sentDatagramCount() - datagramsBefore) / 10.0 / shape.managers());
        row.put("most bytes a s of one", mostBytesPerSecond(fleet, 5));
        recordRowAges(fleet, row);
        measureKills(fleet, row);
        if (includeRestarts) {
            measureRestarts(fleet, shape, row, 20);
            measureMassRestart(fleet, shape, row);
        }
        return row;
    }

    /** Starts the fleet, plays 20 s and records the figures of the start. */
    private static void start(SimulatedCells fleet, FleetShape shape, Map<String, Double> row) {
        for (ManagerHost host : fleet.hosts()) {
            fleet.events().schedule(fleet.random().nextLong(START_WINDOW), host::start);
        }
        double worstSecond = 0;
        long startTime = fleet.events().now();
        long bytesBefore = 0;
        long agreedAfter = -1;
        double quotaAt10s = 0;
        for (int second = 1; second <= 20; second++) {
            for (int step = 0; step < 10; step++) {
                fleet.advance(SECOND / 10);
                if (agreedAfter < 0
                        && fleet.events().now() - startTime >= START_WINDOW
                        && fleet.countAgreedCells() == shape.cellCount()) {
                    agreedAfter = fleet.events().now() - startTime;
                }
            }
            long bytes = fleet.bytesByKind().values().stream().mapToLong(b -> b).sum();
            worstSecond = Math.max(worstSecond, (double) (bytes - bytesBefore) / shape.managers());
            bytesBefore = bytes;
            quotaAt10s = second == 10 ? fleet.quotaFractionInForce() : quotaAt10s;
        }
        row.put("start: worst second, bytes", worstSecond);
        row.put("start: to one view, s", agreedAfter < 0 ? -1 : agreedAfter / 1e4);
        row.put("start: slices in force at 10 s", quotaAt10s);
        row.put("start: slices in force at 20 s", fleet.quotaFractionInForce());
    }

    /** Returns the most bytes that one manager sent in any of the next seconds. */
    private static double mostBytesPerSecond(SimulatedCells fleet, int seconds) {
        double maxBytes = 0;
        for (int second = 0; second < seconds; second++) {
            List<Long> before = fleet.hosts().stream().map(ManagerHost::bytesSent).toList();
            fleet.advance(SECOND);
            for (int i = 0; i < before.size(); i++) {
                maxBytes = Math.max(maxBytes, fleet.hosts().get(i).bytesSent() - before.get(i));
            }
        }
        return maxBytes;
    }

    /** Records how old the cells' rows are at all managers; a row never received counts as 99 s. */
    private static void recordRowAges(SimulatedCells fleet, Map<String, Double> row) {
        DescriptiveStatistics ages = new DescriptiveStatistics();
        for (ManagerHost host : fleet.hosts()) {
            if (host.up() && host.cellDirectory() != null) {
                host.cellDirectory()
                        .cellStatuses(fleet.events().now())
                        .forEach(cell -> ages.addValue(cell.age() < 0 ? 99 : cell.age() / 1e4));
            }
        }
        if (ages.getN() > 0) {
            row.put("age of rows, median, s", ages.getPercentile(50));
            row.put("age of rows, 99th, s", ages.getPercentile(99));
        }
    }

    /** Records how soon managers notice a kill; one that does not notice it counts as 99 s. */
    private static void measureKills(SimulatedCells fleet, Map<String, Double> row) {
        DescriptiveStatistics detectionTimes = new DescriptiveStatistics();
        for (int i = 0; i < KILLS; i++) {
            int killed = fleet.random().nextInt(fleet.hosts().size());
            fleet.hosts().get(killed).kill();
            fleet.timesUntilRemoved(killed, 10 * SECOND)
                    .forEach(time -> detectionTimes.addValue(time < 0 ? 99 : time / 1e4));
            fleet.hosts().get(killed).start();
            fleet.advance(5 * SECOND);
        }
        row.put("a kill known, median, s", detectionTimes.getPercentile(50));
        row.put("a kill known, 99th, s", detectionTimes.getPercentile(99));
    }

    /** Plays the restarts of an ordinary day for 60 s, {@code speedUp} times as fast. */
    private static void measureRestarts(
            SimulatedCells fleet, FleetShape shape, Map<String, Double> row, int speedUp) {
        // RESTART_INTERVAL is for 2,600 managers; a smaller fleet has fewer restarts in proportion.
        long interval = Math.round((double) RESTART_INTERVAL / speedUp * 2_600 / shape.managers());
        long bytesBefore = fleet.bytesByKind().values().stream().mapToLong(b -> b).sum();
        double leastQuota = 1;
        long nextRestart = interval;
        for (long time = 0; time < 60 * SECOND; time += SECOND / 2) {
            if (time >= nextRestart) {
                nextRestart += interval;
                ManagerHost host = fleet.hosts().get(fleet.random().nextInt(fleet.hosts().size()));
                if (host.up()) {
                    host.leave();
                    fleet.events().schedule(RESTART_DOWNTIME, host::start);
                }
            }
            fleet.advance(SECOND / 2);
            leastQuota = Math.min(leastQuota, fleet.quotaFractionInForce());
        }
        long bytesAfter = fleet.bytesByKind().values().stream().mapToLong(b -> b).sum();
        row.put(
                "restarts at " + speedUp + " times the pace: bytes a s",
                (bytesAfter - bytesBefore) / 60.0 / shape.managers());
        row.put("restarts at " + speedUp + " times the pace: least slices in force", leastQuota);
        fleet.advance(5 * SECOND);
    }

    private static void measureMassRestart(
            SimulatedCells fleet, FleetShape shape, Map<String, Double> row) {
        List<ManagerHost> shuffled = new ArrayList<>(fleet.hosts());
        Collections.shuffle(shuffled, new Random(fleet.random().nextLong()));
        List<ManagerHost> killed =
                shuffled.subList(0, (int) (shuffled.size() * MASS_RESTART_SHARE)).stream()
                        .filter(ManagerHost::up)
                        .toList();
        killed.forEach(ManagerHost::kill);
        for (ManagerHost host : killed) {
            fleet.events()
                    .schedule(
                            SECOND / 2 + fleet.random().nextLong(MASS_RESTART_WINDOW), host::start);
        }
        double worstSecond = 0;
        long bytesBefore = fleet.bytesByKind().values().stream().mapToLong(b -> b).sum();
        long killTime = fleet.events().now();
        long agreedAfter = -1;
        double fullQuotaAfter = -1;
        for (int step = 1; step <= 600 && (agreedAfter < 0 || fullQuotaAfter < 0); step++) {
            fleet.advance(SECOND / 10);
            if (step % 10 == 0) {
                long bytes = fleet.bytesByKind().values().stream().mapToLong(b -> b).sum();
                worstSecond =
                        Math.max(worstSecond, (double) (bytes - bytesBefore) / shape.managers());
                bytesBefore = bytes;
            }
            boolean allStarted = fleet.events().now() - killTime > MASS_RESTART_WINDOW + SECOND / 2;
            agreedAfter =
                    agreedAfter < 0 && allStarted && fleet.countAgreedCells() == shape.cellCount()
                            ? fleet.events().now() - killTime
                            : agreedAfter;
            fullQuotaAfter =
                    fullQuotaAfter < 0 && allStarted && fleet.quotaFractionInForce() > 0.999
                            ? fleet.events().now() - killTime
                            : fullQuotaAfter;
        }
        row.put("seven in ten restarted: worst second, bytes", worstSecond);
        row.put("seven in ten restarted: one view after, s", agreedAfter / 1e4);
        row.put("seven in ten restarted: all slices in force after, s", fullQuotaAfter / 1e4);
    }

    /**
     * Measures a network partition between two regions, and the recovery from it. The cells with an
     * even index are in one region, all others in the other.
     *
     * @param length duration of the partition
     */
    public static Map<String, Double> measureRegionPartition(
            FleetShape shape, long seed, long length) {
        Map<String, Double> row = new LinkedHashMap<>();
        row.put("managers", (double) shape.managers());
        SimulatedCells fleet = new SimulatedCells(shape, seed);
        fleet.start(START_WINDOW);
        fleet.advance(40 * SECOND);
        double rateBefore = bytesPerSecond(fleet, 20) / shape.managers();
        fleet.setPartition(index -> fleet.hosts().get(index).cell() % 2 == 0, true);
        double leastQuota = 1;
        for (long time = 0; time < length; time += 10 * SECOND) {
            fleet.advance(10 * SECOND);
            leastQuota = Math.min(leastQuota, fleet.quotaFractionInForce());
        }
        row.put("cut, min", length / 6e5);
        row.put("bytes a s before", rateBefore);
        row.put("bytes a s while cut", bytesPerSecond(fleet, 20) / shape.managers());
        row.put("least slices in force while cut", leastQuota);
        fleet.setPartition(index -> false, false);
        double worstSecond = 0;
        long allHeardAfter = -1;
        for (int second = 1; second <= 60; second++) {
            worstSecond = Math.max(worstSecond, bytesPerSecond(fleet, 1) / shape.managers());
            boolean allHeard =
                    fleet.hosts().stream().allMatch(host -> hearsAll(host, fleet.events().now()));
            allHeardAfter = allHeardAfter < 0 && allHeard ? second : allHeardAfter;
        }
        row.put("worst second after, bytes", worstSecond);
        row.put("all cells heard by all after, s", (double) allHeardAfter);
        row.put(
                "cells of one view after, part",
                (double) fleet.countAgreedCells() / shape.cellCount());
        return row;
    }

    private static boolean hearsAll(SimulatedCells.ManagerHost host, long now) {
        return host.cellDirectory() == null
                || host.cellDirectory().cellStatuses(now).stream()
                        .allMatch(cell -> cell.state() == CellDirectory.CellState.ACTIVE);
    }

    /** Advances the time and returns the bytes a second that all managers together sent in it. */
    private static double bytesPerSecond(SimulatedCells fleet, int seconds) {
        long bytesBefore = fleet.bytesByKind().values().stream().mapToLong(b -> b).sum();
        fleet.advance(seconds * SECOND);
        return (fleet.bytesByKind().values().stream().mapToLong(b -> b).sum() - bytesBefore)
                / (double) seconds;
    }

    /** Returns the increase of a figure per thousand managers, and its standard error. */
    public static double[] slope(List<Map<String, Double>> rows, String figure) {
        SimpleRegression fit = new SimpleRegression();
        rows.stream()
                .filter(row -> row.containsKey(figure))
                .forEach(row -> fit.addData(row.get("managers") / 1e3, row.get(figure)));
        return new double[] {fit.getSlope(), fit.getSlopeStdErr()};
    }
}
