package firstage.cli;

import firstage.cells.CellDirectory;
import firstage.scale.ScalingSlopes;
import firstage.simulation.InvalidPlanException;
import firstage.simulation.schedule.SimulatedCells.FleetShape;
import firstage.util.Ticks;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code scale slopes}: simulates several sizes of a fleet and fits the growth of the costs. */
@Command(
        name = "slopes",
        mixinStandardHelpOptions = true,
        description =
                "Simulates a fleet's control plane in virtual time at several sizes, and fits how"
                        + " its costs grow.")
final class ScaleSlopesCommand implements Callable<Integer> {
    private static final int MIN_MANAGERS = 2;
    private static final int MAX_MANAGERS = 4_000;
    private static final int MAX_REGION_MINUTES = 1_440;
    private static final long EVALUATION_INTERVAL = Ticks.ofMillis(20);
    private static final long REGION_EVALUATION_INTERVAL = Ticks.ofMillis(40);
    private static final long TICKS_PER_MINUTE = Ticks.ofSeconds(60);

    @Option(
            names = "--sizes",
            split = ",",
            defaultValue = "80,160,320",
            paramLabel = "N",
            description = "numbers of managers, in rising order (${DEFAULT-VALUE})")
    private List<Integer> sizes;

    @Option(
            names = "--cell",
            defaultValue = "40",
            description = "managers in a cell; 0: a fleet without cells" + " (${DEFAULT-VALUE})")
    private int cell;

    @Option(
            names = "--zones",
            defaultValue = "2",
            description = "number of zones, which cells take in turn" + " (${DEFAULT-VALUE})")
    private int zones;

    @Option(names = "--seed", defaultValue = "1", description = "random seed (${DEFAULT-VALUE})")
    private long seed;

    @Option(names = "--deep", description = "simulates a mass restart and a day's restarts, too")
    private boolean deep;

    @Option(
            names = "--bare",
            description =
                    "simulates the membership alone, without the digests of the fleet's decisions")
    private boolean bare;

    @Option(
            names = "--region",
            paramLabel = "MIN",
            description =
                    "simulates only two regions that are cut off from each other for this many"
                            + " minutes")
    private Integer region;

    @Option(
            names = "--heap",
            description = "measures only the heap that the state of a manager takes")
    private boolean heap;

    @Option(names = "--out", paramLabel = "DIR", description = "folder for slopes.csv")
    private Path out;

    @Override
    public Integer call() throws IOException {
        List<Map<String, Double>> rows = new ArrayList<>();
        for (int size : sizes) {
            check(size);
            Map<String, Double> row = simulate(size);
            rows.add(row);
            System.out.println("simulated, " + size + " managers");
            row.forEach(
                    (figure, value) ->
                            System.out.printf(Locale.ROOT, "  %-56s %12.3f%n", figure, value));
        }
        printSlopes(rows);
        if (out != null) {
            Files.createDirectories(out);
            ScaleFigures.writeCsv(out.resolve("slopes.csv"), rows);
        }
        return 0;
    }

    private void check(int size) {
        if (size < MIN_MANAGERS
                || size > MAX_MANAGERS
                || cell < 0
                || cell > 0 && size % cell != 0) {
            throw new InvalidPlanException(
                    "--sizes: "
                            + size
                            + " is invalid; use 2 to 4000, in whole cells of "
                            + cell
                            + " managers");
        }
        if (region != null && (region < 1 || region > MAX_REGION_MINUTES)) {
            throw new InvalidPlanException(
                    "--region " + region + " is out of range; use 1 to 1440 minutes");
        }
    }

    private Map<String, Double> simulate(int size) {
        FleetShape shape =
                new FleetShape(
                        size,
                        cell,
                        zones,
                        1,
                        !bare,
                        region != null ? REGION_EVALUATION_INTERVAL : EVALUATION_INTERVAL,
                        CellDirectory.InjectedDefect.NONE);
        if (heap) {
            return heap(shape);
        }
        return region != null
                ? ScalingSlopes.measureRegionPartition(shape, seed, region * TICKS_PER_MINUTE)
                : ScalingSlopes.measure(shape, seed, deep);
    }

    private Map<String, Double> heap(FleetShape shape) {
        Map<String, Double> row = new LinkedHashMap<>();
        row.put("managers", (double) shape.managers());
        row.put("heap of a manager, KB", ScalingSlopes.heapPerManagerKb(shape, seed));
        return row;
    }

    private static void printSlopes(List<Map<String, Double>> rows) {
        System.out.println("slopes for each further thousand managers, and their standard errors");
        rows.get(0).keySet().stream()
                .skip(1)
                .forEach(
                        figure -> {
                            double[] slope = ScalingSlopes.slope(rows, figure);
                            System.out.printf(
                                    Locale.ROOT,
                                    "  %-56s %12.3f +- %.3f%n",
                                    figure,
                                    slope[0],
                                    slope[1]);
                        });
    }
}
