package firstage.app;

import firstage.benchlink.BenchLink;

/** The command line. */
public final class Main {
    private Main() {
    }

    public static void main(String[] args) throws java.io.IOException {
        if (args.length != 1 || !args[0].equals("benchlink")) {
            System.err.println("usage: java -jar firstage.jar benchlink");
            System.exit(2);
        }
        new BenchLink(System.in, System.out, System.err).run();
    }
}
