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
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;

/**
 * The managers' processes: starts, signals and ends them by process id. A shutdown hook ends them
 * when the tool itself is interrupted.
 */
public final class ManagerProcesses implements AutoCloseable {
    private static final int READY_TIMEOUT_MS = 20_000;
    private static final int LOG_LINES_SHOWN = 8;
    private final List<Process> processes = new ArrayList<>();
    private final List<Integer> incarnations = new ArrayList<>();
    private final Path folder;
    private final Path processListFile;
    private final List<String> command;
    private final IntFunction<Map<String, String>> environment;
    private final Thread shutdownHook = new Thread(this::endAll, "fault-test shutdown");

    /**
     * Creates {@code count} managers without starting them.
     *
     * @param command command line that starts a manager; the environment variable {@code
     *     ROUTER_CONFIG} names the manager's configuration file
     */
    public ManagerProcesses(Path folder, Path processListFile, List<String> command, int count) {
        this(folder, processListFile, command, count, manager -> Map.of());
    }

    /**
     * Creates {@code count} managers without starting them.
     *
     * @param environment returns additional environment variables by manager
     */
    ManagerProcesses(
            Path folder,
            Path processListFile,
            List<String> command,
            int count,
            IntFunction<Map<String, String>> environment) {
        this.environment = environment;
        this.folder = folder;
        this.processListFile = processListFile;
        this.command = command;
        for (int manager = 0; manager < count; manager++) {
            processes.add(null);
            incarnations.add(0);
        }
        Runtime.getRuntime().addShutdownHook(shutdownHook);
    }

