package firstage.server.engine;

import firstage.config.ManagerConfig;
import firstage.config.SettingsKeys;
import firstage.policy.api.AttemptOutcome;
import firstage.policy.api.EndpointUpdate.Lifecycle;
import firstage.policy.api.LoadReport;
import firstage.server.ActionGuard;
import firstage.server.Counters;
import firstage.server.RequestExchange;
import firstage.server.ServerEvents;
import firstage.server.TickClock;
import firstage.util.Ticks;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.xnio.XnioIoThread;

/**
 * The connections and attempts of all engines that were listed, by the engines' indices. Owned by
 * the I/O thread.
 */
public final class EngineClients {
    private static final int READ_BUFFER_BYTES = 16 * 1024;
    private static final long DEFAULT_KEEP_ALIVE = Ticks.ofSeconds(1);

    private final EngineContext context;
    private final ConnectionBudget budget;
    private int lingeringAttempts;
    private boolean shuttingDown;

    /** By the engine's index; null where it is released. */
    private final List<EngineConnectionPool> poolsByEngine = new ArrayList<>();

    private final List<Integer> attemptsInFlight = new ArrayList<>();

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
                        (keepAlive > 0 ? keepAlive : DEFAULT_KEEP_ALIVE) / 2);
        budget = new ConnectionBudget(counters, config.maxEngineConnections());
    }

    /** An engine was listed, or changed. */
    public void updateEndpoint(int index, ServerEvents.DiscoveredEndpoint endpoint) {
        while (poolsByEngine.size() <= index) {
            poolsByEngine.add(null);
            attemptsInFlight.add(0);
        }
        EngineConnectionPool pool = poolsByEngine.get(index);
        if (endpoint.lifecycle() != Lifecycle.ACTIVE && pool != null) {
            pool.markDraining();
        }
        if (endpoint.lifecycle() == Lifecycle.GONE && pool != null) {
            pool.close();
        } else if (pool == null
                || pool.closed()
                || pool.isDraining() && endpoint.lifecycle() == Lifecycle.ACTIVE
                || !pool.address.equals(endpoint.address())) {
            if (pool != null) {
                pool.close();
            }
            poolsByEngine.set(index, new EngineConnectionPool(context, budget, endpoint.address()));
        }
    }

    /** The whole list came: engines that are not in it are gone. */
    public void retainOnly(List<Integer> indices) {
        for (int i = 0; i < poolsByEngine.size(); i++) {
            if (poolsByEngine.get(i) != null && !indices.contains(i)) {
                // Also what waits for a connection there is not written any more.
                poolsByEngine.get(i).markDraining();
                poolsByEngine.get(i).close();
            }
        }
    }

    /** Whether it was ever listed and is not released. */
    public boolean isKnown(int index) {
        return index < poolsByEngine.size() && poolsByEngine.get(index) != null;
    }

    /** The engine left long ago; its connections ended with it. */
    public void removeEngine(int index) {
        context.counters()
                .checkInvariant(
                        attemptsInFlight.get(index) == 0,
                        "an engine that is released has no attempt in flight");
        poolsByEngine.set(index, null);
    }

    /** How many engines were ever listed at once. */
    public int count() {
        return poolsByEngine.size();
    }

    /** How many attempts are in flight at this engine. */
    public int attemptsInFlight(int engine) {
        return attemptsInFlight.get(engine);
    }

    /** One of them ended. */
    public void onAttemptEnded(int engine) {
        attemptsInFlight.set(engine, attemptsInFlight.get(engine) - 1);
    }

    void addLingering(int difference) {
        lingeringAttempts += difference;
    }

    /** Abandoned attempts that nobody waits for but the next request of their ordering keys. */
    public int lingeringAttempts() {
        return lingeringAttempts;
    }

    boolean isShuttingDown() {
        return shuttingDown;
    }

    /** The program shuts down: attempts end without proof from here on. */
    public void prepareShutdown() {
        shuttingDown = true;
    }

    /** Checks that connections are counted once, and within the limit. */
    public void checkInvariants() {
        budget.checkInvariants();
    }

    /** Starts an attempt; it ends by {@link ServerEvents#onAttemptEnded}. */
    public RequestExchange.AttemptHandle startAttempt(
            RequestExchange exchange, int number, int engine) {
        attemptsInFlight.set(engine, attemptsInFlight.get(engine) + 1);
        return new AttemptRunner(
                this, context, poolsByEngine.get(engine), exchange, number, engine);
    }

    /** Probes an engine; the answer comes by {@link ServerEvents#onProbeResult}. */
    public void probe(int engine) {
        context.counters().count("probes");
        poolsByEngine
                .get(engine)
                .startCall(
                        new EngineCall(EngineProtocol.probe(), null, context.connectTimeoutMs()) {
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
                                boolean unreached =
                                        failure == Failure.CONNECTION_REFUSED
                                                || failure == Failure.CONNECT_TIMEOUT;
                                onProbed(
                                        engine,
                                        unreached
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
    public void closeIdleConnections() {
        budget.closeIdleTooLong();
    }

    /** Closes idle connections now, the others when their calls end. */
    public void close() {
        budget.closeAll();
    }
}
