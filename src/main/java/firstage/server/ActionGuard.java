package firstage.server;

import firstage.lifecycle.PauseDetector;
import firstage.lifecycle.SendGuard;
import firstage.lifecycle.SendGuard.Knowledge;
import firstage.lifecycle.SendGuard.Verdict;
import firstage.server.FlightRecorder.EventType;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * The one place through which statements are sent and sent again, connections are closed for lack
 * of input, and what waits for input is given up: none of it is done on what was known before a
 * pause. Counts what it refuses, by reason, and what proves to have passed wrongly. Owned by the
 * I/O thread; times are ticks.
 */
public final class ActionGuard {
    private static final Logger LOG = Logger.getLogger(ActionGuard.class.getName());

    private final XnioIoThread io;
    private final TickClock clock;
    private final Counters counters;
    private final ReadBarrier barrier;
    private PauseDetector pauseDetector;

    public ActionGuard(XnioIoThread io, TickClock clock, Counters counters, ReadBarrier barrier) {
        this.io = io;
        this.clock = clock;
        this.counters = counters;
        this.barrier = barrier;
        pauseDetector = newPauseDetector();
    }

    private PauseDetector newPauseDetector() {
        return new PauseDetector(this::requestBacklogBarrier, clock.now());
    }

    private void requestBacklogBarrier() {
        counters.count("pauses");
        barrier.runAfterPendingReads(this::onBarrierPassed);
    }

    private void onBarrierPassed() {
        if (barrier.acceptsFail()) {
            barrier.runAfterPendingReads(this::onBarrierPassed);
        } else {
            pauseDetector.onBacklogRead(clock.now());
        }
    }

    /** Connections wait that can't be accepted: what comes on them is not read. */
    public void onAcceptFailed() {
        pauseDetector.onReadsBlocked(clock.now());
    }

    /** Nothing can have arrived before now: called just before this program listens. */
    public void onBeforeListen() {
        pauseDetector = newPauseDetector();
    }

    /** Begins to watch for pauses; on the I/O thread. */
    public void start() {
        pauseDetector.onBeat(clock.now());
        io.executeAfter(this::start, PauseDetector.BEAT_INTERVAL / 10, TimeUnit.MILLISECONDS);
    }

    /** The earliest moment at which something that is read now can have arrived. */
    public long earliestArrival() {
        return pauseDetector.earliestArrival(clock.now());
    }

    /** Whether what arrived during a pause is not all read yet. */
    public boolean isCatchingUp() {
        return pauseDetector.isCatchingUp(clock.now());
    }

    /** Calls back once all that has arrived until now is read, and its events are handled. */
    public void runAfterPendingReads(Runnable action) {
        barrier.runAfterPendingReads(action);
    }

    /**
     * Runs an action that ends or repeats something because nothing came in time: after so many
     * milliseconds, and after what came in that time has been read.
     *
     * @return cancels the action until it runs
     */
    public XnioExecutor.Key executeAfter(long ms, Runnable action) {
        Timeout timeout = new Timeout(action);
        timeout.timer = io.executeAfter(timeout::onElapsed, ms, TimeUnit.MILLISECONDS);
        return timeout;
    }

    private final class Timeout implements XnioExecutor.Key {
        private final Runnable action;
        private XnioExecutor.Key timer;
        private boolean finished;

        private Timeout(Runnable action) {
            this.action = action;
        }

        private void onElapsed() {
            barrier.runAfterPendingReads(
                    () -> {
                        if (!finished) {
                            finished = true;
                            action.run();
                        }
                    });
        }

        @Override
        public boolean remove() {
            boolean pending = !finished;
            finished = true;
            timer.remove();
            return pending;
        }
    }

    /**
     * Reads what lies unread on the client's connection, and returns what is known of the request.
     */
    public Knowledge inspect(RequestExchange exchange, boolean attemptOpen, boolean engineAccepts) {
        long clientSeenAt = exchange.confirmClient(clock.now());
        return new Knowledge(
                attemptOpen,
                engineAccepts,
                exchange.isSettled(),
                exchange.clientAbsent,
                clientSeenAt,
                barrier.readAsOf(),
                exchange.deadline);
    }

    /** Counts a statement that is not written. */
    public void onSendRefused(RequestExchange exchange, Verdict reason, int attempt, int engine) {
        counters.count("sends refused " + reason);
        counters.recorder()
                .record(EventType.SEND_REFUSED, exchange.id, reason.name(), attempt, engine);
    }

    /** A statement was written, on this knowledge. */
    public void onStatementSent(RequestExchange exchange, Knowledge knowledge) {
        long now = clock.now();
        counters.peak("max age of knowledge at a send, us", (now - knowledge.asOf()) * 100);
        if (now - knowledge.asOf() > 2 * SendGuard.MAX_KNOWLEDGE_AGE) {
            counters.count("statements sent on stale knowledge");
        }
        reportLateness(exchange, exchange.departures.onStatementSent(now));
    }

    /**
     * The client closed its connection, or cancelled; this was read just now.
     *
     * @param notBefore it can't have left earlier: its connection was open, or it could not cancel
     */
    public void onClientLeft(RequestExchange exchange, long notBefore) {
        long earliest = Math.max(earliestArrival(), notBefore);
        reportLateness(exchange, exchange.departures.onClientLeft(earliest));
    }

    private void reportLateness(RequestExchange exchange, long lateness) {
        if (lateness > 0) {
            counters.count("violations: statements sent after their client left");
            LOG.severe(
                    "violation: statement sent after its client left request="
                            + exchange.id
                            + " lateByMs="
                            + lateness / 10
                            + " now="
                            + clock.now()
                            + " readAsOf="
                            + barrier.readAsOf());
        }
    }
}
