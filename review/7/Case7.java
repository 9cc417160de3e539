import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some connections to engines are reset under a call that has not been read. Managers may cancel, and
 * no request may have two attempts out at the same time. Look-ups that stand still behind a load of
 * another manager are cancelled and sent to another engine.
 */
final class Case7 {
    static final long RUN_MS = Long.getLong("seconds", 30) * 1_000;
    /** One call in so many has its connection reset. */
    static final int ONE_IN = Integer.getInteger("oneIn", 15);
    /** Overlaps up to this length are not counted. */
    static final long SLACK_MS = 50;
    static final java.util.regex.Pattern GROUP = java.util.regex.Pattern.compile("register_(\\d+)");

    /** An attempt at an engine, from the moment it has come whole until its end or until it is given up. */
    record Out(String engine, long from, long to, String how) {}

    static final Map<String, List<Out>> attempts = new ConcurrentHashMap<>();
    static final AtomicInteger resets = new AtomicInteger();
    static final AtomicInteger deletesReset = new AtomicInteger();

    static final class ResettingEngine extends Engine {
        private final boolean trouble;
        private final Random random;
        private final Map<String, Long> blockedUntil = new HashMap<>();
        private final Map<Long, Long> loadUntil = new HashMap<>();
        private long blocked;

        ResettingEngine(int number, Record record, boolean trouble) throws IOException {
            super(number, "127.0.0." + (10 + number), record);
            this.trouble = trouble;
            random = new Random(number);
        }

        @Override
        boolean resets(Socket socket, Http call) {
            boolean reset;
            synchronized (random) {
                reset = trouble && random.nextInt(ONE_IN) == 0;
            }
            if (reset) {
                resets.incrementAndGet();
                deletesReset.addAndGet(call.first.startsWith("DELETE") ? 1 : 0);
                record.line("reset " + name + " under " + call.first);
            }
            return reset;
        }

        /** A load holds its data set until it ends; a look-up of that data set stands still meanwhile. */
        @Override
        long duration(String group, String statement, long ms) {
            long dataSet = number(GROUP, statement, 0);
            long until = loadUntil.getOrDefault(dataSet, 0L);
            if (group.equals("load")) {
                loadUntil.put(dataSet, Math.max(until, now() + ms));
            } else if (until > now()) {
                blocked = until;
                return until - now() + ms;
            }
            return ms;
        }

        @Override
        void onRun(Query query) {
            if (blocked > 0) {
                blockedUntil.put(query.id, blocked);
                blocked = 0;
                query.nextNote = now() + 100;
            }
        }

        @Override
        String note(Query query) {
            return now() < blockedUntil.getOrDefault(query.id, 0L)
                    ? "X-Remark: queued\r\nFigure: 2\r\n"
                    : super.note(query);
        }

        @Override
        void onOver(Query query) {
            attempts.computeIfAbsent(query.id, id -> new ArrayList<>())
                    .add(new Out(name, query.startedAt, now(), query.over));
        }
    }

    public static void main(String[] args) {
        Trial.run("7", Case7::run);
    }

    static boolean run(Trial trial) throws Exception {
        Record record = trial.record;
        List<Engine> engines = new ArrayList<>();
        for (int i = 1; i <= 4; i++) {
            engines.add(new ResettingEngine(i, record, trial.trouble));
        }
        engines.forEach(Engine::start);
        Coordinator coordinator = new Coordinator("127.0.0.1", 1);
        String classes =
                Trial.group("lookup", "retryable", 1, 5, 5, false) + "," + Trial.group("load", "dedup", 3, 25, 15, true);
        List<Manager> managers = new ArrayList<>();
        for (int rank = 0; rank < 3; rank++) {
            String settings =
                    Trial.settings(
                            3, rank, classes, "\"dop\":[1,2],\"class_load\":[false,true],\"yields_to_loads\":[true,false]",
                            "\"max_attempts\":5,\"second_copies\":false,\"may_cancel\":true,\"probing\":false",
                            0.5, "\"via\":\"inline\",\"fields\":[\"waiting\",\"active\"]");
            managers.add(new Manager("n" + rank, trial.folder, trial.root, coordinator.address(), engines, settings));
        }
        long end = Engine.now() + RUN_MS;
        Map<Client.End, AtomicInteger> ends = new HashMap<>();
        for (Client.End e : Client.End.values()) {
            ends.put(e, new AtomicInteger());
        }
        for (int i = 0; i < 24; i++) {
            int number = i;
            Random random = new Random(100 + i);
            Manager manager = managers.get(i % 3);
            Engine.daemon(
                    () -> {
                        Client client = new Client(record, manager);
                        boolean load = number % 4 == 0;
                        while (Engine.now() < end) {
                            Client.Result result =
                                    load
                                            ? client.request(
                                                    Client.newId(), "load", String.format("%016x", number), 25_000,
                                                    "INSERT INTO register_" + random.nextInt(4) + ".plates VALUES ('a') /* ms="
                                                            + (1_600 + random.nextInt(1_700)) + " rows=1 */", "")
                                            : client.request(
                                                    Client.newId(), "lookup", null, 5_000,
                                                    "SELECT a FROM register_" + random.nextInt(4) + ".plates /* ms="
                                                            + (120 + random.nextInt(130)) + " rows=3 */", "");
                            ends.get(result.end()).incrementAndGet();
                            Engine.pause(Math.max(50 + random.nextInt(200), result.waitMs()));
                        }
                    });
        }
        Engine.pause(end + 6_000 - Engine.now());
        int broken = 0;
        int several = 0;
        for (Map.Entry<String, List<Out>> attempt : attempts.entrySet()) {
            List<Out> outs = new ArrayList<>(attempt.getValue());
            outs.sort((a, b) -> Long.compare(a.from, b.from));
            several += outs.size() > 1 ? 1 : 0;
            for (int i = 1; i < outs.size(); i++) {
                Out before = outs.get(i - 1);
                Out after = outs.get(i);
                long overlap = Math.min(before.to, after.to) - after.from;
                if (overlap > SLACK_MS) {
                    broken++;
                    record.say("two attempts out for " + overlap + " ms: " + attempt.getKey() + " at " + before.engine + " ("
                            + before.how + ") and " + after.engine + " (" + after.how + ")");
                }
            }
        }
        record.say("answers " + ends + ", requests with several attempts: " + several + ", connections reset: " + resets
                + ", of these under a DELETE: " + deletesReset + ", two attempts out at once: " + broken);
        return broken == 0;
    }
}
