package firstage.app;

import firstage.benchlink.BenchLink;
import firstage.net.Assignment;
import firstage.net.Node;
import firstage.setup.MalformedLine;
import java.io.IOException;
import java.nio.file.Path;
import sun.misc.Signal;

/** The command line. */
public final class Main {
    private static final String ASSIGNMENT = "ROUTER_CONFIG";

    private Main() {
    }

    public static void main(String[] args) throws IOException {
        if (args.length == 1 && args[0].equals("benchlink")) {
            new BenchLink(System.in, System.out, System.err).run();
        } else if (args.length == 1 && args[0].equals("serve")) {
            serve(System.getenv(ASSIGNMENT));
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

    private static void serve(String file) {
        try {
            if (file == null) {
                throw new MalformedLine("no configuration: " + ASSIGNMENT + " is not set");
            }
            Node node = new Node(Assignment.read(Path.of(file)));
            Signal.handle(new Signal("TERM"), signal -> node.close());
            node.start();
        } catch (IOException | RuntimeException fault) {
            end("can't serve: " + String.valueOf(fault.getMessage()).lines().findFirst().orElse(""));
        }
    }

    private static void end(String why) {
        System.err.println(why);
        System.exit(2);
    }
}
