import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Some answers of engines come twice, the second one some milliseconds late; engines are full at times. */
final class Case6 {
    static final int SECONDS = Integer.getInteger("seconds", 45);
    /** One answer in so many comes twice. */
    static final int ONE_IN = Integer.getInteger("oneIn", 8);
    static final int MAX_LATE_MS = 8;

    static final Map<String, List<String>> runs = new ConcurrentHashMap<>();

    static final class DoublingEngine extends Engine {
        private final boolean trouble;
        private final Random random;

        DoublingEngine(int number, Record record, boolean trouble) throws IOException {
            super(number, "127.0.0." + (10 + number), record);
            this.trouble = trouble;
            random = new Random(number);
            capacity = Integer.getInteger("capacity", 10);
        }

        @Override
        void answer(Socket socket, Http call, int status, byte[] bytes) throws IOException {
            boolean twice;
            long late;
            synchronized (random) {
                twice = trouble && random.nextInt(ONE_IN) == 0;
                late = 1 + random.nextInt(MAX_LATE_MS);
            }
            write(socket, bytes);
            if (twice) {
                record.line("twice " + name + " " + status + " late=" + late + " to " + call.first);
                Engine.daemon(
                        () -> {
                            pause(late);
                            try {
                                write(socket, bytes);
                            } catch (IOException e) {
                                // The manager has closed the connection.
                            }
                        });
            }
        }

        @Override
        void onRun(Query query) {
            if (query.group.equals("log-load")) {
                runs.computeIfAbsent(query.id, id -> new ArrayList<>()).add(name);
            }
        }
    }

    public static void main(String[] args) {
        Trial.run("6", Case6::run);
    }

    static boolean run(Trial trial) throws Exception {
        Record record = trial.record;
        List<Engine> engines = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            engines.add(new DoublingEngine(i, record, trial.trouble));
        }
        engines.forEach(Engine::start);
        Coordinator coordinator = new Coordinator("127.0.0.1", 1);
        String classes =
                Trial.group("lookup", "retryable", 1, 5, 5, false) + ","
                        + Trial.group("log-load", "fragile", 4, 25, 5, true);
        List<Manager> managers = new ArrayList<>();
        for (int rank = 0; rank < 2; rank++) {
            String settings =
                    Trial.settings(
                            2, rank, classes, "\"dop\":[1,2],\"class_load\":[false,false],\"yields_to_loads\":[false,false]",
                            "\"max_attempts\":6,\"second_copies\":true,\"may_cancel\":false,\"probing\":true",
                            0, "\"via\":\"on_probe\",\"fields\":[\"waiting\"]");
            managers.add(new Manager("n" + rank, trial.folder, trial.root, coordinator.address(), engines, settings));
        }
        long end = Engine.now() + SECONDS * 1_000L;
        Map<Client.End, AtomicInteger> ends = new HashMap<>();
        for (Client.End e : Client.End.values()) {
            ends.put(e, new AtomicInteger());
        }
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < Integer.getInteger("clients", 60); i++) {
            int number = i;
            Random random = new Random(100 + i);
            Manager manager = managers.get(i % 2);
            threads.add(
                    Engine.daemon(
                            () -> {
                                Client client = new Client(record, manager);
                                boolean load = number % 3 == 0;
                                while (Engine.now() < end) {
                                    Client.Result result =
                                            load
                                                    ? client.request(
                                                            Client.newId(), "log-load", String.format("%016x", number), 25_000,
                                                            "INSERT INTO logs_1.serving VALUES ('a') /* ms="
                                                                    + (600 + random.nextInt(1_200)) + " rows=1 */", "")
                                                    : client.request(
                                                            Client.newId(), "lookup", null, 5_000,
                                                            "SELECT a FROM fonts_" + random.nextInt(9) + ".licence /* ms="
                                                                    + (60 + random.nextInt(200)) + " rows=3 */", "");
                                    ends.get(result.end()).incrementAndGet();
                                    Engine.pause(
                                            result.end() == Client.End.REFUSED
                                                    ? Math.max(100, result.waitMs())
                                                    : random.nextInt(load ? 200 : 60));
                                }
                            }));
        }
        for (Thread thread : threads) {
            thread.join(Math.max(1, end + 27_000 - Engine.now()));
        }
        int broken = 0;
        for (Map.Entry<String, List<String>> run : runs.entrySet()) {
            if (run.getValue().size() > 1) {
                broken++;
                record.say("once-only request run more than once: " + run.getKey() + " at " + run.getValue());
            }
        }
        record.say("answers " + ends + ", once-only requests that ran: " + runs.size() + ", more than once: " + broken);
        return broken == 0;
    }
}
