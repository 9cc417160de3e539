package firstage.server;

import firstage.config.ManagerConfig;
import firstage.config.PeerConfig;
import firstage.policy.WorkloadScheduler;
import firstage.policy.api.AttemptOutcome;
import firstage.policy.api.AttemptProgress;
import firstage.policy.api.EndpointUpdate;
import firstage.policy.api.LoadReport;
import firstage.policy.api.SchedulingPolicy;
import firstage.server.client.ClientHandler;
import firstage.server.discovery.EndpointWatcher;
import firstage.server.engine.EngineClients;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * One workload manager: puts its parts together, starts them and takes signals. All parts live on
 * one I/O thread, named {@code firstage I/O-1}; only the constructor and the public methods that
 * say so are called from others. Events of clients, engines and discovery go on to the part that
 * answers for them; nothing is decided here.
 */
public final class ManagerServer implements ServerEvents {
    private static final Logger LOG = Logger.getLogger(ManagerServer.class.getName());
    private static final long MAINTENANCE_PERIOD_MS = 1_000;

    private final ManagerConfig config;
    private final TickClock clock = new TickClock();
    private final Counters counters = new Counters();
    private final XnioWorker worker;
    private final XnioIoThread io;
    private final ReadBarrier barrier;
    private final ActionGuard guard;
    private final EngineClients engines;
    private final ClientHandler clientHandler;
    private final EndpointWatcher endpointWatcher;
    private final SchedulerLoop loop;
    private final RequestRegistry requests;
    private final RequestEventHandler requestEvents;
    private final EngineDirectory directory;
    private final FleetControl fleet;
    private final ShutdownSequence shutdown;

    /**
     * Opens nothing yet that others see.
     *
     * @param peers the other managers; null where none are named, and then no class of the fleet's
     *     control is loaded
     */
    public ManagerServer(ManagerConfig config, PeerConfig peers) throws IOException {
        this.config = config;
        worker = createWorker();
        io = worker.getIoThread();
        barrier = new ReadBarrier(io, clock, counters);
        guard = new ActionGuard(io, clock, counters, barrier);
        engines = new EngineClients(io, clock, counters, this, guard, config);
        clientHandler = new ClientHandler(io, clock, counters, this, guard, config);
        endpointWatcher = new EndpointWatcher(io, clock, counters, this, guard, config);
        loop = new SchedulerLoop(io, clock, counters, guard, endpointWatcher::isConfirmed);
        requests = new RequestRegistry(clock, counters);
        requestEvents = new RequestEventHandler(clock, barrier, loop, requests);
        directory = new EngineDirectory(clock, counters, loop, engines);
        SchedulingPolicy scheduler =
                new WorkloadScheduler(
                        config.deployment(),
                        new DecisionExecutor(loop, requests, engines, this::onEngineReleased));
        fleet =
                peers == null
                        ? FleetControl.NONE
                        : new PeerFleetControl(peers, config, io, clock, counters, loop, directory);
        shutdown =
                new ShutdownSequence(
                        clock,
                        counters,
                        barrier,
                        loop,
                        requests,
                        requestEvents,
                        engines,
                        clientHandler,
                        this::closeAll);
        loop.attach(scheduler, fleet::updateQuotaShare, shutdown::endWhenIdle);
    }

    private static XnioWorker createWorker() throws IOException {
        return Xnio.getInstance(ManagerServer.class.getClassLoader())
                .createWorker(
                        OptionMap.builder()
                                .set(Options.WORKER_NAME, "firstage")
                                .set(Options.WORKER_IO_THREADS, 1)
                                .set(Options.WORKER_TASK_CORE_THREADS, 1)
                                .set(Options.WORKER_TASK_MAX_THREADS, 1)
                                .getMap());
    }

