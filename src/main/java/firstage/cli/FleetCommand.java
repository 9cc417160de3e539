package firstage.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** {@code fleet}: plays a modelled fleet, and compares two choices on it. */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        subcommands = {FleetRunCommand.class, FleetCompareCommand.class},
        description =
                "Plays a modelled fleet in virtual time; docs/operators/fleet.md says how to read"
                        + " it.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:done, or no verdict",
            "2:a file or a choice can't be used",
            "3:a rule broke",
            "10:the left choice is better",
            "11:the right choice is better"
        })
final class FleetCommand implements Callable<Integer> {
    /** The status where a rule of the users broke in a run. */
    static final int RULE_BROKEN_STATUS = 3;

    /** Runs it; the exit code tells the verdict. */
    static int run(String[] args) {
        return CommandRunner.run(new FleetCommand(), "fleet", args);
    }

    @Override
    public Integer call() {
        CommandLine.usage(this, System.err);
        return Main.UNUSABLE_STATUS;
    }
}
