package firstage.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** {@code fault-test}: plays a plan on real processes of the program, and tells what happened. */
@Command(
        name = "fault-test",
        mixinStandardHelpOptions = true,
        subcommands = {
            FaultTestRunCommand.class,
            FaultTestShowCommand.class,
            FaultTestListCommand.class
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
    /** Runs it; the exit code tells the verdict. */
    static int run(String[] args) {
        return CommandRunner.run(new FaultTestCommand(), "fault-test", args);
    }

    @Override
    public Integer call() {
        CommandLine.usage(this, System.err);
        return Main.UNUSABLE_STATUS;
    }
}
