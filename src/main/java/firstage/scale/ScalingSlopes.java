package firstage.scale;

import firstage.cells.CellDirectory;
import firstage.simulation.schedule.SimulatedCells;
import firstage.simulation.schedule.SimulatedCells.ManagerHost;
import firstage.simulation.schedule.SimulatedCells.MessageKind;
import firstage.simulation.schedule.SimulatedCells.Shape;
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
 * What control costs a manager by the size of the fleet, played in virtual time: one row of figures
 * a size, and the slope of each against the managers with its error. All of it simulated. Times are
 * ticks.
 */
public final class ScalingSlopes {
    /** Unit: ticks. */
    private static final long SECOND = 10_000;

    /** All are started within this, as a fleet that comes back from a power cut. */
    private static final long START = SECOND;

    /** A mass restart kills so many at once; they are back within {@link #BACK} of each other. */
    private static final double RESTARTED = 0.7;

    private static final long BACK = 3 * SECOND;

    /** 1,800 restarts a day are one in 48 s; a manager is away for so long. */
    private static final long ONE_IN = 48 * SECOND;

    private static final long AWAY = 2 * SECOND;
    private static final int KILLS = 3;

    private ScalingSlopes() {}

    /**
     * Heap that a manager's state takes, in KB, 30 s after all started: the difference of the whole
     * heap with and without the fleet in it, so nothing else may run in the process. The engines it
     * holds apart are in none of it.
     */
    public static double heap(Shape shape, long seed) {
        double before = used();
        SimulatedCells f = new SimulatedCells(shape, seed);
        start(f, shape, new LinkedHashMap<>());
        f.advance(10 * SECOND);
        double after = used();
        return f.hosts().isEmpty() ? 0 : (after - before) / 1_024 / shape.managers();
    }

    private static double used() {
        MemoryMXBean memory = ManagementFactory.getMemoryMXBean();
        memory.gc();
        memory.gc();
        return memory.getHeapMemoryUsage().getUsed();
    }

    /** What is measured of one size; {@code deep}: the mass restart and the day's restarts too. */
    public static Map<String, Double> play(Shape shape, long seed, boolean deep) {
        Map<String, Double> row = new LinkedHashMap<>();
        row.put("managers", (double) shape.managers());
        SimulatedCells f = new SimulatedCells(shape, seed);
        start(f, shape, row);
        long[] before = new long[MessageKind.values().length];
        f.bytesByKind().forEach((k, b) -> before[k.ordinal()] = b);
        long datagrams = f.datagrams();
        f.advance(10 * SECOND);
        double all = 0;
        for (Map.Entry<MessageKind, Long> e : f.bytesByKind().entrySet()) {
            double rate = (e.getValue() - before[e.getKey().ordinal()]) / 10.0 / shape.managers();
            row.put("bytes a s, " + e.getKey().name().toLowerCase(Locale.ROOT), rate);
            all += rate;
        }
        row.put("bytes a s", all);
        row.put("datagrams a s", (f.datagrams() - datagrams) / 10.0 / shape.managers());
        row.put("most bytes a s of one", most(f, 5));
        ages(f, row);
        kills(f, row);
        if (deep) {
            restarts(f, shape, row, 20);
            massRestart(f, shape, row);
        }
        return row;
    }

    private static void start(SimulatedCells f, Shape shape, Map<String, Double> row) {
        for (ManagerHost p : f.hosts()) {
            f.events().schedule(f.random().nextLong(START), p::start);
        }
        double worst = 0;
        long since = f.events().now();
        long sum = 0;
        long agreed = -1;
        double shares = 0;
        for (int second = 1; second <= 20; second++) {
            for (int step = 0; step < 10; step++) {
                f.advance(SECOND / 10);
                if (agreed < 0
                        && f.events().now() - since >= START
                        && f.agreedCells() == shape.cellCount()) {
                    agreed = f.events().now() - since;
                }
            }
            long now = f.bytesByKind().values().stream().mapToLong(b -> b).sum();
            worst = Math.max(worst, (double) (now - sum) / shape.managers());
            sum = now;
            shares = second == 10 ? f.quotaInForce() : shares;
        }
        row.put("start: worst second, bytes", worst);
        row.put("start: to one view, s", agreed < 0 ? -1 : agreed / 1e4);
        row.put("start: slices in force at 10 s", shares);
        row.put("start: slices in force at 20 s", f.quotaInForce());
    }

    /** The most that one manager sent in any of so many seconds. */
    private static double most(SimulatedCells f, int seconds) {
        double most = 0;
        for (int s = 0; s < seconds; s++) {
            List<Long> before = f.hosts().stream().map(ManagerHost::bytesSent).toList();
            f.advance(SECOND);
            for (int p = 0; p < before.size(); p++) {
                most = Math.max(most, f.hosts().get(p).bytesSent() - before.get(p));
            }
        }
        return most;
    }

    private static void ages(SimulatedCells f, Map<String, Double> row) {
        DescriptiveStatistics ages = new DescriptiveStatistics();
        for (ManagerHost p : f.hosts()) {
            if (p.up() && p.cellDirectory() != null) {
                p.cellDirectory()
                        .cells(f.events().now())
                        .forEach(k -> ages.addValue(k.age() < 0 ? 99 : k.age() / 1e4));
            }
        }
        if (ages.getN() > 0) {
            row.put("age of rows, median, s", ages.getPercentile(50));
            row.put("age of rows, 99th, s", ages.getPercentile(99));
        }
    }

