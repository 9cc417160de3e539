package firstage.cli;

import firstage.scale.ScalePlan;
import firstage.scale.ScaleRun;
import firstage.simulation.InvalidPlanException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code scale run}: runs a plan with hollow and real managers. */
@Command(name = "run", mixinStandardHelpOptions = true, description = "Runs a plan on processes.")
final class ScaleRunCommand implements Callable<Integer> {
    private static final int VOID_STATUS = 1;

    @Parameters(
            index = "0",
            paramLabel = "FILE",
            description = "the plan; deploy/scale contains some")
    private Path file;

    @Option(
            names = "--hollow",
            paramLabel = "N",
            description = "number of hollow managers, if not the plan's")
    private Integer hollow;

    @Option(
            names = "--real",
            paramLabel = "N",
            description = "number of real managers, if not the plan's")
    private Integer real;

    @Option(
            names = "--cell",
            paramLabel = "N",
            description = "managers in a cell; 0: a fleet without cells")
    private Integer cell;

    @Option(
            names = "--engines",
            paramLabel = "N",
            description = "number of engines, if not the plan's")
    private Integer engines;

    @Option(names = "--seed", defaultValue = "1", description = "random seed (${DEFAULT-VALUE})")
    private long seed;

    @Option(
            names = "--out",
            paramLabel = "DIR",
            description = "folder for the figures (a new folder in" + " target/scale)")
    private Path out;

    @Option(
            names = "--jar",
            defaultValue = "target/firstage.jar",
            description = "jar of the program (${DEFAULT-VALUE})")
    private Path jar;

    @Override
    public Integer call() throws IOException {
        String text = planText();
        ScalePlan plan = ScaleCommand.readPlan(file, text);
        ScaleRun.check(plan);
        String command = ServeCommandLine.of(jar);
        Path folder = folder(plan);
        Files.createDirectories(folder);
        Path effectivePlan = Files.writeString(folder.resolve("plan.toml"), text);
        ScaleRun.Result result = runPlan(plan, effectivePlan, folder, command);
        ScaleFigures.writeJson(folder.resolve("figures.json"), result.figures());
        ScaleFigures.writeCsv(folder.resolve("figures.csv"), List.of(result.figures()));
        boolean completed = result.voidReason() == null;
        System.out.println(completed ? "completed" : "void: " + result.voidReason());
        result.figures()
                .forEach(
                        (figure, value) ->
                                System.out.printf(Locale.ROOT, "%-50s %12.3f%n", figure, value));
        System.out.println("figures: " + folder);
        return completed ? 0 : VOID_STATUS;
    }

    /** Returns the text of the plan with the numbers that the options give. */
    private String planText() throws IOException {
        String text;
        try {
            text = Files.readString(file);
        } catch (NoSuchFileException exception) {
            throw new InvalidPlanException(file + " does not exist; deploy/scale contains plans");
        }
        text = withNumber(text, "managers", "hollow", hollow);
        text = withNumber(text, "managers", "real", real);
        text = withNumber(text, "managers", "cell", cell);
        text = withNumber(text, "engines", "count", engines);
        return cell != null && cell == 0 ? withNumber(text, "managers", "spread", 1) : text;
    }

    private static String withNumber(String text, String section, String key, Integer value) {
        return value == null
                ? text
                : text.replaceFirst(
                        "(?m)(^\\[" + section + "\\][^\\[]*?^" + key + "\\s*=\\s*)" + "\\d+",
                        "$1" + value);
    }

    private Path folder(ScalePlan plan) {
        Path folder =
                out != null
                        ? out
                        : Path.of(
                                "target",
                                "scale",
                                plan.name()
                                        + "-"
                                        + plan.managers()
                                        + "-"
                                        + ProcessHandle.current().pid());
        return folder.toAbsolutePath();
    }

    private ScaleRun.Result runPlan(ScalePlan plan, Path effectivePlan, Path folder, String command)
            throws IOException {
        boolean interactive = System.console() != null;
        return ScaleRun.play(
                new ScaleRun.Parameters(
                        plan,
                        effectivePlan,
                        seed,
                        folder,
                        jar.toAbsolutePath(),
                        command,
                        line -> {
                            if (interactive) {
                                System.err.println(line);
                            }
                        }));
    }
}
