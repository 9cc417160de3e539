package firstage.cli;

import firstage.scale.HollowWorker;
import firstage.scale.ScalePlan;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** {@code scale hollow}: hosts hollow managers in a process that {@code scale run} starts. */
@Command(
        name = "hollow",
        hidden = true,
        description = "Hosts hollow managers; started by scale run.")
final class ScaleHollowCommand implements Callable<Integer> {
    @Parameters(index = "0")
    private Path file;

    @Parameters(index = "1")
    private int port;

    @Parameters(index = "2")
    private int firstManager;

    /** End of the range of managers, exclusive. */
    @Parameters(index = "3")
    private int endManager;

    @Override
    public Integer call() throws IOException {
        ScalePlan plan = ScaleCommand.readPlan(file, Files.readString(file));
        HollowWorker.run(plan, port, firstManager, endManager);
        return 0;
    }
}
