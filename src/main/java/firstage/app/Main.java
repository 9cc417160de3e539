package firstage.app;

import firstage.benchlink.BenchLink;
import firstage.net.Assignment;
import firstage.net.Node;
import firstage.setup.MalformedLine;
import java.io.IOException;
import java.nio.file.Path;
import java.util.logging.Logger;
import sun.misc.Signal;

/** The command line. */
public final class Main {
    private static final Logger LOG = Logger.getLogger(Main.class.getName());
    private static final String ASSIGNMENT = "ROUTER_CONFIG";
    private static final Signal HUP = new Signal("HUP");

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
            // By itself a JVM ends on SIGHUP; one that ignores it once can't be told to listen again.
            Signal.handle(HUP, early -> LOG.info("a configuration is being read"));
            Assignment told = Assignment.read(Path.of(file));
            Node node = new Node(told);
            Signal.handle(new Signal("TERM"), signal -> node.close());
            Signal.handle(HUP, signal -> readAnew(node, Path.of(file), told));
            node.start();
        } catch (IOException | RuntimeException fault) {
            end("can't serve: " + String.valueOf(fault.getMessage()).lines().findFirst().orElse(""));
        }
    }

    /** On the signal's own thread. One that can't be read changes nothing: the program serves on as it is. */
    private static void readAnew(Node node, Path file, Assignment first) {
        try {
            Assignment next = Assignment.read(file);
            if (next.name().equals(first.name()) && next.listen().equals(first.listen())) {
                node.told(next);
            } else {
                LOG.warning("the new configuration is another manager's: " + next.name() + " at " + next.listen());
            }
        } catch (IOException | RuntimeException fault) {
            LOG.warning("the new configuration can't be read: " + fault.getMessage());
        }
    }

    private static void end(String why) {
        System.err.println(why);
        System.exit(2);
    }
}
