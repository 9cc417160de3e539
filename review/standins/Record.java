import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, one line each: ms since the start, then the event. */
final class Record {
    private final PrintWriter out;
    private final long start = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    long ms() {
        return (System.nanoTime() - start) / 1_000_000;
    }

    synchronized void line(String text) {
        out.println(ms() + " " + text);
    }

    /** Writes a line to the record and to the standard output. */
    synchronized void say(String text) {
        line(text);
        System.out.println(text);
        out.flush();
    }
}
