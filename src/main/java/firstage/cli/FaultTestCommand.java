package firstage.cli;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import firstage.faulttest.FaultTestRun;
import firstage.faulttest.OrphanedProcesses;
import firstage.simulation.FleetPlan;
import firstage.simulation.FleetPlanReader;
import firstage.simulation.InvalidPlanException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code yard}: plays a plan on real processes of the program, and tells what happened. */
@Command(
        name = "fault-test",
        mixinStandardHelpOptions = true,
        subcommands = {
            FaultTestCommand.Run.class,
            FaultTestCommand.Show.class,
            FaultTestCommand.Plans.class
        },
        description =
                "Starts many processes of the program beside stand-ins, breaks things between them,"
                        + " and judges; docs/operators/fault-tests.md says how to read it.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:kept (or void: nothing proven)",
            "1:a rule broke or an expectation was missed",
            "2:a file or an order can't be used"
        })
final class FaultTestCommand implements Callable<Integer> {
    private static final int FAULT = 2;

    /** Runs it; the exit code tells the verdict. */
    static int run(String[] args) {
        return CommandRunner.run(new FaultTestCommand(), "fault-test", args);
    }

    @Override
    public Integer call() {
        CommandLine.usage(this, System.err);
        return FAULT;
    }

    /** {@code yard run}. */
    @Command(
            name = "run",
            mixinStandardHelpOptions = true,
            description = "Plays a plan and says what came of it.")
    static final class Run implements Callable<Integer> {
        @Parameters(
                index = "0",
                paramLabel = "FILE",
                description = "the plan; deploy/fault-tests has some")
        private Path file;

        @Option(
                names = "--seed",
                defaultValue = "1",
                description = "what chance draws (${DEFAULT-VALUE})")
        private long seed;

        @Option(
                names = "--managers",
                paramLabel = "N",
                description = "another number of managers than the plan's")
        private Integer managers;

        @Option(
                names = "--out",
                paramLabel = "DIR",
                description = "where the record goes (a new folder in target/yard)")
        private Path out;

        @Option(
                names = "--jar",
                defaultValue = "target/firstage.jar",
                description = "the program (${DEFAULT-VALUE})")
        private Path jar;

        @Option(
                names = "--against",
                paramLabel = "JAR",
                description = "plays the same with this jar, too")
        private Path against;

        @Option(names = "--peers", description = "tells the managers of each other")
        private boolean peers;

        @Override
        public Integer call() throws IOException {
            FleetPlan plan = plan();
            OrphanedProcesses.sweep().forEach(line -> System.err.println("fault-test: " + line));
            Path folder =
                    out != null
                            ? out
                            : Path.of(
                                    "target",
                                    "fault-test",
                                    plan.name() + "-" + seed + "-" + ProcessHandle.current().pid());
            FaultTestRun.Result mine = play(plan, folder, jar);
            if (against == null) {
                print(mine, null);
                System.out.println("record: " + folder);
                return code(mine);
            }
            FaultTestRun.Result theirs =
                    play(plan, folder.resolveSibling(folder.getFileName() + "-against"), against);
            print(mine, theirs);
            return code(mine);
        }

        private static int code(FaultTestRun.Result r) {
            return r.verdict().equals("kept") || r.verdict().equals("void") ? 0 : 1;
        }

        private FleetPlan plan() throws IOException {
            if (managers != null && (managers < 1 || managers > 100)) {
                throw new InvalidPlanException(
                        0, "--managers " + managers + " is impossible; 1 to 100 would do");
            }
            try {
                // Numbers in the plan are checked against as many managers as are to be started.
                String text = Files.readString(file);
                FleetPlan plan =
                        FleetPlanReader.read(
                                managers == null
                                        ? text
                                        : text.replaceFirst(
                                                "(?m)(^\\[managers\\][^\\[]*?^count\\s*=\\s*)\\d+",
                                                "$1" + managers));
                FaultTestRun.check(plan);
                if (plan.cells() != null && !peers) {
                    throw new InvalidPlanException(
                            0, " managers.cell: cells are told with the peers; --peers would do");
                }
                return plan;
            } catch (NoSuchFileException fault) {
                throw new InvalidPlanException(
                        0, file + " does not exist; fault-test list names plans");
            } catch (InvalidPlanException fault) {
                throw new InvalidPlanException(0, file + ":" + fault.getMessage());
            }
        }

