package firstage.server;

import firstage.config.IdRegistry;
import firstage.config.ManagerConfig;
import firstage.config.PeerConfig;
import firstage.lifecycle.ArrivalSequencer;
import firstage.lifecycle.KeyOrderMonitor;
import firstage.policy.WorkloadScheduler;
import firstage.policy.api.AttemptOutcome;
import firstage.policy.api.AttemptProgress;
import firstage.policy.api.AttemptResult;
import firstage.policy.api.EndpointUpdate;
import firstage.policy.api.IncomingRequest;
import firstage.policy.api.LoadReport;
import firstage.policy.api.PolicyActions;
import firstage.policy.api.SchedulingPolicy;
import firstage.server.FlightRecorder.What;
import firstage.server.client.ClientHandler;
import firstage.server.discovery.EndpointWatcher;
import firstage.server.engine.EngineClients;
import firstage.server.membership.MembershipTransport;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * One workload manager: its peers and one WorkloadScheduler, all on one I/O thread. It carries what
 * the peers tell to the decisions and what these decide to the peers; it decides nothing itself.
 */
public final class ManagerServer implements PolicyActions, ServerEvents {
    private static final Logger LOG = Logger.getLogger(ManagerServer.class.getName());

    /** After a SIGTERM the front goes on sending for at most 0.6 s. */
    private static final long STILL_SENT_MS = 700;

    /** Tenths of a millisecond that the last answers may need on their way. */
    private static final long LAST_WORDS = 5_000;

    private static final long SWEEP_MS = 1_000;
    private static final long TOGETHER_MS = 100;

    /** After a client's time is up; its answer must be there 50 ms after it. */
    private static final long OVERDUE_MS = 35;

    /** Dispatches that are given up end within this. */
    private static final long LAST_MS = 50;

    /** Later than this the thread stood still: clients write batches of one key 60 ms apart. */
    private static final long STALL_US = 30_000;

    private static final String[] ENDS = {
        "batches returned",
        "batches pushed back",
        "batches errored",
        "batches errored at their limit",
        "batches left by their clients"
    };
    private final ManagerConfig assignment;
    private final TickClock clock = new TickClock();
    private final Counters counters = new Counters();
    private final XnioWorker worker;
    private final XnioIoThread io;
    private final SchedulingPolicy manager;
    private final EngineClients engines;
    private final ClientHandler door;
    private final EndpointWatcher follower;
    private final ReadBarrier barrier;

    /** Null where no peers are named. */
    private final MembershipTransport peers;

    private double share;
    private final Map<Integer, Integer> zoneOf = new HashMap<>();
    private final ArrivalSequencer<Came> order = new ArrivalSequencer<>(new Readings());
    private final KeyOrderMonitor watch = new KeyOrderMonitor();
    private final IdRegistry<RequestExchange> batches = new IdRegistry<>();
    private final IdRegistry<String> keys = new IdRegistry<>();
    private final IdRegistry<Long> ids = new IdRegistry<>();

    /** Batches without an answer, and dispatches that are out. */
    private int open;

    private int out;
    private boolean turnDue;

    /** The thread stood still since the last turn. */
    private boolean stood;

    private boolean closing;
    private boolean stillSent;

    /** The end was asked for; a second call for it changes nothing. */
    private boolean ending;

    /**
     * {@code peers}: the other managers; null where they are not named, and nothing of them is
     * loaded.
     */
    public ManagerServer(ManagerConfig assignment, PeerConfig peers) throws IOException {
        this.assignment = assignment;
        worker =
                Xnio.getInstance(ManagerServer.class.getClassLoader())
                        .createWorker(
                                OptionMap.builder()
                                        .set(Options.WORKER_NAME, "firstage")
                                        .set(Options.WORKER_IO_THREADS, 1)
                                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                                        .getMap());
        io = worker.getIoThread();
        barrier = new ReadBarrier(io, counters);
        engines = new EngineClients(io, clock, counters, this, assignment);
        door = new ClientHandler(io, clock, counters, this, assignment);
        follower = new EndpointWatcher(io, clock, counters, this, assignment);
        manager = new WorkloadScheduler(assignment.deployment(), this);
        this.peers =
                peers == null
                        ? null
                        : new MembershipTransport(
                                peers,
                                assignment,
                                System.currentTimeMillis(),
                                io,
                                clock,
                                counters,
                                this::keepAway,
                                this::cut,
                                freed -> tellListed(EndpointUpdate.Kind.DELTA, freed));
        share = 1.0 / assignment.deployment().managers();
    }

