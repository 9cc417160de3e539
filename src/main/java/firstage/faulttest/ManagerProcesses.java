package firstage.faulttest;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * The processes of the program: started, signalled, ended by id, also when the tool itself is
 * interrupted.
 */
public final class ManagerProcesses implements AutoCloseable {
    private static final int READY_MS = 20_000;
    private static final int LAST_LINES = 8;
    private final List<Process> processes = new ArrayList<>();
    private final List<Integer> lives = new ArrayList<>();
    private final Path folder;
    private final Path held;
    private final List<String> command;
    private final Thread hook = new Thread(this::endAll, "end of the yard");

    /** {@code command}: what starts a manager; its configuration is named by the environment. */
    public ManagerProcesses(Path folder, Path held, List<String> command, int count) {
        this.folder = folder;
        this.held = held;
        this.command = command;
        for (int m = 0; m < count; m++) {
            processes.add(null);
            lives.add(0);
        }
        Runtime.getRuntime().addShutdownHook(hook);
    }

    /**
     * {@code run} of the deploy file, with another jar; without {@code exec}, as no shell stands
     * between.
     */
    public static List<String> command(String run, Path jar) {
        List<String> words =
                new ArrayList<>(Arrays.asList(run.replaceFirst("^exec ", "").trim().split("\\s+")));
        for (int i = 0; i < words.size(); i++) {
            if (words.get(i).equals("target/firstage.jar")) {
                words.set(i, jar.toString());
            }
            if (words.get(i).startsWith("-XX:SharedArchiveFile=")) {
                words.set(i, "-XX:SharedArchiveFile=" + jar.resolveSibling("firstage.jsa"));
            }
        }
        return words;
    }

    public static Path config(Path folder, int m) {
        return folder.resolve("m" + m + ".json");
    }

    public static Path peers(Path folder, int m) {
        return folder.resolve("m" + m + ".peers.toml");
    }

    /** Where yards note whom they started. */
    public static Path notes() {
        return Path.of(System.getProperty("java.io.tmpdir"), "firstage-yards");
    }