    /**
     * Returns the words of the deployment's command line with another jar, and without {@code
     * exec}, as no shell runs it.
     */
    public static List<String> command(String commandLine, Path jar) {
        List<String> words =
                new ArrayList<>(
                        Arrays.asList(commandLine.replaceFirst("^exec ", "").trim().split("\\s+")));
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

    public static Path configFile(Path folder, int manager) {
        return folder.resolve("m" + manager + ".json");
    }

    public static Path peersFile(Path folder, int manager) {
        return folder.resolve("m" + manager + ".peers.toml");
    }

    /** Returns the folder where runs list the processes that they started. */
    public static Path processListFolder() {
        return Path.of(System.getProperty("java.io.tmpdir"), "firstage-yards");
    }

    public void start(int manager, boolean peers) throws IOException {
        Files.createDirectories(logFile(manager).getParent());
        List<String> words = new ArrayList<>(command);
        if (peers) {
            words.addAll(List.of("--peers", peersFile(folder, manager).toString()));
        }
        ProcessBuilder builder = new ProcessBuilder(words);
        builder.environment().put("ROUTER_CONFIG", configFile(folder, manager).toString());
        builder.environment().putAll(environment.apply(manager));
        processes.set(
                manager,
                builder.redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile(manager).toFile()))
                        .start());
        incarnations.set(manager, incarnations.get(manager) + 1);
        writeProcessList();
    }

    /** Lists the live processes, so that a later run can end them if this run is killed. */
    private synchronized void writeProcessList() throws IOException {
        List<String> lines = new ArrayList<>();
        lines.add(
                String.valueOf(ProcessHandle.current().pid())
                        + " "
                        + startTimeMs(ProcessHandle.current()));
        for (Process process : processes) {
            if (process != null && process.isAlive()) {
                lines.add(process.pid() + " " + startTimeMs(process.toHandle()));
            }
        }
        Files.createDirectories(processListFile.getParent());
        Files.write(processListFile, lines);
    }

    private static long startTimeMs(ProcessHandle process) {
        return process.info().startInstant().map(Instant::toEpochMilli).orElse(0L);
    }

    /**
     * Ends the processes of killed runs and returns a line for each. Processes are identified by id
     * and start time, so that another process with a reused id is left alone.
     */
    static List<String> endOrphans(Path processListFolder) throws IOException {
        List<String> ended = new ArrayList<>();
        if (!Files.isDirectory(processListFolder)) {
            return ended;
        }
        List<Path> listFiles;
        try (var files = Files.list(processListFolder)) {
            listFiles =
                    files.filter(file -> file.getFileName().toString().endsWith(".held")).toList();
        }
        for (Path listFile : listFiles) {
            List<ProcessHandle> liveProcesses =
                    Files.readAllLines(listFile).stream()
                            .map(ManagerProcesses::findLive)
                            .flatMap(Optional::stream)
                            .toList();
            List<String> lines = Files.readAllLines(listFile);
            if (!lines.isEmpty() && findLive(lines.get(0)).isPresent()) {
                continue;
            }
            for (ProcessHandle process : liveProcesses) {
                ended.add(
                        "ended process "
                                + process.pid()
                                + ", left by a fault test that was killed");
                process.destroyForcibly();
            }
            Files.deleteIfExists(listFile);
        }
        return ended;
    }

    private static Optional<ProcessHandle> findLive(String line) {
        String[] words = line.split(" ");
        return ProcessHandle.of(Long.parseLong(words[0]))
                .filter(
                        process ->
                                process.isAlive()
                                        && startTimeMs(process) == Long.parseLong(words[1]));
    }

    /**
     * Waits until a manager serves.
     *
     * @throws IOException with the manager's last log lines if it ends or does not serve in time
     */
    public void awaitReady(int manager, InetSocketAddress address) throws IOException {
        long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MS);
        while (true) {
            if (!processes.get(manager).isAlive()) {
                throw new IOException(
                        "manager "
                                + manager
                                + " ended at its start with status "
                                + processes.get(manager).exitValue()
                                + ": "
                                + lastLogLines(manager));
            }
            if (isReady(address)) {
                return;
            }
            if (System.nanoTime() > deadlineNs) {
                throw new IOException(
                        "manager "
                                + manager
                                + " did not serve within "
                                + READY_TIMEOUT_MS
                                + " ms: "
                                + lastLogLines(manager));
            }
            pause(20);
        }
    }

    static boolean isReady(InetSocketAddress address) {
        try {
            HttpURLConnection connection =
                    (HttpURLConnection)
                            URI.create("http://" + LoopbackAddresses.hostPort(address) + "/alive")
                                    .toURL()
                                    .openConnection();
            connection.setConnectTimeout(200);
            connection.setReadTimeout(500);
            boolean ready = connection.getResponseCode() == 200;
            connection.disconnect();
            return ready;
        } catch (IOException notYet) {
            return false;
        }
    }

    private String lastLogLines(int manager) throws IOException {
        List<String> lines =
                Files.exists(logFile(manager)) ? Files.readAllLines(logFile(manager)) : List.of();
        return lines.isEmpty()
                ? "its log is empty"
                : String.join(
                        " | ",
                        lines.subList(Math.max(0, lines.size() - LOG_LINES_SHOWN), lines.size()));
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    boolean isAlive(int manager) {
        return processes.get(manager) != null && processes.get(manager).isAlive();
    }

    /** Returns the number of times that a manager was started. */
    int incarnation(int manager) {
        return incarnations.get(manager);
    }

    void kill(int manager) {
        processes.get(manager).destroyForcibly();
    }

    /** Sends TERM, HUP, STOP or CONT to a manager if it is alive. */
    public void signal(int manager, String name) throws IOException {
        if (isAlive(manager)) {
            new ProcessBuilder("kill", "-" + name, String.valueOf(processes.get(manager).pid()))
                    .start();
        }
    }

    /** Waits at most {@code ms} for a manager's process to end; returns whether it ended. */
    public boolean awaitExit(int manager, long ms) {
        try {
            return processes.get(manager).waitFor(ms, TimeUnit.MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    int exitStatus(int manager) {
        return processes.get(manager).exitValue();
    }

    /** Returns a manager's current process. */
    public ProcessHandle handle(int manager) {
        return processes.get(manager).toHandle();
    }

    /** Returns the file of a manager's standard output and error. */
    public Path logFile(int manager) {
        return folder.resolve("logs").resolve("m" + manager + ".log");
    }

    /** Returns the processor seconds of a manager's current process; 0 if unknown. */
    double processorSeconds(int manager) {
        return isAlive(manager)
                ? processes
                        .get(manager)
                        .toHandle()
                        .info()
                        .totalCpuDuration()
                        .map(duration -> duration.toMillis() / 1e3)
                        .orElse(0.0)
                : 0;
    }

    private void endAll() {
        processes.stream().filter(process -> process != null).forEach(Process::destroyForcibly);
        try {
            Files.deleteIfExists(processListFile);
        } catch (IOException ignored) {
            // A later run finds no live process in the file, and deletes it.
        }
    }

    @Override
    public void close() {
        endAll();
        Runtime.getRuntime().removeShutdownHook(shutdownHook);
    }
}
