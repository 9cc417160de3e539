package firstage.cli;

import firstage.scale.ScalePlan;
import firstage.simulation.InvalidPlanException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** {@code scale}: measures what the control plane of a large fleet costs a manager. */
@Command(
        name = "scale",
        mixinStandardHelpOptions = true,
        subcommands = {
            ScaleRunCommand.class,
            ScaleSlopesCommand.class,
            ScaleChoicesCommand.class,
            ScaleHollowCommand.class
        },
        description =
                "Runs hollow managers beside real ones, or simulates a fleet's control plane in"
                        + " virtual time, and reports what it costs; docs/operators/scale.md"
                        + " explains the figures.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:the run was completed",
            "1:void: the machine was too busy",
            "2:a file or an option can't be used, or the machine is too small"
        })
final class ScaleCommand implements Callable<Integer> {
    /** Runs the command and returns the exit code. */
    static int run(String[] args) {
        return CommandRunner.run(new ScaleCommand(), "scale", args);
    }

    @Override
    public Integer call() {
        CommandLine.usage(this, System.err);
        return Main.INVALID_INPUT_STATUS;
    }

    /** Reads a plan; the message of an exception names the file and the line. */
    static ScalePlan readPlan(Path file, String text) {
        try {
            return ScalePlan.read(text);
        } catch (InvalidPlanException exception) {
            throw exception.inFile(file.toString());
        }
    }
}