    /**
     * Starts serving; returns once clients can connect. Where the address is held, it may be tried
     * again.
     */
    public void start() throws IOException {
        door.listen(worker);
        if (peers != null) {
            peers.listen(worker);
        }
        io.execute(
                () -> {
                    barrier.start();
                    if (peers != null) {
                        peers.start();
                        lookTogether();
                    }
                    follower.follow(assignment);
                    door.accept();
                    sweep();
                });
        LOG.info(() -> assignment.name() + " listens on " + assignment.listenAddress());
    }

    /** A new configuration: it reaches the list's follower only. */
    public void told(ManagerConfig next) {
        io.execute(
                () -> {
                    counters.count("configurations read anew");
                    LOG.info(() -> "the coordinator is at " + next.coordinatorAddress());
                    follower.follow(next);
                });
    }

    /** Serves on while the front still sends, answers all that was taken, then ends the program. */
    public void close() {
        // When the signal came: a thread that stands still just then has the less time left.
        long since = clock.now();
        io.execute(
                () -> {
                    if (ending) {
                        // The harm prevented: a second SIGTERM counted the planned end anew, past
                        // the SIGKILL of the first.
                        counters.count("calls to end that came again");
                        return;
                    }
                    ending = true;
                    closing = true;
                    stillSent = true;
                    engines.closingSoon();
                    LOG.info(() -> "closing with " + open + " batches open");
                    if (peers != null) {
                        peers.leave();
                    }
                    tell(
                            "closing",
                            () ->
                                    manager.onShutdown(
                                            clock.now(),
                                            since + assignment.shutdownTimeout() - LAST_WORDS));
                    later(
                            STILL_SENT_MS,
                            () -> {
                                stillSent = false;
                                door.closing(clock.now());
                                endIfIdle();
                            });
                });
    }

    private boolean idle() {
        return open == 0 && order.unsettled() == 0 && out == engines.lingering() && door.idle();
    }

    private void endIfIdle() {
        if (closing && !stillSent && idle()) {
            closing = false;
            later(LAST_MS, this::closeDoor);
        }
    }

    /**
     * New connections are taken until here, and what came on any is read before the end. The harm
     * prevented: the last answer is lost with its connection, and its client, which asks for it at
     * once on a new one, is refused.
     */
    private void closeDoor() {
        if (idle()) {
            door.close();
            barrier.whenRead(this::end);
        } else {
            closing = true;
        }
    }

    private void end() {
        if (!idle()) {
            closing = true;
            return;
        }
        boolean held = false;
        try {
            follower.close();
            if (peers != null) {
                peers.close();
            }
            check();
            engines.close();
            barrier.close();
            counters.hold(
                    out == engines.lingering(), "no dispatch is out at the end but what lingers");
            counters.hold(
                    counters.sum("batches taken") == counters.sum(ENDS), "each batch ends once");
            held = true;
        } finally {
            System.err.println("end: " + counters);
            int status = held ? 0 : 1;
            // Not on this thread: the exit waits for hooks, and sockets still flush here.
            new Thread(() -> System.exit(status), "exit").start();
        }
    }

    private void check() {
        for (int engine = 0; engine < engines.count(); engine++) {
            counters.hold(
                    engines.out(engine) == manager.attemptsInFlight(engine),
                    "dispatches out are those that the scheduler holds");
        }
        engines.check();
    }

