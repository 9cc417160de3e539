package firstage.server.engine;

import firstage.config.ManagerConfig;
import firstage.policy.api.AttemptOutcome;
import firstage.policy.api.EndpointUpdate.Lifecycle;
import firstage.policy.api.LoadReport;
import firstage.server.Counters;
import firstage.server.RequestExchange;
import firstage.server.ServerEvents;
import firstage.server.TickClock;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.xnio.XnioIoThread;

/** All engines that were listed, by their index. */
public final class EngineClients {
    private static final int READ_BUFFER = 16 * 1024;
    private static final long DEFAULT_KEEP_ALIVE = 10_000;
    final XnioIoThread io;
    final TickClock clock;
    final Counters counters;
    final ServerEvents events;
    final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BUFFER);
    final long connectTimeoutMs;
    final long probeTimeoutMs;
    final long maxIdle;
    private final int connectionLimit;
    private int connectionsInUse;
    private int lingeringAttempts;
    private boolean isShuttingDown;

    /** By the engine's index. */
    private final List<EngineConnectionPool> poolsByEngine = new ArrayList<>();

    /** Those with connections, also such as were replaced and are still asked. */
    private final Set<EngineConnectionPool> connectedPools = new HashSet<>();

    private final List<Integer> attemptsInFlight = new ArrayList<>();

    public EngineClients(
            XnioIoThread io,
            TickClock clock,
            Counters counters,
            ServerEvents events,
            ManagerConfig config) {
        this.io = io;
        this.clock = clock;
        this.counters = counters;
        this.events = events;
        connectTimeoutMs = Math.max(1, config.settings().getTicks("limits.connect_timeout") / 10);
        probeTimeoutMs = connectTimeoutMs;
        long keepAlive = config.settings().getTicks("limits.keepalive");
        maxIdle = (keepAlive > 0 ? keepAlive : DEFAULT_KEEP_ALIVE) / 2;
        connectionLimit = config.maxEngineConnections();
    }

    boolean atConnectionLimit() {
        return connectionsInUse >= connectionLimit;
    }

    /**
     * Room for one more connection; where there is none, an idle one of another engine gives way.
     */
    boolean reserveConnection() {
        if (atConnectionLimit()
                && connectedPools.stream().noneMatch(EngineConnectionPool::closeLongestIdle)) {
            counters.count("connections not had");
            return false;
        }
        connectionsInUse++;
        counters.peak("most connections to engines", connectionsInUse);
        return true;
    }

    void onConnecting(EngineConnectionPool pool) {
        connectedPools.add(pool);
    }

    void releaseConnection() {
        connectionsInUse--;
        counters.checkInvariant(connectionsInUse >= 0, "a connection is freed once");
    }

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
            poolsByEngine.set(index, new EngineConnectionPool(this, clock, endpoint.address()));
        }
    }

    /** The whole list was told: the others are gone. */
    public void retainOnly(List<Integer> indices) {
        for (int i = 0; i < poolsByEngine.size(); i++) {
            if (poolsByEngine.get(i) != null && !indices.contains(i)) {
                // Also what waits for a connection there is not written any more.
                poolsByEngine.get(i).markDraining();
                poolsByEngine.get(i).close();
            }
        }
    }

    /** Whether it was ever listed and is not forgotten. */
    public boolean isKnown(int index) {
        return index < poolsByEngine.size() && poolsByEngine.get(index) != null;
    }

    /** It left long ago; its connections ended with it. */
    public void removeEngine(int index) {
        counters.checkInvariant(
                attemptsInFlight.get(index) == 0, "an engine that is forgotten has nothing out");
        poolsByEngine.set(index, null);
    }

    /** How many engines were ever listed at once. */
    public int count() {
        return poolsByEngine.size();
    }

    /** How many dispatches are out at this engine. */
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

    /** Dispatches that are given up and whose end is proven to nobody but their keys. */
    public int lingeringAttempts() {
        return lingeringAttempts;
    }

    boolean isShuttingDown() {
        return isShuttingDown;
    }

    /** The program ends: nobody waits for proofs any more. */
    public void prepareShutdown() {
        isShuttingDown = true;
    }

    /** Connections taken are those in use, idle, or coming up, and no more than the cap. */
    public void checkInvariants() {
        int held = connectedPools.stream().mapToInt(EngineConnectionPool::connectionCount).sum();
        counters.checkInvariant(
                held == connectionsInUse && connectionsInUse <= connectionLimit,
                "connections are in use, idle or coming up");
        connectedPools.removeIf(pool -> pool.connectionCount() == 0);
    }

    public RequestExchange.AttemptHandle startAttempt(
            RequestExchange exchange, int number, int engine) {
        attemptsInFlight.set(engine, attemptsInFlight.get(engine) + 1);
        return new AttemptRunner(this, poolsByEngine.get(engine), exchange, number, engine);
    }

    public void probe(int engine) {
        counters.count("probes");
        poolsByEngine
                .get(engine)
                .startCall(
                        new EngineCall("GET /busy", null, probeTimeoutMs) {
                            @Override
                            void onResponse(EngineResponse response) {
                                events.onProbeResult(
                                        engine,
                                        response.status() == 200
                                                ? AttemptOutcome.SUCCEEDED
                                                : AttemptOutcome.FAILED,
                                        report(response));
                            }

                            @Override
                            void onFailure(Failure failure) {
                                boolean unreached =
                                        failure == Failure.CONNECTION_REFUSED
                                                || failure == Failure.CONNECT_TIMEOUT;
                                events.onProbeResult(
                                        engine,
                                        unreached
                                                ? AttemptOutcome.CONNECT_FAILED
                                                : AttemptOutcome.TIMED_OUT,
                                        null);
                            }
                        });
    }

    /** The load report of an answer, or null without one. */
    static LoadReport report(EngineResponse response) {
        String meter = response.headers().get("x-meter");
        if (meter == null) {
            return null;
        }
        double[] fields = {Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN};
        for (String pair : meter.split(";")) {
            String[] parts = pair.split(":", 2);
            int field =
                    switch (parts[0].trim()) {
                        case "active", "inflight" -> 0;
                        case "waiting", "queue" -> 1;
                        case "cpu", "util" -> 2;
                        case "x0" -> 3;
                        case "x1" -> 4;
                        default -> -1;
                    };
            try {
                if (field >= 0 && parts.length == 2) {
                    fields[field] = Double.parseDouble(parts[1].trim());
                }
            } catch (NumberFormatException fault) {
                return null;
            }
        }
        return new LoadReport(fields[0], fields[1], fields[2], fields[3], fields[4]);
    }

    public void closeIdleConnections() {
        connectedPools.forEach(EngineConnectionPool::closeIdleTooLong);
    }

    public void close() {
        List.copyOf(connectedPools).forEach(EngineConnectionPool::close);
    }
}
