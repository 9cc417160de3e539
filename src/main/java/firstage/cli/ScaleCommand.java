package firstage.cli;

import firstage.cells.CellDirectory;
import firstage.scale.DecisionCost;
import firstage.scale.HollowWorker;
import firstage.scale.ScalePlan;
import firstage.scale.ScaleRun;
import firstage.scale.ScalingSlopes;
import firstage.simulation.InvalidPlanException;
import firstage.simulation.schedule.SimulatedCells.Shape;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code scale}: what control costs a manager of a large fleet. */
@Command(
        name = "scale",
        mixinStandardHelpOptions = true,
        subcommands = {
            ScaleCommand.Run.class,
            ScaleCommand.OfSizes.class,
            ScaleCommand.Choices.class,
            ScaleCommand.Host.class
        },
        description =
                "Starts hollow managers beside real ones, or plays a fleet's control in virtual"
                        + " time, and tells what it costs; docs/operators/scale.md says how to read"
                        + " it.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:played",
            "1:void: the machine was too busy",
            "2:a file or an order can't be used, or the machine can't bear it"
        })
final class ScaleCommand implements Callable<Integer> {
    private static final int FAULT = 2;

    static int run(String[] args) {
        return CommandRunner.run(new ScaleCommand(), "scale", args);
    }

    @Override
    public Integer call() {
        CommandLine.usage(this, System.err);
        return FAULT;
    }

    private static ScalePlan read(Path file, String text) {
        try {
            return ScalePlan.read(text);
        } catch (InvalidPlanException fault) {
            throw new InvalidPlanException(0, file + ":" + fault.getMessage());
        }
    }

    private static void csv(Path file, List<Map<String, Double>> rows) throws IOException {
        List<String> names = rows.stream().flatMap(r -> r.keySet().stream()).distinct().toList();
        List<String> lines = new ArrayList<>(List.of("\"" + String.join("\",\"", names) + "\""));
        for (Map<String, Double> r : rows) {
            lines.add(
                    String.join(
                            ",",
                            names.stream()
                                    .map(
                                            n ->
                                                    r.containsKey(n)
                                                            ? String.format(
                                                                    Locale.ROOT, "%.4f", r.get(n))
                                                            : "")
                                    .toList()));
        }
        Files.write(file, lines);
    }

    private static void json(Path file, Map<String, Double> row) throws IOException {
        List<String> lines =
                row.entrySet().stream()
                        .map(
                                e ->
                                        "  \""
                                                + e.getKey()
                                                + "\": "
                                                + String.format(Locale.ROOT, "%.4f", e.getValue()))
                        .toList();
        Files.writeString(file, "{\n" + String.join(",\n", lines) + "\n}\n");
    }

    /** {@code scale run}. */
    @Command(
            name = "run",
            mixinStandardHelpOptions = true,
            description = "Plays a plan on processes.")
    static final class Run implements Callable<Integer> {
        @Parameters(
                index = "0",
                paramLabel = "FILE",
                description = "the plan; deploy/scale has some")
        private Path file;

        @Option(
                names = "--hollow",
                paramLabel = "N",
                description = "another number of hollow managers")
        private Integer hollow;

        @Option(names = "--real", paramLabel = "N", description = "another number of real ones")
        private Integer real;

        @Option(
                names = "--cell",
                paramLabel = "N",
                description = "managers in a cell; 0: the fleet is one")
        private Integer cell;

        @Option(names = "--engines", paramLabel = "N", description = "another number of engines")
        private Integer engines;

        @Option(
                names = "--seed",
                defaultValue = "1",
                description = "what chance draws (${DEFAULT-VALUE})")
        private long seed;

        @Option(
                names = "--out",
                paramLabel = "DIR",
                description = "where the figures go (a new folder in" + " target/scale)")
        private Path out;

        @Option(
                names = "--jar",
                defaultValue = "target/firstage.jar",
                description = "the program (${DEFAULT-VALUE})")
        private Path jar;

        private static String with(String text, String section, String key, Integer value) {
            return value == null
                    ? text
                    : text.replaceFirst(
                            "(?m)(^\\[" + section + "\\][^\\[]*?^" + key + "\\s*=\\s*)" + "\\d+",
                            "$1" + value);
        }

        @Override
        public Integer call() throws IOException {
            String text;
            try {
                text = Files.readString(file);
            } catch (NoSuchFileException fault) {
                throw new InvalidPlanException(0, file + " does not exist; deploy/scale has plans");
            }
            text =
                    with(
                            with(
                                    with(
                                            with(text, "managers", "hollow", hollow),
                                            "managers",
                                            "real",
                                            real),
                                    "managers",
                                    "cell",
                                    cell),
                            "engines",
                            "count",
                            engines);
            if (cell != null && cell == 0) {
                text = with(text, "managers", "spread", 1);
            }
            ScalePlan plan = read(file, text);
            ScaleRun.check(plan);
            String command = ServeCommandLine.of(jar);
            Path folder =
                    (out != null
                                    ? out
                                    : Path.of(
                                            "target",
                                            "scale",
                                            plan.name()
                                                    + "-"
                                                    + plan.managers()
                                                    + "-"
                                                    + ProcessHandle.current().pid()))
                            .toAbsolutePath();
            Files.createDirectories(folder);
            Path inForce = Files.writeString(folder.resolve("plan.toml"), text);
            boolean shows = System.console() != null;
            ScaleRun.Result result =
                    ScaleRun.play(
                            new ScaleRun.Order(
                                    plan,
                                    inForce,
                                    seed,
                                    folder,
                                    jar.toAbsolutePath(),
                                    command,
                                    line -> {
                                        if (shows) {
                                            System.err.println(line);
                                        }
                                    }));
            json(folder.resolve("figures.json"), result.figures());
            csv(folder.resolve("figures.csv"), List.of(result.figures()));
            System.out.println(result.isVoid() == null ? "played" : "void: " + result.isVoid());
            result.figures()
                    .forEach((n, v) -> System.out.printf(Locale.ROOT, "%-50s %12.3f%n", n, v));
            System.out.println("figures: " + folder);
            return result.isVoid() == null ? 0 : 1;
        }
    }

