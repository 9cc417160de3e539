package firstage.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** {@code fleet}: simulates a fleet, and compares two choices of policy on it. */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        subcommands = {FleetRunCommand.class, FleetCompareCommand.class},
        description =
                "Simulates a fleet in virtual time; docs/operators/fleet.md explains the"
                        + " figures.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:done, or no verdict",
            "2:a file or a choice can't be used",
            "3:a rule was violated",
            "10:the left choice is better",
            "11:the right choice is better"
        })
final class FleetCommand implements Callable<Integer> {
    /** Exit status if a run violated a rule that the simulation checks. */
    static final int RULE_BROKEN_STATUS = 3;

    /** Runs the command and returns the exit code, which indicates the verdict. */
    static int run(String[] args) {
        return CommandRunner.run(new FleetCommand(), "fleet", args);
    }

    @Override
    public Integer call() {
        CommandLine.usage(this, System.err);
        return Main.INVALID_INPUT_STATUS;
    }
}
