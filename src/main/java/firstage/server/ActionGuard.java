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
 * Guards the actions that must not rely on knowledge from before a pause of the process: sending a
 * statement, closing a connection on which nothing arrived, and giving up a wait for input. All
 * such actions go through this class. It counts the sends that it refuses, by reason, and the sends
 * that prove to have been wrong. Owned by the I/O thread; times are ticks.
 */
public final class ActionGuard {
    private static final Logger LOG = Logger.getLogger(ActionGuard.class.getName());

    private final XnioIoThread io;
    private final TickClock clock;
    private final Counters counters;
    private final ReadBarrier barrier;
    private final IoThreadMonitor monitor;
    private PauseDetector pauseDetector;

    public ActionGuard(
            XnioIoThread io,
            TickClock clock,
            Counters counters,
            ReadBarrier barrier,
            IoThreadMonitor monitor) {
        this.io = io;
        this.clock = clock;
        this.counters = counters;
        this.barrier = barrier;
        this.monitor = monitor;
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
        if (barrier.isAcceptFailing()) {
            barrier.runAfterPendingReads(this::onBarrierPassed);
        } else {
            pauseDetector.onBacklogRead(clock.now());
        }
    }

    /** Records that pending connections can't be accepted, so that input on them is not read. */
    public void onAcceptFailed() {
        pauseDetector.onReadsBlocked(clock.now());
    }

    /**
     * Records that nothing can have arrived before now; called just before the program listens for
     * clients.
     */
    public void onBeforeListen() {
        pauseDetector = newPauseDetector();
    }

    /** Starts to detect pauses; called on the I/O thread. */
    public void start() {
        monitor.onHeartbeat();
        pauseDetector.onHeartbeat(clock.now());
        io.executeAfter(this::start, PauseDetector.HEARTBEAT_INTERVAL / 10, TimeUnit.MILLISECONDS);
    }

    /** Returns the earliest moment at which input that is read now can have arrived. */
    public long earliestArrival() {
        return pauseDetector.earliestArrival(clock.now());
    }

    /** Returns whether some input that arrived during a pause may not be read yet. */
    public boolean isCatchingUp() {
        return pauseDetector.isCatchingUp(clock.now());
    }

    /** Runs an action once all input that has arrived until now is read and handled. */
    public void runAfterPendingReads(Runnable action) {
        barrier.runAfterPendingReads(action);
    }

    /**
     * Schedules an action that ends or repeats something because no input came in time. The action
     * runs after {@code ms} milliseconds, once all input that arrived in that time has been read.
     *
     * @return a key that cancels the action if it has not run yet
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
     * Reads all pending input of the client's connection, and returns the known state of the
     * request.
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

    /** Counts and records a statement that was not written. */
    public void onSendRefused(RequestExchange exchange, Verdict reason, int attempt, int engine) {
        counters.count("sends refused " + reason);
        counters.eventLog()
                .log(
                        EventLog.Category.ATTEMPTS,
                        () ->
                                "statement not sent "
                                        + exchange.describe()
                                        + " attempt="
                                        + attempt
                                        + " reason="
                                        + reason);
        counters.recorder()
                .record(EventType.SEND_REFUSED, exchange.id, reason.name(), attempt, engine);
    }

    /**
     * Records that a statement was written, and checks the age of the knowledge that the send
     * relied on.
     */
    public void onStatementSent(RequestExchange exchange, Knowledge knowledge) {
        long now = clock.now();
        counters.recordMax("max age of knowledge at a send, us", (now - knowledge.asOf()) * 100);
        if (now - knowledge.asOf() > 2 * SendGuard.MAX_KNOWLEDGE_AGE) {
            counters.count("statements sent on stale knowledge");
        }
        reportLateness(exchange, exchange.departureMonitor.onStatementSent(now));
    }

    /**
     * Records that the client closed its connection or cancelled; the event was read just now.
     *
     * @param notBefore the time before which the client can't have left, as its connection was open
     *     or it could not cancel yet
     */
    public void onClientLeft(RequestExchange exchange, long notBefore) {
        long earliest = Math.max(earliestArrival(), notBefore);
        reportLateness(exchange, exchange.departureMonitor.onClientLeft(earliest));
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
