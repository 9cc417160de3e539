package firstage.app;

import firstage.benchlink.BenchLink;
import java.io.IOException;

/** The command line. */
public final class Main {
    private Main() {
    }

    public static void main(String[] args) throws IOException {
        if (args.length == 1 && args[0].equals("benchlink")) {
            new BenchLink(System.in, System.out, System.err).run();
        } else if (args.length == 1 && args[0].equals("serve")) {
            try {
                Serve.run();
            } catch (IOException | RuntimeException fault) {
                end("can't serve: " + oneLine(fault));
            }
        } else if (args.length == 1 && args[0].equals("rehearse")) {
            try {
                Rehearsal.run();
            } catch (IOException | RuntimeException fault) {
                end("no rehearsal: " + fault.getMessage());
            }
        } else {
            end("usage: java -jar firstage.jar benchlink | serve | rehearse");
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
