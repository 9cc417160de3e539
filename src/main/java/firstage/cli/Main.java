package firstage.cli;

import firstage.bench.BenchAdapter;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;

/** The command line. */
public final class Main {
    private Main() {}

    public static void main(String[] args) throws IOException {
        if (args.length == 1 && args[0].equals("benchlink")) {
            new BenchAdapter(System.in, System.out, System.err).run();
        } else if (args.length >= 1 && args[0].equals("serve")) {
            try {
                ServeCommand.run(List.of(args).subList(1, args.length));
            } catch (IOException | RuntimeException fault) {
                end("can't serve: " + oneLine(fault));
            }
        } else if (args.length == 1 && args[0].equals("rehearse")) {
            try {
                RehearseCommand.run();
            } catch (IOException | RuntimeException fault) {
                end("no rehearsal: " + fault.getMessage());
            }
        } else if (args.length >= 1 && args[0].equals("fleet")) {
            System.exit(FleetCommand.run(Arrays.copyOfRange(args, 1, args.length)));
        } else if (args.length >= 1 && args[0].equals("peers")) {
            System.exit(PeersCommand.run(Arrays.copyOfRange(args, 1, args.length)));
        } else if (args.length >= 1 && args[0].equals("zones")) {
            System.exit(ZonesCommand.run(Arrays.copyOfRange(args, 1, args.length)));
        } else if (args.length >= 1 && args[0].equals("fault-test")) {
            System.exit(FaultTestCommand.run(Arrays.copyOfRange(args, 1, args.length)));
        } else if (args.length >= 1 && args[0].equals("scale")) {
            System.exit(ScaleCommand.run(Arrays.copyOfRange(args, 1, args.length)));
        } else if (args.length >= 3 && args.length <= 4 && args[0].equals("fault-schedule")) {
            try {
                System.exit(FaultScheduleCommand.run(List.of(args).subList(1, args.length)));
            } catch (IllegalArgumentException fault) {
                end("fault-schedule: " + oneLine(fault));
            }
        } else {
            end(
                    "usage: java -jar firstage.jar benchlink | serve [--peers FILE] | rehearse |"
                        + " fault-schedule FIRST COUNT [FAULT] | fleet | fault-test | scale | peers"
                        + " | zones");
        }
    }

    /** The first line of a fault's message. */
    static String oneLine(Exception fault) {
        return String.valueOf(fault.getMessage()).lines().findFirst().orElse("");
    }

    private static void end(String why) {
        System.err.println(why);
        System.exit(2);
    }
}