    /** {@code scale slopes}. */
    @Command(
            name = "slopes",
            mixinStandardHelpOptions = true,
            description =
                    "Plays a fleet's control in virtual time at several sizes, and fits what"
                            + " grows.")
    static final class OfSizes implements Callable<Integer> {
        @Option(
                names = "--sizes",
                split = ",",
                defaultValue = "80,160,320",
                paramLabel = "N",
                description = "managers, rising (${DEFAULT-VALUE})")
        private List<Integer> sizes;

        @Option(
                names = "--cell",
                defaultValue = "40",
                description = "managers in a cell; 0: the fleet is one" + " (${DEFAULT-VALUE})")
        private int cell;

        @Option(
                names = "--zones",
                defaultValue = "2",
                description = "zones in which cells lie by turns" + " (${DEFAULT-VALUE})")
        private int zones;

        @Option(
                names = "--seed",
                defaultValue = "1",
                description = "what chance draws (${DEFAULT-VALUE})")
        private long seed;

        @Option(names = "--deep", description = "a mass restart and a day's restarts, too")
        private boolean deep;

        @Option(
                names = "--bare",
                description = "the membership alone, without the words of the rooms above")
        private boolean bare;

        @Option(
                names = "--region",
                paramLabel = "MIN",
                description =
                        "plays two regions that lose each other for so many minutes, and nothing"
                                + " else")
        private Integer region;

        @Option(
                names = "--heap",
                description = "what a manager's state takes of the heap, and nothing else")
        private boolean heap;

        @Option(names = "--out", paramLabel = "DIR", description = "slopes.csv goes there")
        private Path out;

        private Map<String, Double> heap(Shape shape) {
            Map<String, Double> row = new LinkedHashMap<>();
            row.put("managers", (double) shape.managers());
            row.put("heap of a manager, KB", ScalingSlopes.heap(shape, seed));
            return row;
        }

        @Override
        public Integer call() throws IOException {
            List<Map<String, Double>> rows = new ArrayList<>();
            for (int size : sizes) {
                if (size < 2 || size > 4_000 || cell < 0 || cell > 0 && size % cell != 0) {
                    throw new InvalidPlanException(
                            0,
                            "--sizes: "
                                    + size
                                    + " is impossible; up to 4000, whole cells of "
                                    + cell
                                    + ", would do");
                }
                if (region != null && (region < 1 || region > 1_440)) {
                    throw new InvalidPlanException(
                            0, "--region " + region + " is impossible; 1 to 1440 minutes would do");
                }
                Shape shape =
                        new Shape(
                                size,
                                cell,
                                zones,
                                1,
                                !bare,
                                region != null ? 400 : 200,
                                CellDirectory.InjectedDefect.NONE);
                rows.add(
                        heap
                                ? heap(shape)
                                : region != null
                                        ? ScalingSlopes.region(shape, seed, region * 600_000L)
                                        : ScalingSlopes.play(shape, seed, deep));
                System.out.println("simulated, " + size + " managers");
                rows.get(rows.size() - 1)
                        .forEach(
                                (n, v) -> System.out.printf(Locale.ROOT, "  %-56s %12.3f%n", n, v));
            }
            System.out.println("slopes, for a thousand managers more, and their standard error");
            rows.get(0).keySet().stream()
                    .skip(1)
                    .forEach(
                            n -> {
                                double[] slope = ScalingSlopes.slope(rows, n);
                                System.out.printf(
                                        Locale.ROOT,
                                        "  %-56s %12.3f +- %.3f%n",
                                        n,
                                        slope[0],
                                        slope[1]);
                            });
            if (out != null) {
                Files.createDirectories(out);
                csv(out.resolve("slopes.csv"), rows);
            }
            return 0;
        }
    }

    /** {@code scale choices}. */
    @Command(
            name = "choices",
            mixinStandardHelpOptions = true,
            description =
                    "Tells what the decisions cost a batch by how many engines a manager knows.")
    static final class Choices implements Callable<Integer> {
        @Option(
                names = "--engines",
                split = ",",
                defaultValue = "43,264,430,4300",
                paramLabel = "N",
                description = "engines known (${DEFAULT-VALUE})")
        private List<Integer> engines;

        @Option(
                names = "--managers",
                defaultValue = "160",
                paramLabel = "N",
                description = "over whom an engine is shared (${DEFAULT-VALUE})")
        private int managers;

        @Override
        public Integer call() {
            for (int n : engines) {
                if (n < 1 || n > 10_000 || managers < 1 || managers > 10_000) {
                    throw new InvalidPlanException(
                            0,
                            "--engines "
                                    + n
                                    + ", --managers "
                                    + managers
                                    + ": one is impossible; 1 to 10000 would do");
                }
                System.out.println(DecisionCost.play(n, managers));
            }
            return 0;
        }
    }

    /** {@code scale hollow}: what {@code run} starts. */
    @Command(
            name = "hollow",
            hidden = true,
            description = "Hosts hollow managers; started by scale run.")
    static final class Host implements Callable<Integer> {
        @Parameters(index = "0")
        private Path file;

        @Parameters(index = "1")
        private int port;

        @Parameters(index = "2")
        private int from;

        @Parameters(index = "3")
        private int to;

        @Override
        public Integer call() throws IOException {
            HollowWorker.run(read(file, Files.readString(file)), port, from, to);
            return 0;
        }
    }
}
