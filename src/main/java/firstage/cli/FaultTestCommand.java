package firstage.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** {@code fault-test}: runs a plan on real processes of the program and evaluates the outcome. */
@Command(
        name = "fault-test",
        mixinStandardHelpOptions = true,
        subcommands = {
            FaultTestRunCommand.class,
            FaultTestShowCommand.class,
            FaultTestListCommand.class
        },
        description =
                "Runs many processes of the program with emulated engines and clients, injects"
                        + " faults between them and evaluates the outcome;"
                        + " docs/operators/fault-tests.md explains the results.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:kept (or void: the run proves nothing)",
            "1:a rule was violated or an expectation was not met",
            "2:a file or an option can't be used"
        })
final class FaultTestCommand implements Callable<Integer> {
    /** Runs the command and returns the exit code, which indicates the verdict. */
    static int run(String[] args) {
        return CommandRunner.run(new FaultTestCommand(), "fault-test", args);
    }

    @Override
    public Integer call() {
        CommandLine.usage(this, System.err);
        return Main.INVALID_INPUT_STATUS;
    }
}
