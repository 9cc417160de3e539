import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/**
 * All that the coordinator sends arrives 3 s late; then an engine begins to drain, and ends 20 s
 * later. Arguments: root of the repository, folder of the case.
 */
public final class LateList {
    private static final long DELAY_MS = 3_000;

    /** The latest time at which an event counts as told; the grace of the settings and 50 ms. */
    private static final long TOLD_MS = 7_000;

    private static final long GRACE_MS = 500 + 50;

    private LateList() {}

    public static void main(String[] args) {
        Run.main(args, LateList::play);
    }

    private static boolean play(Run run) throws Exception {
        AtomicLong publishedAt = new AtomicLong(Long.MAX_VALUE / 2);
        Engine.Conduct conduct = new Engine.Conduct() {
            @Override
            void onStatement(Engine engine, String id, String trafficClass, boolean begun) {
                run.onStatement(engine, id, begun);
            }
        };
        List<Engine> engines = run.engines(6, conduct);
        Coordinator coordinator = new Coordinator("127.0.0.10", run.record);
        Link link = new Link(
                "127.0.0.11", coordinator.address, () -> run.trouble ? DELAY_MS : 0);
        Manager manager = new Manager(run.root, run.temporary, "n1", "127.0.0.2");
        manager.configure(link.address, engines, 1_024, Settings.json(2, 0, false, true));
        manager.start();
        long stopAt = System.nanoTime() + 36_000_000_000L;
        run.clients(manager, 12, "lookup", 100, 300, 5_000, 100, stopAt);
        run.clients(manager, 6, "log-load", 2_800, 5_800, 25_000, 100, stopAt);
        Thread.sleep(10_000);
        coordinator.publish(List.of(new Coordinator.Listed(1, engines.get(0).address, 1)));
        publishedAt.set(run.record.ms());
        Thread.sleep(20_000);
        engines.get(0).end();
        run.awaitClients();
        int late = 0;
        int lost = 0;
        long last = 0;
        for (Run.Ended ended : run.ended) {
            boolean sentLate = false;
            for (Run.Dispatch dispatch : run.dispatchesOf(ended.id())) {
                long after = dispatch.atMs() - publishedAt.get();
                if (dispatch.engine().equals("e1") && after > TOLD_MS + GRACE_MS) {
                    late++;
                    sentLate = true;
                    last = Math.max(last, after);
                    run.record.line("BROKEN " + ended.id() + " was sent to e1 " + after
                            + " ms after the coordinator had its drain");
                }
            }
            if (sentLate && ended.answer().end() == Client.End.FAILED) {
                lost++;
                run.record.say("failed, as it was sent to the draining engine, which ended: "
                        + ended.trafficClass() + " " + ended.id());
            }
        }
        run.record.say("statements sent to the draining engine more than " + (TOLD_MS + GRACE_MS)
                + " ms after the event: " + late + ", the last one after " + last
                + " ms; requests that failed for it: " + lost);
        run.stop(manager);
        return late == 0;
    }
}