    private static void kills(SimulatedCells f, Map<String, Double> row) {
        DescriptiveStatistics known = new DescriptiveStatistics();
        for (int i = 0; i < KILLS; i++) {
            int who = f.random().nextInt(f.hosts().size());
            f.hosts().get(who).kill();
            f.timesUntilRemoved(who, 10 * SECOND)
                    .forEach(t -> known.addValue(t < 0 ? 99 : t / 1e4));
            f.hosts().get(who).start();
            f.advance(5 * SECOND);
        }
        row.put("a kill known, median, s", known.getPercentile(50));
        row.put("a kill known, 99th, s", known.getPercentile(99));
    }

    /** Restarts as on an ordinary day, at so many times its pace, for 60 s. */
    private static void restarts(
            SimulatedCells f, Shape shape, Map<String, Double> row, int times) {
        // The page's pace is of 2,600 managers; a smaller fleet has as many fewer.
        long every = Math.round((double) ONE_IN / times * 2_600 / shape.managers());
        long before = f.bytesByKind().values().stream().mapToLong(b -> b).sum();
        double least = 1;
        long next = every;
        for (long t = 0; t < 60 * SECOND; t += SECOND / 2) {
            if (t >= next) {
                next += every;
                ManagerHost p = f.hosts().get(f.random().nextInt(f.hosts().size()));
                if (p.up()) {
                    p.leave();
                    f.events().schedule(AWAY, p::start);
                }
            }
            f.advance(SECOND / 2);
            least = Math.min(least, f.quotaInForce());
        }
        long after = f.bytesByKind().values().stream().mapToLong(b -> b).sum();
        row.put(
                "restarts at " + times + " times the pace: bytes a s",
                (after - before) / 60.0 / shape.managers());
        row.put("restarts at " + times + " times the pace: least slices in force", least);
        f.advance(5 * SECOND);
    }

    private static void massRestart(SimulatedCells f, Shape shape, Map<String, Double> row) {
        List<ManagerHost> all = new ArrayList<>(f.hosts());
        Collections.shuffle(all, new Random(f.random().nextLong()));
        List<ManagerHost> killed =
                all.subList(0, (int) (all.size() * RESTARTED)).stream()
                        .filter(ManagerHost::up)
                        .toList();
        killed.forEach(ManagerHost::kill);
        for (ManagerHost p : killed) {
            f.events().schedule(SECOND / 2 + f.random().nextLong(BACK), p::start);
        }
        double worst = 0;
        long sum = f.bytesByKind().values().stream().mapToLong(b -> b).sum();
        long since = f.events().now();
        long agreed = -1;
        double inForce = -1;
        for (int step = 1; step <= 600 && (agreed < 0 || inForce < 0); step++) {
            f.advance(SECOND / 10);
            if (step % 10 == 0) {
                long now = f.bytesByKind().values().stream().mapToLong(b -> b).sum();
                worst = Math.max(worst, (double) (now - sum) / shape.managers());
                sum = now;
            }
            boolean back = f.events().now() - since > BACK + SECOND / 2;
            agreed =
                    agreed < 0 && back && f.agreedCells() == shape.cellCount()
                            ? f.events().now() - since
                            : agreed;
            inForce =
                    inForce < 0 && back && f.quotaInForce() > 0.999
                            ? f.events().now() - since
                            : inForce;
        }
        row.put("seven in ten restarted: worst second, bytes", worst);
        row.put("seven in ten restarted: one view after, s", agreed / 1e4);
        row.put("seven in ten restarted: all slices in force after, s", inForce / 1e4);
    }

    /** Two regions lose each other for so long, and meet again: every other zone is of the one. */
    public static Map<String, Double> region(Shape shape, long seed, long length) {
        Map<String, Double> row = new LinkedHashMap<>();
        row.put("managers", (double) shape.managers());
        SimulatedCells f = new SimulatedCells(shape, seed);
        f.start(START);
        f.advance(40 * SECOND);
        double usual = rate(f, 20) / shape.managers();
        f.setPartition(p -> f.hosts().get(p).cell() % 2 == 0, true);
        double least = 1;
        for (long t = 0; t < length; t += 10 * SECOND) {
            f.advance(10 * SECOND);
            least = Math.min(least, f.quotaInForce());
        }
        row.put("cut, min", length / 6e5);
        row.put("bytes a s before", usual);
        row.put("bytes a s while cut", rate(f, 20) / shape.managers());
        row.put("least slices in force while cut", least);
        f.setPartition(p -> false, false);
        double worst = 0;
        long heard = -1;
        for (int s = 1; s <= 60; s++) {
            worst = Math.max(worst, rate(f, 1) / shape.managers());
            boolean all = f.hosts().stream().allMatch(p -> hearsAll(p, f.events().now()));
            heard = heard < 0 && all ? s : heard;
        }
        row.put("worst second after, bytes", worst);
        row.put("all cells heard by all after, s", (double) heard);
        row.put("cells of one view after, part", (double) f.agreedCells() / shape.cellCount());
        return row;
    }

    private static boolean hearsAll(SimulatedCells.ManagerHost p, long now) {
        return p.cellDirectory() == null
                || p.cellDirectory().cells(now).stream()
                        .allMatch(k -> k.state() == CellDirectory.CellState.ACTIVE);
    }

    private static double rate(SimulatedCells f, int seconds) {
        long before = f.bytesByKind().values().stream().mapToLong(b -> b).sum();
        f.advance(seconds * SECOND);
        return (f.bytesByKind().values().stream().mapToLong(b -> b).sum() - before)
                / (double) seconds;
    }

    /** The slope of a figure against the managers, a thousand of them, and its standard error. */
    public static double[] slope(List<Map<String, Double>> rows, String figure) {
        SimpleRegression fit = new SimpleRegression();
        rows.stream()
                .filter(r -> r.containsKey(figure))
                .forEach(r -> fit.addData(r.get("managers") / 1e3, r.get(figure)));
        return new double[] {fit.getSlope(), fit.getSlopeStdErr()};
    }
}