    /**
     * Starts serving; returns once clients can connect. From any thread.
     *
     * @throws IOException where the address is taken; may be called again
     */
    public void start() throws IOException {
        guard.onBeforeListen();
        clientHandler.listen();
        fleet.listen(worker);
        io.execute(
                () -> {
                    barrier.start(clientHandler::isAcceptFailing);
                    guard.start();
                    fleet.start();
                    endpointWatcher.follow(config);
                    clientHandler.accept();
                    maintain();
                });
        LOG.info(() -> "listening manager=" + config.name() + " address=" + config.listenAddress());
    }

    /** A new configuration (SIGHUP): only its coordinator is taken over. From any thread. */
    public void reconfigure(ManagerConfig newConfig) {
        io.execute(
                () -> {
                    counters.count("configurations reloaded");
                    LOG.info(
                            () ->
                                    "configuration reloaded coordinator="
                                            + newConfig.coordinatorAddress());
                    endpointWatcher.follow(newConfig);
                });
    }

    /** Logs the counters (SIGUSR2). From any thread. */
    public void logCounters() {
        io.execute(() -> LOG.info(() -> "counters " + counters));
    }

    /**
     * Shuts down (SIGTERM): serves on while the front still sends, answers all that was accepted,
     * then ends the program. From any thread.
     */
    public void shutDown() {
        // Counted from the signal: a thread, or a process, that is paused just then has the less
        // time left.
        long receivedAt = clock.now();
        io.execute(
                () -> {
                    long signalledAt = Math.min(receivedAt, guard.earliestArrival());
                    shutdown.begin(fleet, signalledAt + config.shutdownTimeout());
                });
    }

    private void closeAll() {
        endpointWatcher.close();
        fleet.close();
        directory.checkInvariants();
        engines.close();
        barrier.close();
    }

    private void maintain() {
        long dueNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAINTENANCE_PERIOD_MS);
        engines.closeIdleConnections();
        directory.checkInvariants();
        requests.removeIdleKeys();
        shutdown.endWhenIdle();
        loop.runLater(
                MAINTENANCE_PERIOD_MS,
                () -> {
                    loop.recordDelay("max maintenance delay, us", dueNanos);
                    maintain();
                });
    }

    private void onEngineReleased(int engine) {
        fleet.onEngineReleased(directory.id(engine));
        directory.release(engine);
    }

    @Override
    public void onRequest(
            RequestExchange exchange,
            int trafficClass,
            int tenant,
            String key,
            long estimate,
            int memoryMb,
            int tableGroup) {
        exchange.orderingKey = key;
        requestEvents.onRequest(
                new RequestEventHandler.UnsequencedRequest(
                        exchange, trafficClass, tenant, estimate, memoryMb, tableGroup));
    }

    @Override
    public void onClientGone(RequestExchange exchange) {
        requestEvents.onClientGone(exchange);
    }

    @Override
    public void onClientAbsence(RequestExchange exchange, boolean absent) {
        requestEvents.onClientPresence(exchange, absent);
    }

    @Override
    public void onAttemptProgress(
            RequestExchange exchange,
            RequestExchange.AttemptHandle attempt,
            AttemptProgress.Kind kind,
            double amount) {
        requestEvents.onAttemptProgress(exchange, attempt, kind, amount);
    }

    @Override
    public void onAttemptEnded(
            RequestExchange exchange,
            RequestExchange.AttemptHandle attempt,
            AttemptOutcome outcome,
            long duration,
            LoadReport report,
            List<byte[]> pages,
            long heldFor) {
        engines.onAttemptEnded(attempt.engine());
        requestEvents.onAttemptEnded(exchange, attempt, outcome, duration, report, pages, heldFor);
    }

    @Override
    public void onProbeResult(int engine, AttemptOutcome outcome, LoadReport report) {
        loop.dispatch(
                "probed",
                scheduler -> scheduler.onProbeResult(clock.now(), engine, outcome, report));
    }

    @Override
    public void onEndpointsUpdated(EndpointUpdate.Kind kind, List<DiscoveredEndpoint> endpoints) {
        directory.update(kind, fleet.served(kind, endpoints), fleet);
    }

    @Override
    public void onEndpointsConfirmed() {
        loop.scheduleEvaluation();
    }
}