    private void sweep() {
        long due = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SWEEP_MS);
        engines.sweep();
        check();
        watch.sweep(clock.now());
        endIfIdle();
        later(
                SWEEP_MS,
                () -> {
                    late("latest on the I/O thread, us", due);
                    sweep();
                });
    }

    /** Notes how late the thread came; whether it stood still. */
    private boolean late(String peak, long due) {
        long late = (System.nanoTime() - due) / 1_000;
        counters.peak(peak, late);
        if (late > STALL_US) {
            counters.recorder().note(What.STALL, null, late / 1_000, 0);
        }
        return late > STALL_US;
    }

    private XnioExecutor.Key later(long ms, Runnable task) {
        return io.executeAfter(task, ms, TimeUnit.MILLISECONDS);
    }

    // ---- What the peers tell.
    /** One turn after all news that is at hand. */
    private void stir() {
        if (!turnDue) {
            turnDue = true;
            long due = System.nanoTime();
            io.execute(
                    () -> {
                        stood |= late("latest turn, us", due);
                        if (stood) {
                            // What came meanwhile is read first: a client that left in that time
                            // must not be sent for.
                            counters.count("stalls");
                            stood = false;
                            barrier.whenRead(this::turn);
                        } else {
                            turn();
                        }
                    });
        }
    }

    private void turn() {
        turnDue = false;
        try {
            allot();
            if (follower.confirmed()) {
                manager.runPendingActions(clock.now());
            }
        } catch (RuntimeException fault) {
            failed("turn", fault);
        }
        endIfIdle();
    }

    @Override
    public long stoodStill() {
        return peers == null ? 0 : peers.pauseDuration();
    }

    private void keepAway(long engine, boolean away, boolean restIsOver) {
        counters.count(away ? "engines left to others" : "engines taken back");
        int index = ids.findIndex(engine);
        if (index >= 0) {
            tell("away", () -> manager.onProbeOwnership(clock.now(), index, away, restIsOver));
        }
    }

    private void cut(long now, int band, double part) {
        tell("cut", () -> manager.onSheddingThreshold(now, band, part));
    }

    /** Tells what the decisions hold of each engine to who acts on it together. */
    private void lookTogether() {
        for (int engine = 0; engine < engines.count(); engine++) {
            if (engines.listed(engine)) {
                peers.fleetCoordinator()
                        .updateEngine(
                                clock.now(),
                                zoneOf.getOrDefault(engine, -1),
                                ids.idOf(engine),
                                manager.isUnavailable(engine),
                                manager.lastAttemptAt(engine),
                                manager.lastResponseAt(engine));
            }
        }
        peers.fleetCoordinator().evaluate(clock.now(), manager.demand(clock.now()));
        later(TOGETHER_MS, this::lookTogether);
    }

    /** Asked before each turn: what others gave may have ended while this process stood still. */
    private void allot() {
        if (peers != null && peers.share() != share) {
            share = peers.share();
            manager.onQuotaChanged(clock.now(), share);
        }
    }

    private void tell(String what, Runnable call) {
        try {
            call.run();
        } catch (RuntimeException fault) {
            failed(what, fault);
        }
        stir();
    }

    /** The program outlives a fault of its own; the log shows it. */
    private void failed(String what, RuntimeException fault) {
        counters.count("faults");
        LOG.log(Level.SEVERE, "fault in " + what, fault);
    }

    /** What was read of a batch that is not told yet. */
    private record Came(
            RequestExchange x,
            int group,
            int customer,
            String key,
            long estimate,
            int memoryMb,
            int tables) {}

    @Override
    public void taken(
            RequestExchange x,
            int group,
            int customer,
            String key,
            long estimate,
            int memoryMb,
            int tables) {
        counters.count("batches taken");
        open++;
        x.key = key;
        note(What.READ, x, x.connectionAge, 0);
        x.timeUp = later(Math.max(0, (x.notAfter - clock.now()) / 10), () -> timeUp(x));
        order.came(new Came(x, group, customer, key, estimate, memoryMb, tables), key);
    }

    /** All that had come before a batch with this key was read has been read. */
    private final class Readings implements ArrivalSequencer.Carrier<Came> {
        @Override
        public void barrier(Object key) {
            barrier.whenRead(() -> order.passed(key));
        }

        @Override
        public void taken(Came b, boolean turnKnown) {
            RequestExchange x = b.x;
            if (x.over()) {
                // The client left, or its time was up, while it was not told.
                x.timeUp.remove();
                stir();
                return;
            }
            if (!turnKnown) {
                counters.count("batches whose turn can't be told");
            }
            x.batch = batches.indexFor(x);
            note(What.TOLD, x, turnKnown ? 1 : 0, 0);
            if (x.key != null && turnKnown) {
                watch.told(x.key, x.id);
            }
            tell(
                    "taken",
                    () ->
                            manager.onRequest(
                                    clock.now(),
                                    new IncomingRequest(
                                            x.batch,
                                            b.group,
                                            b.customer,
                                            b.key == null ? -1 : keys.indexFor(b.key),
                                            x.notAfter,
                                            b.estimate,
                                            b.memoryMb,
                                            b.tables,
                                            false,
                                            !turnKnown)));
            if (x.away) {
                away(x, true);
            }
        }
    }

    private void timeUp(RequestExchange x) {
        for (RequestExchange.Dispatch d : List.copyOf(x.out)) {
            d.giveUp(AttemptOutcome.TIMED_OUT);
        }
        // Neither a fault in the decisions nor an engine that hears of no DELETE may keep a
        // client's answer back.
        later(
                OVERDUE_MS,
                () -> {
                    if (x.errored()) {
                        over("batches errored at their limit", x);
                        leftTold("overdue", x);
                    }
                });
    }

    @Override
    public void left(RequestExchange x) {
        if (x.over()) {
            return;
        }
        x.left();
        x.absent(clock.now());
        over("batches left by their clients", x);
        leftTold("left", x);
        callOffAll(x);
    }

    @Override
    public void away(RequestExchange x, boolean away) {
        x.away = away;
        if (x.batch >= 0 && !x.over()) {
            tell("away", () -> manager.onClientPresence(clock.now(), x.batch, away));
        }
    }

    /** The decisions hear only of what they were told of. */
    private void leftTold(String what, RequestExchange x) {
        if (x.batch >= 0) {
            tell(what, () -> manager.onClientGone(clock.now(), x.batch));
        }
    }

    private void over(String how, RequestExchange x) {
        counters.count(how);
        open--;
        note(What.OVER, x, 0, 0);
        if (x.key != null) {
            watch.over(x.key, x.id);
        }
    }

    private void note(What what, RequestExchange x, long a, long b) {
        if (x.key != null) {
            counters.recorder().note(what, x.id, a, b);
        }
    }

    private void callOffAll(RequestExchange x) {
        for (RequestExchange.Dispatch d : List.copyOf(x.out)) {
            d.giveUp(AttemptOutcome.CANCELLED);
        }
    }

    @Override
    public void noted(
            RequestExchange x,
            RequestExchange.Dispatch d,
            AttemptProgress.Kind kind,
            double amount) {
        tell(
                "noted",
                () ->
                        manager.onAttemptProgress(
                                clock.now(),
                                new AttemptProgress(
                                        x.batch, d.number(), d.engine(), kind, amount)));
    }

    @Override
    public void ended(
            RequestExchange x,
            RequestExchange.Dispatch d,
            AttemptOutcome how,
            long took,
            LoadReport report,
            List<byte[]> pages,
            long rest) {
        counters.hold(x.out.remove(d), "a dispatch ends once");
        out--;
        engines.ended(d.engine());
        counters.count("dispatches " + how);
        note(What.ENDED, x, how.ordinal(), rest / 10);
        if (x.key != null) {
            watch.ended(clock.now(), x.key, x.id, rest);
        }
        if (how == AttemptOutcome.SUCCEEDED && x.returned(pages)) {
            over("batches returned", x);
        }
        tell(
                "ended",
                () ->
                        manager.onAttemptResult(
                                clock.now(),
                                new AttemptResult(
                                        x.batch,
                                        d.number(),
                                        d.engine(),
                                        how,
                                        took,
                                        0,
                                        0,
                                        x.over(),
                                        report,
                                        rest)));
        if (how == AttemptOutcome.SUCCEEDED) {
            callOffAll(x);
        }
    }

    @Override
    public void probed(int engine, AttemptOutcome how, LoadReport report) {
        tell("probed", () -> manager.onProbeResult(clock.now(), engine, how, report));
    }

    @Override
    public void listed(EndpointUpdate.Kind kind, List<Listed> entries) {
        tellListed(kind, peers == null ? entries : peers.served(kind, entries));
    }

    private void tellListed(EndpointUpdate.Kind kind, List<Listed> entries) {
        List<EndpointUpdate.Endpoint> told = new ArrayList<>();
        for (Listed e : entries) {
            int index = ids.indexFor(e.id());
            zoneOf.put(index, e.zone());
            engines.listed(index, e);
            told.add(
                    new EndpointUpdate.Endpoint(
                            index,
                            e.id(),
                            e.zone(),
                            e.kind(),
                            e.cell(),
                            e.standing(),
                            e.weight(),
                            e.since(),
                            peers == null ? 0 : peers.coldPart(e)));
        }
        if (kind == EndpointUpdate.Kind.SNAPSHOT) {
            engines.keepOnly(told.stream().map(EndpointUpdate.Endpoint::engineId).toList());
        }
        tell(
                "listed",
                () -> manager.onEndpointsUpdated(clock.now(), new EndpointUpdate(kind, told)));
    }

    @Override
    public void listConfirmed() {
        stir();
    }

    // ---- What is decided.
    @Override
    public void setGrantAndPriority(int batch, int grantMb, int priority) {
        RequestExchange x = batches.idOf(batch);
        x.grantMb = grantMb;
        x.priority = priority;
        x.out.forEach(d -> d.priority(priority));
    }

    @Override
    public void startAttempt(int batch, int engine, long within) {
        RequestExchange x = batches.idOf(batch);
        counters.count("dispatches out");
        out++;
        note(What.DISPATCHED, x, x.dispatches, engine);
        if (x.key != null) {
            counters.hold(
                    watch.sent(clock.now(), x.key, x.id),
                    "batches of a key go one at a time and in turn");
        }
        RequestExchange.Dispatch d = engines.dispatch(x, x.dispatches++, engine);
        x.out.add(d);
        if (within > 0) {
            later(
                    within / 10,
                    () -> {
                        if (x.out.contains(d)) {
                            d.giveUp(AttemptOutcome.TIMED_OUT);
                        }
                    });
        }
    }

    @Override
    public void cancelAttempt(int batch, int dispatch) {
        for (RequestExchange.Dispatch d : List.copyOf(batches.idOf(batch).out)) {
            if (d.number() == dispatch) {
                d.giveUp(AttemptOutcome.CANCELLED);
            }
        }
    }

    @Override
    public void reject(int batch, long comeBack) {
        RequestExchange x = batches.idOf(batch);
        if (x.pushedBack(comeBack)) {
            over("batches pushed back", x);
        }
        callOffAll(x);
    }

    @Override
    public void fail(int batch) {
        RequestExchange x = batches.idOf(batch);
        if (x.errored()) {
            over("batches errored", x);
        }
    }

    @Override
    public void releaseRequest(int batch) {
        RequestExchange x = batches.idOf(batch);
        counters.hold(
                x.over() && x.out.isEmpty(),
                "a batch that is forgotten has its answer and nothing out");
        x.timeUp.remove();
        batches.release(batch);
    }

    @Override
    public void releaseKey(int key) {
        keys.release(key);
    }

    @Override
    public void releaseEngine(int engine) {
        if (peers != null) {
            peers.fleetCoordinator().removeEngine(ids.idOf(engine));
        }
        ids.release(engine);
        engines.forget(engine);
        zoneOf.remove(engine);
    }

    @Override
    public void probeEngine(int engine) {
        engines.probe(engine);
    }

    @Override
    public void scheduleWakeUp(long delay, long token) {
        long due = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Math.max(1, delay / 10));
        later(
                Math.max(1, delay / 10),
                () -> {
                    stood |= late("latest wake, us", due);
                    tell("woken", () -> manager.onWakeUp(clock.now(), token));
                });
    }

    @Override
    public void log(String line) {
        LOG.info(line);
    }
}