        private FaultTestRun.Result play(FleetPlan plan, Path folder, Path program)
                throws IOException {
            String run = ServeCommandLine.of(program);
            boolean shows = System.console() != null;
            Files.createDirectories(folder);
            Files.copy(
                    file,
                    folder.resolve("plan.toml"),
                    java.nio.file.StandardCopyOption.REPLACE_EXISTING);
            FaultTestRun.Result result =
                    FaultTestRun.play(
                            new FaultTestRun.Order(
                                    plan,
                                    seed,
                                    folder.toAbsolutePath(),
                                    program.toAbsolutePath(),
                                    run,
                                    peers,
                                    line -> {
                                        if (shows) {
                                            System.err.print("\r" + line + "   ");
                                        }
                                    }));
            if (shows) {
                System.err.println();
            }
            return result;
        }

        private static String first(FaultTestRun.Result r) {
            return switch (r.verdict()) {
                case "void" -> "void: " + r.isVoid();
                case "broken" -> "broken: " + r.broken().get(0);
                case "missed" -> "missed: " + r.missed().get(0);
                default -> "kept";
            };
        }

        private static void print(FaultTestRun.Result mine, FaultTestRun.Result theirs) {
            System.out.println(
                    first(mine) + (theirs == null ? "" : "   |   against: " + first(theirs)));
            Stream.concat(mine.broken().stream(), mine.missed().stream())
                    .skip(mine.verdict().equals("void") ? 0 : 1)
                    .forEach(line -> System.out.println("also: " + line));
            for (Map.Entry<String, Double> f : mine.figures().entrySet()) {
                System.out.printf(
                        Locale.ROOT,
                        "%-28s %10.4f%s%n",
                        f.getKey(),
                        f.getValue(),
                        theirs == null
                                ? ""
                                : String.format(
                                        Locale.ROOT, " %10.4f", theirs.figures().get(f.getKey())));
            }
        }
    }

    /** {@code yard show}. */
    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description =
                    "Prints the story of a batch, an engine, a manager or a moment over all"
                            + " processes.")
    static final class Show implements Callable<Integer> {
        @Parameters(index = "0", paramLabel = "DIR", description = "the record of a run")
        private Path folder;

        @Option(names = "--batch", paramLabel = "ID", description = "events of this batch")
        private String batch;

        @Option(names = "--engine", paramLabel = "N", description = "events at this engine")
        private String engine;

        @Option(names = "--manager", paramLabel = "N", description = "events at this manager")
        private String manager;

        @Option(
                names = "--at",
                paramLabel = "S",
                description = "events within half a second of this second")
        private Double at;

        @Override
        public Integer call() throws IOException {
            Path file = folder.resolve("timeline.jsonl");
            if (!Files.exists(file)) {
                throw new InvalidPlanException(
                        0, file + " does not exist; name the folder that fault-test run printed");
            }
            int shown = 0;
            for (String line : Files.readAllLines(file)) {
                Map<String, String> event = event(line);
                double ms = Double.parseDouble(event.get("ms"));
                boolean fits =
                        (batch == null || batch.equals(event.get("batch")))
                                && (engine == null || engine.equals(event.get("engine")))
                                && (manager == null || manager.equals(event.get("manager")))
                                && (at == null || Math.abs(ms - at * 1_000) <= 500);
                boolean told = batch == null && engine == null && manager == null && at == null;
                if (fits && (!told || !event.containsKey("batch"))) {
                    shown++;
                    event.remove("ms");
                    System.out.printf(
                            Locale.ROOT, "%10.1f ms  %-12s %s%n", ms, event.remove("what"), event);
                }
            }
            if (shown == 0) {
                throw new InvalidPlanException(0, "nothing of that kind in " + file);
            }
            return 0;
        }

        private static Map<String, String> event(String line) throws IOException {
            try (JsonParser in = new JsonFactory().createParser(line)) {
                in.nextToken();
                return CommandRunner.fields(in);
            }
        }
    }

    /** {@code yard list}. */
    @Command(
            name = "list",
            mixinStandardHelpOptions = true,
            description = "Names the plans in deploy/fault-tests.")
    static final class Plans implements Callable<Integer> {
        @Override
        public Integer call() throws IOException {
            Path folder = Path.of("deploy", "fault-tests");
            if (!Files.isDirectory(folder)) {
                throw new InvalidPlanException(
                        0, folder + " does not exist; call it from the program's root");
            }
            List<Path> files = new ArrayList<>();
            try (Stream<Path> all = Files.list(folder)) {
                all.filter(p -> p.toString().endsWith(".toml")).sorted().forEach(files::add);
            }
            for (Path p : files) {
                String first =
                        Files.readAllLines(p).stream()
                                .findFirst()
                                .orElse("")
                                .replaceFirst("^#\\s*", "");
                System.out.printf("%-34s %s%n", p, first);
            }
            return 0;
        }
    }
}
