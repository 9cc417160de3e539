package firstage.cli;

import firstage.faulttest.FaultTestResult;
import firstage.faulttest.FaultTestRun;
import firstage.faulttest.FaultTestSpec;
import firstage.faulttest.OrphanedProcesses;
import firstage.simulation.FleetPlan;
import firstage.simulation.FleetPlanReader;
import firstage.simulation.InvalidPlanException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code fault-test run}: runs a plan and prints the verdict. */
@Command(
        name = "run",
        mixinStandardHelpOptions = true,
        description = "Runs a plan and prints its verdict and figures.")
final class FaultTestRunCommand implements Callable<Integer> {
    private static final String KEPT = "kept";
    private static final String VOID = "void";
    private static final int BROKEN_STATUS = 1;
    private static final int MAX_MANAGERS = 100;

    @Parameters(
            index = "0",
            paramLabel = "FILE",
            description = "the plan; deploy/fault-tests contains some")
    private Path file;

    @Option(names = "--seed", defaultValue = "1", description = "random seed (${DEFAULT-VALUE})")
    private long seed;

    @Option(
            names = "--managers",
            paramLabel = "N",
            description = "number of managers, in place of the plan's")
    private Integer managers;

    @Option(
            names = "--out",
            paramLabel = "DIR",
            description = "folder for the records (a new folder in target/fault-test)")
    private Path out;

    @Option(
            names = "--jar",
            defaultValue = "target/firstage.jar",
            description = "jar of the program (${DEFAULT-VALUE})")
    private Path jar;

    @Option(
            names = "--against",
            paramLabel = "JAR",
            description = "runs the plan with this jar, too, for comparison")
    private Path against;

    @Option(
            names = "--peers",
            description = "starts the managers with peers files, so that they form a membership")
    private boolean peers;

    @Override
    public Integer call() throws IOException {
        FleetPlan plan = readPlan();
        OrphanedProcesses.endAll().forEach(line -> System.err.println("fault-test: " + line));
        Path folder = out != null ? out : newFolder(plan);
        FaultTestResult result = runPlan(plan, folder, jar);
        if (against == null) {
            print(result, Optional.empty());
            System.out.println("record: " + folder);
        } else {
            Path folderAgainst = folder.resolveSibling(folder.getFileName() + "-against");
            print(result, Optional.of(runPlan(plan, folderAgainst, against)));
        }
        return exitCode(result);
    }

    private Path newFolder(FleetPlan plan) {
        long process = ProcessHandle.current().pid();
        return Path.of("target", "fault-test", plan.name() + "-" + seed + "-" + process);
    }

    private static int exitCode(FaultTestResult result) {
        return result.verdict().equals(KEPT) || result.verdict().equals(VOID) ? 0 : BROKEN_STATUS;
    }

    private FleetPlan readPlan() throws IOException {
        if (managers != null && (managers < 1 || managers > MAX_MANAGERS)) {
            throw new InvalidPlanException(
                    "--managers " + managers + " is out of range; use 1 to 100");
        }
        try {
            FleetPlan plan = FleetPlanReader.read(planText());
            FaultTestRun.check(plan);
            if (plan.cellPlan() != null && !peers) {
                throw new InvalidPlanException(
                        " managers.cell: cells are configured in the peers files; add --peers");
            }
            return plan;
        } catch (NoSuchFileException exception) {
            throw new InvalidPlanException(
                    file + " does not exist; fault-test list prints the plans");
        } catch (InvalidPlanException exception) {
            throw exception.inFile(file.toString());
        }
    }

    /**
     * Returns the text of the plan with the number of managers from the options, if any, so that
     * the other numbers in the plan are checked against it.
     */
    private String planText() throws IOException {
        String text = Files.readString(file);
        return managers == null
                ? text
                : text.replaceFirst(
                        "(?m)(^\\[managers\\][^\\[]*?^count\\s*=\\s*)\\d+", "$1" + managers);
    }

    private FaultTestResult runPlan(FleetPlan plan, Path folder, Path program) throws IOException {
        String command = ServeCommandLine.of(program);
        boolean interactive = System.console() != null;
        Files.createDirectories(folder);
        Files.copy(file, folder.resolve("plan.toml"), StandardCopyOption.REPLACE_EXISTING);
        FaultTestResult result =
                FaultTestRun.play(
                        new FaultTestSpec(
                                plan,
                                seed,
                                folder.toAbsolutePath(),
                                program.toAbsolutePath(),
                                command,
                                peers,
                                line -> {
                                    if (interactive) {
                                        System.err.print("\r" + line + "   ");
                                    }
                                }));
        if (interactive) {
            System.err.println();
        }
        return result;
    }

    private static String firstLine(FaultTestResult result) {
        return switch (result.verdict()) {
            case VOID -> "void: " + result.voidReason().orElse("");
            case "broken" -> "broken: " + result.violations().get(0);
            case "missed" -> "missed: " + result.missedExpectations().get(0);
            default -> KEPT;
        };
    }

    private static void print(FaultTestResult result, Optional<FaultTestResult> against) {
        System.out.println(
                firstLine(result)
                        + against.map(other -> "   |   against: " + firstLine(other)).orElse(""));
        Stream.concat(result.violations().stream(), result.missedExpectations().stream())
                .skip(result.verdict().equals(VOID) ? 0 : 1)
                .forEach(line -> System.out.println("also: " + line));
        result.figures()
                .forEach(
                        (name, value) ->
                                System.out.printf(
                                        Locale.ROOT,
                                        "%-28s %10.4f%s%n",
                                        name,
                                        value,
                                        against.map(other -> figure(other, name)).orElse("")));
    }

    private static String figure(FaultTestResult result, String name) {
        return String.format(Locale.ROOT, " %10.4f", result.figures().get(name));
    }
}
