package firstage.server.engine;

import firstage.config.ManagerConfig;
import firstage.config.SettingsKeys;
import firstage.policy.api.AttemptOutcome;
import firstage.policy.api.EndpointUpdate.Lifecycle;
import firstage.policy.api.LoadReport;
import firstage.server.ActionGuard;
import firstage.server.Counters;
import firstage.server.EventLog;
import firstage.server.RequestExchange;
import firstage.server.ServerEvents;
import firstage.server.TickClock;
import firstage.util.Ticks;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import org.xnio.XnioIoThread;

/**
 * The connection pools and attempts in flight of all engines that were listed, by engine index.
 * Owned by the I/O thread.
 */
public final class EngineClients {
    private static final int READ_BUFFER_BYTES = 16 * 1024;

    /**
     * Keep-alive time in ticks if the settings define none. Connections are closed when they were
     * idle for half of the keep-alive time.
     */
    private static final long DEFAULT_KEEP_ALIVE = Ticks.ofSeconds(1);

    private final EngineContext context;
    private final ConnectionBudget budget;
    private int lingeringAttempts;
    private boolean shuttingDown;

    /** Connection pools by engine index; null for an index whose engine was removed. */
    private final List<EngineConnectionPool> poolsByEngine = new ArrayList<>();

    /** Former pools of engines that were listed again, until no attempt runs there. */
    private final Set<EngineConnectionPool> retiredPools = new HashSet<>();

    private final List<Integer> attemptsInFlight = new ArrayList<>();

    /** The engine that was listed last as active at each address, until it is removed. */
    private final Map<InetSocketAddress, Integer> engineByAddress = new HashMap<>();

    public EngineClients(
            XnioIoThread io,
            TickClock clock,
            Counters counters,
            ServerEvents events,
            ActionGuard guard,
            ManagerConfig config) {
        long keepAlive = config.settings().getTicks(SettingsKeys.KEEPALIVE);
        context =
                new EngineContext(
                        io,
                        clock,
                        counters,
                        events,
                        guard,
                        ByteBuffer.allocateDirect(READ_BUFFER_BYTES),
                        Math.max(1, config.settings().getTicks(SettingsKeys.CONNECT_TIMEOUT) / 10),
                        (keepAlive > 0 ? keepAlive : DEFAULT_KEEP_ALIVE) / 2,
                        config.settings().getBoolean(SettingsKeys.MAY_HEDGE));
        budget = new ConnectionBudget(counters, config.maxEngineConnections());
    }

    /**
     * Adds a newly listed engine, or applies a change to a known one. Statements that run at the
     * engine go on, and are asked for on the connections that they have.
     *
     * @return the index of another engine that was listed at this address before, and that gets no
     *     new statements; empty if there is none
     */
    public OptionalInt updateEndpoint(int index, ServerEvents.DiscoveredEndpoint endpoint) {
        while (poolsByEngine.size() <= index) {
            poolsByEngine.add(null);
            attemptsInFlight.add(0);
        }
        EngineConnectionPool pool = poolsByEngine.get(index);
        if (pool != null && pool.runningAttempts() > 0) {
            logUpdateOfRunningAttempts(pool, endpoint);
        }
        if (endpoint.lifecycle() == Lifecycle.GONE) {
            if (pool != null) {
                pool.markDraining();
                pool.retire();
                return OptionalInt.empty();
            }
        } else if (pool != null && !needsNewPool(pool, endpoint)) {
            if (endpoint.lifecycle() == Lifecycle.DRAINING) {
                pool.markDraining();
            }
            return OptionalInt.empty();
        }
        return addPool(index, endpoint, pool);
    }

    /**
     * Returns whether new statements must not use the connections to the engine: they may lead to a
     * process that was replaced, and stay silent.
     */
    private static boolean needsNewPool(
            EngineConnectionPool pool, ServerEvents.DiscoveredEndpoint endpoint) {
        return pool.isRetired()
                || endpoint.startedAt() > pool.startedAt
                || pool.isDraining() && endpoint.lifecycle() == Lifecycle.ACTIVE
                || !pool.address.equals(endpoint.address());
    }

    private OptionalInt addPool(
            int index, ServerEvents.DiscoveredEndpoint endpoint, EngineConnectionPool former) {
        if (former != null) {
            former.markDraining();
            former.retire();
            retiredPools.add(former);
        }
        EngineConnectionPool pool =
                new EngineConnectionPool(
                        context, budget, endpoint.name(), endpoint.address(), endpoint.startedAt());
        poolsByEngine.set(index, pool);
        if (endpoint.lifecycle() != Lifecycle.ACTIVE) {
            pool.markDraining();
            return OptionalInt.empty();
        }
        retiredPools.removeIf(retired -> retired.runningAttempts() == 0);
        for (EngineConnectionPool retired : retiredPools) {
            if (retired.address.equals(pool.address)
                    && !retired.engineName.equals(pool.engineName)) {
                retired.onAddressTaken();
            }
        }
        return findPredecessor(pool, engineByAddress.put(endpoint.address(), index), index);
    }

