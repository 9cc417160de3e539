package firstage.cli;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;

/**
 * The command line: the first argument names a sub-command, and each sub-command has a class. Input
 * that can't be used is reported in one line on standard error, with status {@link
 * #INVALID_INPUT_STATUS}.
 */
public final class Main {
    /** Exit status if a file, an option or an argument can't be used. */
    static final int INVALID_INPUT_STATUS = 2;

    private static final String USAGE =
            "usage: java -jar firstage.jar benchlink | serve [--peers FILE] | rehearse |"
                    + " fault-schedule FIRST COUNT [DEFECT] | fleet | fault-test | scale | peers"
                    + " | zones";

    private Main() {}

    /**
     * Runs a sub-command. {@code serve} returns while its threads keep running; tools end the
     * program.
     */
    public static void main(String[] args) throws IOException {
        String command = args.length == 0 ? "" : args[0];
        String[] arguments = args.length == 0 ? args : Arrays.copyOfRange(args, 1, args.length);
        // A switch, not a map of commands, so that a start loads only the class of its own command.
        switch (command) {
            case "serve" -> ServeCommand.run(List.of(arguments));
            case "benchlink" -> {
                requireArguments(arguments, 0, 0);
                BenchCommand.run();
            }
            case "rehearse" -> {
                requireArguments(arguments, 0, 0);
                RehearseCommand.run();
            }
            case "fault-schedule" -> {
                requireArguments(arguments, 2, 3);
                System.exit(FaultScheduleCommand.run(List.of(arguments)));
            }
            case "fleet" -> System.exit(FleetCommand.run(arguments));
            case "fault-test" -> System.exit(FaultTestCommand.run(arguments));
            case "scale" -> System.exit(ScaleCommand.run(arguments));
            case "peers" -> System.exit(PeersCommand.run(arguments));
            case "zones" -> System.exit(ZonesCommand.run(arguments));
            default -> exitWithError(USAGE);
        }
    }

    private static void requireArguments(String[] arguments, int min, int max) {
        if (arguments.length < min || arguments.length > max) {
            exitWithError(USAGE);
        }
    }

    /** Returns the first line of an exception's message. */
    static String firstLineOfMessage(Exception exception) {
        return String.valueOf(exception.getMessage()).lines().findFirst().orElse("");
    }

    /**
     * Prints the reason on standard error and ends the program with {@link #INVALID_INPUT_STATUS}.
     */
    static void exitWithError(String reason) {
        System.err.println(reason);
        System.exit(INVALID_INPUT_STATUS);
    }
}
