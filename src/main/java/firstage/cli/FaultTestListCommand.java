package firstage.cli;

import firstage.simulation.InvalidPlanException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import picocli.CommandLine.Command;

/** {@code fault-test list}: lists the plans that come with the program. */
@Command(
        name = "list",
        mixinStandardHelpOptions = true,
        description = "Lists the plans in deploy/fault-tests.")
final class FaultTestListCommand implements Callable<Integer> {
    @Override
    public Integer call() throws IOException {
        Path folder = Path.of("deploy", "fault-tests");
        if (!Files.isDirectory(folder)) {
            throw new InvalidPlanException(
                    folder + " does not exist; run the command in the program's root folder");
        }
        List<Path> plans = new ArrayList<>();
        try (Stream<Path> files = Files.list(folder)) {
            files.filter(file -> file.toString().endsWith(".toml")).sorted().forEach(plans::add);
        }
        for (Path plan : plans) {
            System.out.printf("%-34s %s%n", plan, purpose(plan));
        }
        return 0;
    }

    /** Returns the comment in the first line of a plan. */
    private static String purpose(Path plan) throws IOException {
        String firstLine = Files.readAllLines(plan).stream().findFirst().orElse("");
        return firstLine.replaceFirst("^#\\s*", "");
    }
}
