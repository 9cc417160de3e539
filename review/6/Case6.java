import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Discovery is slow: it needs 3 s until it tells anything on a new connection. An engine drains and
 * ends. The rule holds if nothing new goes to it later than the 7 s after which the event counts as
 * told, plus the grace.
 */
final class Case6 {
    static final long SLOW_MS = 3_000;
    static final long DRAIN_AT_MS = 6_000;
    /** The draining engine goes on serving for so long, and ends then. */
    static final long DRAIN_MS = 14_000;
    static final long RUN_MS = 24_000;
    /** Counts as told, grace for drains, slack of all time limits on sockets. */
    static final long ALLOWED_MS = 7_000 + 500 + 50;

    static volatile long drainedAt = Long.MAX_VALUE;
    static final AtomicInteger inTime = new AtomicInteger();
    static final Set<String> late = ConcurrentHashMap.newKeySet();
    static volatile long latest;

    static final class CountingEngine extends Engine {
        CountingEngine(int number, Record record) throws IOException {
            super(number, "127.0.0." + (10 + number), record);
        }

        @Override
        void onRun(Query query) {
            long after = now() - drainedAt;
            if (idNumber == 1 && after > 0) {
                if (after <= ALLOWED_MS) {
                    inTime.incrementAndGet();
                } else {
                    late.add(query.id);
                    latest = after;
                }
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
            engines.add(new CountingEngine(i, record));
        }
        engines.forEach(Engine::start);
        Coordinator coordinator = new Coordinator("127.0.0.1", 1);
        coordinator.slowMs = trial.trouble ? SLOW_MS : 0;
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
        long start = Engine.now();
        long end = start + RUN_MS;
        Map<Client.End, AtomicInteger> ends = new HashMap<>();
        for (Client.End e : Client.End.values()) {
            ends.put(e, new AtomicInteger());
        }
        AtomicInteger lateAndFailed = new AtomicInteger();
        for (int i = 0; i < 24; i++) {
            int number = i;
            Random random = new Random(100 + i);
            Manager manager = managers.get(i % 2);
            Engine.daemon(
                    () -> {
                        Client client = new Client(record, manager);
                        boolean load = number % 4 < 2;
                        while (Engine.now() < end) {
                            Client.Result result =
                                    load
                                            ? client.request(
                                                    Client.newId(), "log-load", String.format("%016x", number), 25_000,
                                                    "INSERT INTO logs_1.serving VALUES ('a') /* ms="
                                                            + (1_000 + random.nextInt(2_000)) + " rows=1 */", "")
                                            : client.request(
                                                    Client.newId(), "lookup", null, 5_000,
                                                    "SELECT a FROM fonts_" + random.nextInt(9) + ".licence /* ms="
                                                            + (60 + random.nextInt(200)) + " rows=3 */", "");
                            ends.get(result.end()).incrementAndGet();
                            if (result.end() == Client.End.FAILED && load && late.contains(result.id())) {
                                lateAndFailed.incrementAndGet();
                            }
                            Engine.pause(Math.max(50 + random.nextInt(200), result.waitMs()));
                        }
                    });
        }
        Engine.pause(start + DRAIN_AT_MS - Engine.now());
        Engine draining = engines.get(0);
        drainedAt = Engine.now();
        coordinator.tell(new Coordinator.Event(1, "127.0.0.11", draining.port(), 1, 0, 0));
        record.line("the coordinator has: " + draining.name + " drains");
        Engine.pause(drainedAt + DRAIN_MS - Engine.now());
        coordinator.tell(new Coordinator.Event(1, "127.0.0.11", draining.port(), 2, 0, 0));
        record.line("the coordinator has: " + draining.name + " is gone; its process ends");
        draining.die();
        Engine.pause(end + 3_000 - Engine.now());
        record.say("answers " + ends);
        record.say("sent to the draining engine within " + ALLOWED_MS + " ms of the event: " + inTime + "; later: " + late.size()
                + (late.isEmpty() ? "" : ", up to " + latest + " ms after it"));
        record.say("once-only requests sent there too late that failed when its process ended: " + lateAndFailed);
        return late.isEmpty();
    }
}
