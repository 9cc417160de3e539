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
    private static final long DEFAULT_KEEPALIVE = 10_000;
    final XnioIoThread io;
    final TickClock clock;
    final Counters counters;
    final ServerEvents tidings;
    final ByteBuffer shared = ByteBuffer.allocateDirect(READ_BUFFER);
    final long connectMs;
    final long probeMs;
    final long mostIdle;
    private final int cap;
    private int slots;
    private int lingering;
    private boolean closing;

    /** By the engine's index. */
    private final List<EngineConnectionPool> links = new ArrayList<>();

    /** Those with connections, also such as were replaced and are still asked. */
    private final Set<EngineConnectionPool> connected = new HashSet<>();

    private final List<Integer> out = new ArrayList<>();

    public EngineClients(
            XnioIoThread io,
            TickClock clock,
            Counters counters,
            ServerEvents tidings,
            ManagerConfig assignment) {
        this.io = io;
        this.clock = clock;
        this.counters = counters;
        this.tidings = tidings;
        connectMs = Math.max(1, assignment.settings().getTicks("limits.connect_timeout") / 10);
        probeMs = connectMs;
        long keepalive = assignment.settings().getTicks("limits.keepalive");
        mostIdle = (keepalive > 0 ? keepalive : DEFAULT_KEEPALIVE) / 2;
        cap = assignment.maxEngineConnections();
    }

    boolean full() {
        return slots >= cap;
    }

    /**
     * Room for one more connection; where there is none, an idle one of another engine gives way.
     */
    boolean takeSlot() {
        if (full() && connected.stream().noneMatch(EngineConnectionPool::closeOldest)) {
            counters.count("connections not had");
            return false;
        }
        slots++;
        counters.peak("most connections to engines", slots);
        return true;
    }

    void opens(EngineConnectionPool link) {
        connected.add(link);
    }

    void freeSlot() {
        slots--;
        counters.hold(slots >= 0, "a connection is freed once");
    }

    public void listed(int index, ServerEvents.Listed e) {
        while (links.size() <= index) {
            links.add(null);
            out.add(0);
        }
        EngineConnectionPool link = links.get(index);
        if (e.standing() != Lifecycle.ACTIVE && link != null) {
            link.leaving();
        }
        if (e.standing() == Lifecycle.GONE && link != null) {
            link.close();
        } else if (link == null
                || link.closed()
                || link.isLeaving() && e.standing() == Lifecycle.ACTIVE
                || !link.address.equals(e.address())) {
            if (link != null) {
                link.close();
            }
            links.set(index, new EngineConnectionPool(this, clock, e.address()));
        }
    }

    /** The whole list was told: the others are gone. */
    public void keepOnly(List<Integer> indices) {
        for (int i = 0; i < links.size(); i++) {
            if (links.get(i) != null && !indices.contains(i)) {
                // Also what waits for a connection there is not written any more.
                links.get(i).leaving();
                links.get(i).close();
            }
        }
    }

    /** Whether it was ever listed and is not forgotten. */
    public boolean listed(int index) {
        return index < links.size() && links.get(index) != null;
    }

    /** It left long ago; its connections ended with it. */
    public void forget(int index) {
        counters.hold(out.get(index) == 0, "an engine that is forgotten has nothing out");
        links.set(index, null);
    }

    /** How many engines were ever listed at once. */
    public int count() {
        return links.size();
    }

    /** How many dispatches are out at this engine. */
    public int out(int engine) {
        return out.get(engine);
    }

    /** One of them ended. */
    public void ended(int engine) {
        out.set(engine, out.get(engine) - 1);
    }

    void lingers(int more) {
        lingering += more;
    }

    /** Dispatches that are given up and whose end is proven to nobody but their keys. */
    public int lingering() {
        return lingering;
    }

    boolean closing() {
        return closing;
    }

    /** The program ends: nobody waits for proofs any more. */
    public void closingSoon() {
        closing = true;
    }

    /** Connections taken are those in use, idle, or coming up, and no more than the cap. */
    public void check() {
        int held = connected.stream().mapToInt(EngineConnectionPool::held).sum();
        counters.hold(held == slots && slots <= cap, "connections are in use, idle or coming up");
        connected.removeIf(link -> link.held() == 0);
    }

    public RequestExchange.Dispatch dispatch(RequestExchange x, int number, int engine) {
        out.set(engine, out.get(engine) + 1);
        return new AttemptRunner(this, links.get(engine), x, number, engine);
    }

    public void probe(int engine) {
        counters.count("probes");
        links.get(engine)
                .start(
                        new EngineCall("GET /busy", null, probeMs) {
                            @Override
                            void answered(EngineResponse r) {
                                tidings.probed(
                                        engine,
                                        r.status() == 200
                                                ? AttemptOutcome.SUCCEEDED
                                                : AttemptOutcome.FAILED,
                                        report(r));
                            }

                            @Override
                            void failed(Failure f) {
                                boolean unreached = f == Failure.REFUSED || f == Failure.UNREACHED;
                                tidings.probed(
                                        engine,
                                        unreached
                                                ? AttemptOutcome.CONNECT_FAILED
                                                : AttemptOutcome.TIMED_OUT,
                                        null);
                            }
                        });
    }

    /** The load report of an answer, or null without one. */
    static LoadReport report(EngineResponse r) {
        String meter = r.headers().get("x-meter");
        if (meter == null) {
            return null;
        }
        double[] told = {Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN};
        for (String pair : meter.split(";")) {
            String[] parts = pair.split(":", 2);
            int at =
                    switch (parts[0].trim()) {
                        case "active", "inflight" -> 0;
                        case "waiting", "queue" -> 1;
                        case "cpu", "util" -> 2;
                        case "x0" -> 3;
                        case "x1" -> 4;
                        default -> -1;
                    };
            try {
                if (at >= 0 && parts.length == 2) {
                    told[at] = Double.parseDouble(parts[1].trim());
                }
            } catch (NumberFormatException fault) {
                return null;
            }
        }
        return new LoadReport(told[0], told[1], told[2], told[3], told[4]);
    }

    public void sweep() {
        connected.forEach(EngineConnectionPool::sweep);
    }

    public void close() {
        List.copyOf(connected).forEach(EngineConnectionPool::close);
    }
}
