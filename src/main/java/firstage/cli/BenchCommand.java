package firstage.cli;

import firstage.bench.BenchAdapter;
import java.io.IOException;

/** {@code benchlink}: runs the adapter to the users' simulator over standard input and output. */
final class BenchCommand {
    private BenchCommand() {}

    /** Runs until the input ends. */
    static void run() throws IOException {
        new BenchAdapter(System.in, System.out, System.err).run();
    }
}
