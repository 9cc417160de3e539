package firstage.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import javax.tools.JavaCompiler;
import javax.tools.ToolProvider;

/**
 * A defect of the program that the soak must find: one source file with one line changed, compiled
 * to a folder that precedes the packaged program on the class path.
 */
enum SeededDefect {
    /** Statements are sent whatever is known about their clients. */
    GUARD_OFF(
            "lifecycle/SendGuard.java",
            "        if (knowledge.clientSettled) {",
            "        if (true) {\n            return Verdict.SEND;\n        }\n"
                    + "        if (knowledge.clientSettled) {"),
    /** The read barrier waits for one selector pass only, so that new connections are not read. */
    KNOWLEDGE_ONE_PASS_OLD(
            "server/ReadBarrier.java", "SELECTOR_PASSES = 2;", "SELECTOR_PASSES = 1;"),
    /**
     * Statements are sent on knowledge of twice the permitted age; a client that got its path and
     * does not poll also counts as present for twice as long.
     */
    GRACE_DOUBLED(
            "lifecycle/SendGuard.java",
            "MAX_KNOWLEDGE_AGE = Ticks.ofMillis(50)",
            "MAX_KNOWLEDGE_AGE = Ticks.ofMillis(2 * 50)"),
    /** Time-outs for lack of input expire before input that arrived during a pause is read. */
    TIMERS_BEFORE_READS(
            "server/ActionGuard.java",
            "            barrier.runAfterPendingReads(\n                    () -> {",
            "            io.execute(\n                    () -> {"),
    /** Input that arrived during a pause counts from the time at which it is read. */
    PAUSES_UNSEEN(
            "lifecycle/PauseDetector.java",
            "return isCatchingUp(now) ? pausedSince : now;",
            "return now;");

    private static final Path SOURCES = Path.of("src", "main", "java", "firstage");

    private final String file;
    private final String original;
    private final String replacement;

    SeededDefect(String file, String original, String replacement) {
        this.file = file;
        this.original = original;
        this.replacement = replacement;
    }

    /** Compiles the defect into a folder; returns the command that starts a manager with it. */
    String serveCommand(Path folder) throws IOException {
        String source = Files.readString(SOURCES.resolve(file));
        if (!source.contains(original)) {
            throw new IOException(
                    this + ": " + file + " no longer contains the line that the defect replaces");
        }
        Path changed = folder.resolve("source").resolve(Path.of(file).getFileName());
        Path classes = folder.resolve("classes");
        Files.createDirectories(changed.getParent());
        Files.createDirectories(classes);
        Files.writeString(changed, source.replace(original, replacement));
        JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
        List<String> arguments =
                List.of(
                        "-XDignore.symbol.file",
                        "-cp",
                        classPath(),
                        "-d",
                        classes.toString(),
                        changed.toString());
        if (compiler.run(null, null, null, arguments.toArray(String[]::new)) != 0) {
            throw new IOException(this + ": the changed source does not compile");
        }
        return FaultSoak.serveCommand()
                .replace(
                        "-jar target/firstage.jar",
                        "-cp "
                                + classes.toAbsolutePath()
                                + ":target/firstage.jar:target/lib/* firstage.cli.Main");
    }

    /** Returns the compiler's class path; the compiler API does not expand wildcards. */
    private static String classPath() throws IOException {
        try (Stream<Path> libraries = Files.list(Path.of("target", "lib"))) {
            return Path.of("target", "classes")
                    + ":"
                    + libraries.map(Path::toString).collect(Collectors.joining(":"));
        }
    }
}
