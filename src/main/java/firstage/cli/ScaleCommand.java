package firstage.cli;

import firstage.scale.ScalePlan;
import firstage.simulation.InvalidPlanException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** {@code scale}: what control costs a manager of a large fleet. */
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
    /** Runs it; the exit code tells what became of it. */
    static int run(String[] args) {
        return CommandRunner.run(new ScaleCommand(), "scale", args);
    }

    @Override
    public Integer call() {
        CommandLine.usage(this, System.err);
        return Main.UNUSABLE_STATUS;
    }

    /** Reads a plan; the message of the exception names the file and the line. */
    static ScalePlan readPlan(Path file, String text) {
        try {
            return ScalePlan.read(text);
        } catch (InvalidPlanException fault) {
            throw fault.inFile(file.toString());
        }
    }
}
