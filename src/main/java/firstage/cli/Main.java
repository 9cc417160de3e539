package firstage.cli;

import firstage.bench.BenchLink;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;

/** The command line. */
public final class Main {
    private Main() {}

    public static void main(String[] args) throws IOException {
        if (args.length == 1 && args[0].equals("benchlink")) {
            new BenchLink(System.in, System.out, System.err).run();
        } else if (args.length >= 1 && args[0].equals("serve")) {
            try {
                Serve.run(List.of(args).subList(1, args.length));
            } catch (IOException | RuntimeException fault) {
                end("can't serve: " + oneLine(fault));
            }
        } else if (args.length == 1 && args[0].equals("rehearse")) {
            try {
                Rehearsal.run();
            } catch (IOException | RuntimeException fault) {
                end("no rehearsal: " + fault.getMessage());
            }
        } else if (args.length >= 1 && args[0].equals("fleet")) {
            System.exit(Fleet.run(Arrays.copyOfRange(args, 1, args.length)));
        } else if (args.length >= 1 && args[0].equals("peers")) {
            System.exit(PeersView.run(Arrays.copyOfRange(args, 1, args.length)));
        } else if (args.length >= 1 && args[0].equals("zones")) {
            System.exit(ZonesOrder.run(Arrays.copyOfRange(args, 1, args.length)));
        } else if (args.length >= 1 && args[0].equals("yard")) {
            System.exit(Yard.run(Arrays.copyOfRange(args, 1, args.length)));
        } else if (args.length >= 1 && args[0].equals("scale")) {
            System.exit(Scale.run(Arrays.copyOfRange(args, 1, args.length)));
        } else if (args.length >= 3 && args.length <= 4 && args[0].equals("hostile")) {
            try {
                System.exit(Hostile.run(List.of(args).subList(1, args.length)));
            } catch (IllegalArgumentException fault) {
                end("hostile: " + oneLine(fault));
            }
        } else {
            end(
                    "usage: java -jar firstage.jar benchlink | serve [--peers FILE] | rehearse |"
                        + " hostile FIRST COUNT [FAULT] | fleet | yard | scale | peers | zones");
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
