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
 * A workload manager: creates its components, starts them and handles signals. All components run
 * on one I/O thread, named {@code firstage I/O-1}; only the constructor and the public methods that
 * say so may be called from other threads. Events of clients, engines and discovery are passed on
 * to the component that handles them; this class makes no decisions.
 */
public final class ManagerServer implements ServerEvents {
    private static final Logger LOG = Logger.getLogger(ManagerServer.class.getName());
    private static final long MAINTENANCE_PERIOD_MS = 1_000;

    private final ManagerConfig config;
    private final TickClock clock = new TickClock();
    private final EventLog eventLog = new EventLog(System.err);
    private final Counters counters = new Counters(eventLog);
    private final XnioWorker worker;
    private final XnioIoThread io;
    private final IoThreadMonitor monitor;
    private final SelectorPass selectorPass;
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
     * Creates a manager that does not listen yet.
     *
     * @param peers the configuration of the other managers; null if there are none, and then no
     *     class of the fleet control is loaded
     */
    public ManagerServer(ManagerConfig config, PeerConfig peers) throws IOException {
        this.config = config;
        worker = createWorker();
        io = worker.getIoThread();
        monitor = new IoThreadMonitor(counters);
        selectorPass = new SelectorPass(io, counters);
        ClientWork clientWork = new ClientWork(io, selectorPass, counters, monitor);
        barrier = new ReadBarrier(io, clock, counters, selectorPass, clientWork);
        guard = new ActionGuard(io, clock, counters, barrier, monitor);
        engines = new EngineClients(io, clock, counters, this, guard, config);
        clientHandler =
                new ClientHandler(io, clock, counters, this, guard, clientWork, monitor, config);
        endpointWatcher =
                new EndpointWatcher(
                        io, clock, counters, this, guard, selectorPass, monitor, config);
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
        loop.attach(scheduler, fleet::updateQuotaShare, shutdown::endIfIdle);
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
     * Starts serving; returns once clients can connect. May be called from any thread.
     *
     * @throws IOException if the address is in use; the method may then be called again
     */
    public void start() throws IOException {
        guard.onBeforeListen();
        clientHandler.listen();
        fleet.listen(worker);
        io.execute(
                () -> {
                    selectorPass.start();
                    barrier.start(clientHandler::isAcceptFailing);
                    guard.start();
                    fleet.start();
                    endpointWatcher.follow(config);
                    clientHandler.startAccepting();
                    maintain();
                });
        monitor.watch();
        LOG.info(() -> "listening manager=" + config.name() + " address=" + config.listenAddress());
    }

    /**
     * Applies a new configuration (SIGHUP), of which only the coordinator is used. May be called
     * from any thread.
     */
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

    /** Logs the counters (SIGUSR2). May be called from any thread. */
    public void logCounters() {
        io.execute(() -> LOG.info(() -> "counters " + counters));
    }

    /**
     * Shuts down (SIGTERM): keeps serving while the front still sends requests, answers all
     * accepted requests, then ends the program. May be called from any thread.
     */
    public void shutDown() {
        // The shutdown timeout counts from the signal: a pause of the thread or the process at
        // that moment shortens the time that is left.
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
        selectorPass.close();
        eventLog.close();
    }

    private void maintain() {
        long dueNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAINTENANCE_PERIOD_MS);
        engines.closeExpiredConnections();
        directory.checkInvariants();
        requests.removeIdleKeys();
        eventLog.reportSuppressed();
        shutdown.endIfIdle();
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
            String orderingKey,
            long estimate,
            int memoryMb,
            int tableGroup) {
        exchange.orderingKey = orderingKey;
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
        requestEvents.onClientAbsence(exchange, absent);
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
    public void onAttemptEndConfirmed(
            RequestExchange exchange, RequestExchange.AttemptHandle attempt) {
        requestEvents.onAttemptEndConfirmed(exchange, attempt);
    }

    @Override
    public void onProbeResult(int engine, AttemptOutcome outcome, LoadReport report) {
        loop.dispatch(
                "probed",
                scheduler -> scheduler.onProbeResult(clock.now(), engine, outcome, report));
    }

    @Override
    public void onEndpointsUpdated(EndpointUpdate.Kind kind, List<DiscoveredEndpoint> endpoints) {
        directory.update(kind, fleet.usableEndpoints(kind, endpoints), fleet);
    }

    @Override
    public void onEndpointsConfirmed() {
        loop.scheduleEvaluation();
    }
}
