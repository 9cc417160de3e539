import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

/** What the cases have in common: record, temporary folder, clients, exit status. */
final class Run {
    /** The part of a case between its start and its verdict. */
    interface Case {
        /** Returns whether the rule held. */
        boolean play(Run run) throws Exception;
    }

    /** A statement that came whole to an engine. */
    record Dispatch(String engine, long atMs, boolean begun) {}

    /** A request as its client saw it. */
    record Ended(String id, String trafficClass, Client.Answer answer) {}

    final Path root;
    final Path temporary;
    final Record record;
    final boolean trouble;
    final Map<String, List<Dispatch>> dispatches = new ConcurrentHashMap<>();
    final List<Ended> ended = new ArrayList<>();
    private final List<Thread> clients = new ArrayList<>();

    private Run(Path root, Path folder) throws IOException {
        this.root = root;
        temporary = Files.createTempDirectory("review");
        record = new Record(folder.resolve("record.txt"));
        trouble = !"0".equals(System.getenv("TROUBLE"));
    }

    /** Plays a case and exits with 0 if its rule held, 1 if it was broken, 2 if it couldn't run. */
    static void main(String[] args, Case played) {
        int status = 2;
        try {
            Run run = new Run(Path.of(args[0]), Path.of(args[1]));
            Runtime.getRuntime().addShutdownHook(new Thread(run::deleteTemporary));
            status = played.play(run) ? 0 : 1;
        } catch (Throwable failure) {
            failure.printStackTrace();
        }
        System.exit(status);
    }

    private void deleteTemporary() {
        try (Stream<Path> files = Files.walk(temporary)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException ignored) {
            // It is a temporary folder.
        }
    }

    void onStatement(Engine engine, String id, boolean begun) {
        List<Dispatch> all = dispatches.computeIfAbsent(id, k -> new ArrayList<>());
        synchronized (all) {
            all.add(new Dispatch(engine.name, record.ms(), begun));
        }
    }

    List<Dispatch> dispatchesOf(String id) {
        List<Dispatch> all = dispatches.getOrDefault(id, List.of());
        synchronized (all) {
            return List.copyOf(all);
        }
    }

    List<Engine> engines(int count, Engine.Conduct conduct) throws IOException {
        List<Engine> engines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            engines.add(new Engine("e" + (i + 1), "127.0.0." + (20 + i), record, conduct, 500));
        }
        return engines;
    }

    /**
     * Starts clients that send one request after another until {@code stopAtNanos}.
     *
     * @param fromMs the shortest run of a statement
     * @param toMs the longest run
     */
    void clients(Manager manager, int count, String trafficClass, int fromMs, int toMs,
            long deadlineMs, int pauseMs, long stopAtNanos) {
        for (int i = 0; i < count; i++) {
            Random random = new Random(trafficClass.hashCode() * 1_000L + i);
            Thread client = new Thread(() -> {
                while (System.nanoTime() < stopAtNanos) {
                    String id = String.format("%016x", random.nextLong());
                    String key = trafficClass.equals("log-load")
                            ? String.format("%016x", random.nextLong()) : null;
                    record.line("client sends " + trafficClass + " " + id);
                    Client.Answer answer = Client.call(manager.address, trafficClass, id, key,
                            fromMs + random.nextInt(toMs - fromMs), deadlineMs);
                    record.line("client of " + id + " gets " + answer.end()
                            + (answer.end() == Client.End.SERVED ? "" : " " + answer.text()));
                    synchronized (ended) {
                        ended.add(new Ended(id, trafficClass, answer));
                    }
                    try {
                        Thread.sleep(random.nextInt(pauseMs) + answer.waitMs());
                    } catch (InterruptedException interrupted) {
                        return;
                    }
                }
            });
            client.setDaemon(true);
            client.start();
            clients.add(client);
        }
    }

    /** Waits for the clients and prints how their requests ended. */
    void awaitClients() throws InterruptedException {
        for (Thread client : clients) {
            client.join();
        }
        AtomicInteger[] ends = new AtomicInteger[Client.End.values().length];
        StringBuilder counts = new StringBuilder("requests:");
        for (Client.End end : Client.End.values()) {
            counts.append(' ').append(end).append('=').append(
                    ended.stream().filter(e -> e.answer().end() == end).count());
        }
        record.say(counts.toString());
    }

    /** Ends the manager and prints its counters. */
    void stop(Manager manager) throws Exception {
        manager.stop();
        record.say(manager.log().lines().filter(l -> l.startsWith("end:")).findFirst().orElse(""));
    }
}
