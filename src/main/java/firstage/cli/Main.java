package firstage.cli;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;

/**
 * The command line: the first argument names a sub-command, and each of them has a class. What
 * can't be used is told in one line on standard error, with status {@link #UNUSABLE_STATUS}.
 */
public final class Main {
    /** The status where a file, an option or an argument can't be used. */
    static final int UNUSABLE_STATUS = 2;

    private static final String USAGE =
            "usage: java -jar firstage.jar benchlink | serve [--peers FILE] | rehearse |"
                    + " fault-schedule FIRST COUNT [FAULT] | fleet | fault-test | scale | peers"
                    + " | zones";

    private Main() {}

    /** Runs a sub-command. {@code serve} returns while its threads go on; tools end the program. */
    public static void main(String[] args) throws IOException {
        String command = args.length == 0 ? "" : args[0];
        String[] arguments = args.length == 0 ? args : Arrays.copyOfRange(args, 1, args.length);
        // A switch, not a map of commands: a start loads the class of its own command only.
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
            default -> exitUnusable(USAGE);
        }
    }

    private static void requireArguments(String[] arguments, int min, int max) {
        if (arguments.length < min || arguments.length > max) {
            exitUnusable(USAGE);
        }
    }

    /** The first line of an exception's message. */
    static String oneLine(Exception fault) {
        return String.valueOf(fault.getMessage()).lines().findFirst().orElse("");
    }

    /** Ends the program, with its reason on standard error. */
    static void exitUnusable(String reason) {
        System.err.println(reason);
        System.exit(UNUSABLE_STATUS);
    }
}