    private void logUpdateOfRunningAttempts(
            EngineConnectionPool pool, ServerEvents.DiscoveredEndpoint endpoint) {
        context.counters()
                .eventLog()
                .log(
                        EventLog.Category.ENDPOINTS,
                        () ->
                                "endpoint updated while attempts run engine="
                                        + endpoint.name()
                                        + " lifecycle="
                                        + endpoint.lifecycle()
                                        + " address="
                                        + pool.address
                                        + " newAddress="
                                        + endpoint.address()
                                        + " startedAtMs="
                                        + Ticks.toMillis(pool.startedAt)
                                        + " newStartedAtMs="
                                        + Ticks.toMillis(endpoint.startedAt())
                                        + " runningAttempts="
                                        + pool.runningAttempts());
    }

    private OptionalInt findPredecessor(
            EngineConnectionPool pool, Integer formerEngine, int index) {
        if (formerEngine == null || formerEngine == index) {
            return OptionalInt.empty();
        }
        EngineConnectionPool formerPool = poolsByEngine.get(formerEngine);
        boolean taken =
                formerPool != null
                        && !formerPool.isAddressTaken()
                        && formerPool.address.equals(pool.address)
                        && formerPool.startedAt <= pool.startedAt;
        return taken ? OptionalInt.of(formerEngine) : OptionalInt.empty();
    }

    /**
     * Opens no more connections to an engine whose address another engine has now. The statements
     * that run there are asked for on the connections that are open.
     */
    public void onAddressTaken(int index) {
        poolsByEngine.get(index).onAddressTaken();
    }

    /** Retires the pools of all engines that are missing from a snapshot of the endpoint list. */
    public void retainOnly(Set<Integer> indices) {
        for (int i = 0; i < poolsByEngine.size(); i++) {
            if (poolsByEngine.get(i) != null && !indices.contains(i)) {
                // Statements that still wait for a connection to this engine are not sent, either.
                poolsByEngine.get(i).markDraining();
                poolsByEngine.get(i).retire();
            }
        }
    }

    /** Returns whether the engine was listed and has not been removed. */
    public boolean isKnown(int index) {
        return index < poolsByEngine.size() && poolsByEngine.get(index) != null;
    }

    /** Removes an engine that left long ago and whose connections were closed then. */
    public void removeEngine(int index) {
        context.counters()
                .checkInvariant(
                        attemptsInFlight.get(index) == 0,
                        "an engine that is released has no attempt in flight");
        EngineConnectionPool pool = poolsByEngine.get(index);
        engineByAddress.remove(pool.address, index);
        retiredPools.add(pool);
        poolsByEngine.set(index, null);
    }

    /** Returns the number of assigned engine indices, including those of removed engines. */
    public int indexCount() {
        return poolsByEngine.size();
    }

    /** Returns the number of attempts in flight at an engine. */
    public int attemptsInFlight(int engine) {
        return attemptsInFlight.get(engine);
    }

    /** Records that an attempt at the engine ended. */
    public void onAttemptEnded(int engine) {
        attemptsInFlight.set(engine, attemptsInFlight.get(engine) - 1);
    }

    void addLingering(int change) {
        lingeringAttempts += change;
    }

    /**
     * Returns the number of lingering attempts: abandoned ones for whose end only the next request
     * of their ordering key waits.
     */
    public int lingeringAttempts() {
        return lingeringAttempts;
    }

    boolean isShuttingDown() {
        return shuttingDown;
    }

    /**
     * Starts the shutdown: from now on, an abandoned attempt is reported as ended even if its
     * engine has not confirmed the end.
     */
    public void prepareShutdown() {
        shuttingDown = true;
    }

    /** Checks that each connection is counted once and that the limit is kept. */
    public void checkInvariants() {
        budget.checkInvariants();
    }

    /** Starts an attempt; {@link ServerEvents#onAttemptEnded} reports its end. */
    public RequestExchange.AttemptHandle startAttempt(
            RequestExchange exchange, int number, int engine) {
        attemptsInFlight.set(engine, attemptsInFlight.get(engine) + 1);
        return new AttemptRunner(
                this, context, poolsByEngine.get(engine), exchange, number, engine);
    }

    /** Probes an engine; {@link ServerEvents#onProbeResult} reports the result. */
    public void probe(int engine) {
        context.counters().count("probes");
        poolsByEngine
                .get(engine)
                .callOnVerifiedConnection(
                        new EngineCall(
                                null, EngineProtocol.probe(), null, context.connectTimeoutMs()) {
                            @Override
                            void onResponse(EngineResponse response) {
                                onProbed(
                                        engine,
                                        response.status() == 200
                                                ? AttemptOutcome.SUCCEEDED
                                                : AttemptOutcome.FAILED,
                                        EngineProtocol.loadReport(response));
                            }

                            @Override
                            void onFailure(Failure failure) {
                                boolean notConnected =
                                        failure == Failure.CONNECTION_REFUSED
                                                || failure == Failure.CONNECT_TIMEOUT;
                                onProbed(
                                        engine,
                                        notConnected
                                                ? AttemptOutcome.CONNECT_FAILED
                                                : AttemptOutcome.TIMED_OUT,
                                        null);
                            }
                        });
    }

    private void onProbed(int engine, AttemptOutcome outcome, LoadReport report) {
        context.events().onProbeResult(engine, outcome, report);
    }

    /** Closes connections that were idle for too long. */
    public void closeExpiredConnections() {
        budget.closeExpired();
    }

    /** Closes the idle connections now, and the others when their calls end. */
    public void close() {
        budget.closeAll();
    }
}
