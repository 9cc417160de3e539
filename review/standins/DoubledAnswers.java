import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Engines write some of their answers a second time, 2 to 7 ms late. Arguments: root of the
 * repository, folder of the case, then {@code rows} or {@code once}.
 */
public final class DoubledAnswers {
    private static final double SHARE = 0.25;

    private DoubledAnswers() {}

    public static void main(String[] args) {
        Run.main(args, args[2].equals("rows") ? DoubledAnswers::rows : DoubledAnswers::once);
    }

    /** An engine that doubles a share of its answers, and is full at times if told so. */
    private static final class Doubling extends Engine.Conduct {
        private final Run run;
        private final boolean fullAtTimes;
        private final Random random = new Random(7);
        final Set<String> done = ConcurrentHashMap.newKeySet();
        final Set<String> doneTwice = ConcurrentHashMap.newKeySet();

        Doubling(Run run, boolean fullAtTimes) {
            this.run = run;
            this.fullAtTimes = fullAtTimes;
        }

        /** Other workload managers fill each engine for 0.3 s of each second, in turn. */
        @Override
        boolean full(Engine engine, String trafficClass) {
            return fullAtTimes
                    && (run.record.ms() + engine.name.hashCode() * 137L) % 1_000 < 300;
        }

        @Override
        synchronized int doubleAfterMs(Engine engine, int status) {
            boolean doubled = run.trouble && random.nextDouble() < SHARE;
            return doubled ? 2 + random.nextInt(6) : -1;
        }

        @Override
        void onStatement(Engine engine, String id, String trafficClass, boolean begun) {
            run.onStatement(engine, id, begun);
        }

        @Override
        void onEnd(Engine engine, String id, String how) {
            if (how.equals("done") && !done.add(id)) {
                doneTwice.add(id);
            }
        }
    }

    private static void sayDoubled(Run run, List<Engine> engines) {
        run.record.say("answers written twice: "
                + engines.stream().mapToInt(engine -> engine.doubled.get()).sum());
    }

    /** Every client has to be served with the rows of its own request. */
    private static boolean rows(Run run) throws Exception {
        Doubling conduct = new Doubling(run, false);
        List<Engine> engines = run.engines(24, conduct);
        Coordinator coordinator = new Coordinator("127.0.0.10", run.record);
        Manager manager = new Manager(run.root, run.temporary, "n1", "127.0.0.2");
        manager.configure(coordinator.address, engines, 256, Settings.json(2, 0, false, true));
        manager.start();
        long stopAt = System.nanoTime() + 95_000_000_000L;
        // A third of the 256 descriptors.
        run.clients(manager, 85, "lookup", 100, 500, 5_000, 40, stopAt);
        run.awaitClients();
        sayDoubled(run, engines);
        int broken = 0;
        for (Run.Ended ended : run.ended) {
            if (ended.answer().end() == Client.End.SERVED
                    && !ended.answer().text().equals(Client.rowsOf(ended.id()))) {
                broken++;
                run.record.say("BROKEN " + ended.id()
                        + " was served with rows that no engine made for it: "
                        + ended.answer().text());
            }
        }
        run.record.say("served with foreign rows: " + broken);
        run.stop(manager);
        return broken == 0;
    }

    /** A once-only request that an engine has begun is neither sent nor refused after that. */
    private static boolean once(Run run) throws Exception {
        Doubling conduct = new Doubling(run, true);
        List<Engine> engines = run.engines(6, conduct);
        Coordinator coordinator = new Coordinator("127.0.0.10", run.record);
        Manager manager = new Manager(run.root, run.temporary, "n1", "127.0.0.2");
        manager.configure(coordinator.address, engines, 1_024, Settings.json(2, 0, false, true));
        manager.start();
        long stopAt = System.nanoTime() + 85_000_000_000L;
        run.clients(manager, 60, "lookup", 100, 500, 5_000, 40, stopAt);
        run.clients(manager, 12, "log-load", 2_800, 5_800, 25_000, 40, stopAt);
        run.awaitClients();
        sayDoubled(run, engines);
        int sentAgain = 0;
        int refused = 0;
        int ranTwice = 0;
        for (Run.Ended ended : run.ended) {
            List<Run.Dispatch> dispatches = run.dispatchesOf(ended.id());
            int first = 0;
            while (first < dispatches.size() && !dispatches.get(first).begun()) {
                first++;
            }
            if (!ended.trafficClass().equals("log-load") || first == dispatches.size()) {
                continue;
            }
            if (conduct.doneTwice.contains(ended.id())) {
                ranTwice++;
            }
            if (first < dispatches.size() - 1) {
                sentAgain++;
                run.record.say("BROKEN " + ended.id() + " was sent again after an engine had begun "
                        + "it" + (conduct.doneTwice.contains(ended.id())
                                ? ", and ran to its end twice: " : ": ") + dispatches);
            }
            if (ended.answer().end() == Client.End.REFUSED) {
                refused++;
                run.record.say("BROKEN " + ended.id()
                        + " was refused after an engine had begun it: " + dispatches);
            }
        }
        run.record.say("once-only requests sent again: " + sentAgain + ", refused: " + refused
                + ", run to their end twice: " + ranTwice);
        run.stop(manager);
        return sentAgain + refused == 0;
    }
}
