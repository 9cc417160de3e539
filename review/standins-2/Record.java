import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes record.txt: a line for each thing that was sent, answered or run, with the time in ms since the start. */
final class Record {
    private final PrintWriter out;
    private final long start = System.nanoTime();

    Record(Path file) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(file));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    synchronized void line(String text) {
        out.printf("%8d %s%n", (System.nanoTime() - start) / 1_000_000, text);
        out.flush();
    }

    /** A line that also goes to the terminal. */
    void say(String text) {
        line(text);
        System.out.println(text);
    }
}