    public void start(int m, boolean peers) throws IOException {
        Files.createDirectories(log(m).getParent());
        List<String> words = new ArrayList<>(command);
        if (peers) {
            words.addAll(List.of("--peers", peers(folder, m).toString()));
        }
        ProcessBuilder builder = new ProcessBuilder(words);
        builder.environment().put("ROUTER_CONFIG", config(folder, m).toString());
        processes.set(
                m,
                builder.redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(log(m).toFile()))
                        .start());
        lives.set(m, lives.get(m) + 1);
        note();
    }

    /** Who is to be ended, for a yard that finds this one killed. */
    private synchronized void note() throws IOException {
        List<String> lines = new ArrayList<>();
        lines.add(
                String.valueOf(ProcessHandle.current().pid())
                        + " "
                        + started(ProcessHandle.current()));
        for (Process p : processes) {
            if (p != null && p.isAlive()) {
                lines.add(p.pid() + " " + started(p.toHandle()));
            }
        }
        Files.createDirectories(held.getParent());
        Files.write(held, lines);
    }

    private static long started(ProcessHandle p) {
        return p.info().startInstant().map(Instant::toEpochMilli).orElse(0L);
    }

    /**
     * Ends what yards that were killed left behind, and says so; ids that are somebody else's now
     * are left alone.
     */
    static List<String> sweep(Path notes) throws IOException {
        List<String> found = new ArrayList<>();
        if (!Files.isDirectory(notes)) {
            return found;
        }
        List<Path> all;
        try (var listed = Files.list(notes)) {
            all = listed.filter(p -> p.getFileName().toString().endsWith(".held")).toList();
        }
        for (Path each : all) {
            List<ProcessHandle> alive =
                    Files.readAllLines(each).stream()
                            .map(ManagerProcesses::find)
                            .flatMap(Optional::stream)
                            .toList();
            List<String> lines = Files.readAllLines(each);
            if (!lines.isEmpty() && find(lines.get(0)).isPresent()) {
                continue;
            }
            for (ProcessHandle p : alive) {
                found.add("ended process " + p.pid() + ", left by a yard that was killed");
                p.destroyForcibly();
            }
            Files.deleteIfExists(each);
        }
        return found;
    }

    private static Optional<ProcessHandle> find(String line) {
        String[] words = line.split(" ");
        return ProcessHandle.of(Long.parseLong(words[0]))
                .filter(p -> p.isAlive() && started(p) == Long.parseLong(words[1]));
    }

    /** Waits until it serves; the message of the exception has its last words. */
    public void awaitReady(int m, InetSocketAddress at) throws IOException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_MS);
        while (true) {
            if (!processes.get(m).isAlive()) {
                throw new IOException(
                        "manager "
                                + m
                                + " ended at its start with "
                                + processes.get(m).exitValue()
                                + ": "
                                + lastWords(m));
            }
            if (isReady(at)) {
                return;
            }
            if (System.nanoTime() > until) {
                throw new IOException(
                        "manager "
                                + m
                                + " did not serve within "
                                + READY_MS
                                + " ms: "
                                + lastWords(m));
            }
            pause(20);
        }
    }

    static boolean isReady(InetSocketAddress at) {
        try {
            HttpURLConnection c =
                    (HttpURLConnection)
                            URI.create("http://" + LoopbackAddresses.text(at) + "/alive")
                                    .toURL()
                                    .openConnection();
            c.setConnectTimeout(200);
            c.setReadTimeout(500);
            boolean ready = c.getResponseCode() == 200;
            c.disconnect();
            return ready;
        } catch (IOException notYet) {
            return false;
        }
    }

    private String lastWords(int m) throws IOException {
        List<String> lines = Files.exists(log(m)) ? Files.readAllLines(log(m)) : List.of();
        return lines.isEmpty()
                ? "it said nothing"
                : String.join(
                        " | ", lines.subList(Math.max(0, lines.size() - LAST_LINES), lines.size()));
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException fault) {
            Thread.currentThread().interrupt();
        }
    }

    boolean lives(int m) {
        return processes.get(m) != null && processes.get(m).isAlive();
    }

    /** How often it was started. */
    int life(int m) {
        return lives.get(m);
    }

    void kill(int m) {
        processes.get(m).destroyForcibly();
    }

    /** KILL aside: TERM, HUP, STOP, CONT. */
    public void signal(int m, String name) throws IOException {
        if (lives(m)) {
            new ProcessBuilder("kill", "-" + name, String.valueOf(processes.get(m).pid())).start();
        }
    }

    /** Ends by itself within this, or not. */
    public boolean awaitEnd(int m, long ms) {
        try {
            return processes.get(m).waitFor(ms, TimeUnit.MILLISECONDS);
        } catch (InterruptedException fault) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    int exit(int m) {
        return processes.get(m).exitValue();
    }

    /** The process of a manager's present life. */
    public ProcessHandle handle(int m) {
        return processes.get(m).toHandle();
    }

    /** Where a manager's words go. */
    public Path log(int m) {
        return folder.resolve("logs").resolve("m" + m + ".log");
    }

    /** Processor time used by each life that runs, s; 0 where it is not told. */
    double processorSeconds(int m) {
        return lives(m)
                ? processes
                        .get(m)
                        .toHandle()
                        .info()
                        .totalCpuDuration()
                        .map(d -> d.toMillis() / 1e3)
                        .orElse(0.0)
                : 0;
    }

    private void endAll() {
        processes.stream().filter(p -> p != null).forEach(Process::destroyForcibly);
        try {
            Files.deleteIfExists(held);
        } catch (IOException left) {
            // The next yard finds the ids of nobody.
        }
    }

    @Override
    public void close() {
        endAll();
        Runtime.getRuntime().removeShutdownHook(hook);
    }
}
