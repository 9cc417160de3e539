package firstage.server;

import firstage.server.client.ClientHandler;
import firstage.server.engine.EngineClients;
import java.util.logging.Logger;

/**
 * Steps of a shutdown, from SIGTERM to the end of the program. Owned by the I/O thread.
 *
 * <table>
 * <caption>Phases</caption>
 * <tr><td>SERVING</td><td>no SIGTERM was received yet</td></tr>
 * <tr><td>ACCEPTING</td><td>SIGTERM was received; the front still sends requests, which are
 *     accepted</td></tr>
 * <tr><td>DRAINING</td><td>open requests are answered, and attempts in flight end</td></tr>
 * <tr><td>STOPPING</td><td>the manager is idle: after a grace period the listener is closed and all
 *     input that had arrived is read; back to DRAINING if the input contained a request</td></tr>
 * </table>
 */
final class ShutdownSequence {
    private static final Logger LOG = Logger.getLogger(ShutdownSequence.class.getName());

    /**
     * Time for which new requests are expected after a SIGTERM; the front goes on sending for at
     * most 0.6 s.
     */
    private static final long ACCEPT_AFTER_SIGTERM_MS = 700;

    /** Time, in ticks, that the last answers may take to reach their clients: 0.5 s. */
    private static final long LAST_RESPONSES_ALLOWANCE = 5_000;

    /** Time within which abandoned attempts end. */
    private static final long ABANDONED_ATTEMPTS_GRACE_MS = 50;

    private enum Phase {
        SERVING,
        ACCEPTING,
        DRAINING,
        STOPPING
    }

    private final TickClock clock;
    private final Counters counters;
    private final ReadBarrier barrier;
    private final SchedulerLoop loop;
    private final RequestRegistry requests;
    private final RequestEventHandler requestEvents;
    private final EngineClients engines;
    private final ClientHandler clientHandler;
    private final Runnable closeAll;
    private Phase phase = Phase.SERVING;

    /**
     * Creates the sequence in its first phase.
     *
     * @param closeAll closes all resources of the manager and checks their invariants
     */
    ShutdownSequence(
            TickClock clock,
            Counters counters,
            ReadBarrier barrier,
            SchedulerLoop loop,
            RequestRegistry requests,
            RequestEventHandler requestEvents,
            EngineClients engines,
            ClientHandler clientHandler,
            Runnable closeAll) {
        this.clock = clock;
        this.counters = counters;
        this.barrier = barrier;
        this.loop = loop;
        this.requests = requests;
        this.requestEvents = requestEvents;
        this.engines = engines;
        this.clientHandler = clientHandler;
        this.closeAll = closeAll;
    }

    /**
     * Starts the shutdown on the first SIGTERM. A repeated SIGTERM is only counted: it must not
     * move the planned end past the SIGKILL that follows the first one.
     *
     * @param fleet the fleet control, which is informed that this manager leaves
     * @param killDeadline when the process may be killed, in ticks
     */
    void begin(FleetControl fleet, long killDeadline) {
        if (phase != Phase.SERVING) {
            counters.count("repeated shutdown signals");
            return;
        }
        phase = Phase.ACCEPTING;
        engines.prepareShutdown();
        LOG.info(() -> "shutdown started openRequests=" + requests.openRequests());
        fleet.leave();
        loop.dispatch(
                "shutdown",
                scheduler ->
                        scheduler.onShutdown(clock.now(), killDeadline - LAST_RESPONSES_ALLOWANCE));
        loop.runLater(
                ACCEPT_AFTER_SIGTERM_MS,
                () -> {
                    phase = Phase.DRAINING;
                    clientHandler.onFrontStopped(clock.now());
                    endIfIdle();
                });
    }

    /**
     * Starts the last phase if the manager drains and is idle. Called after each evaluation and
     * periodically.
     */
    void endIfIdle() {
        if (phase == Phase.DRAINING && isIdle()) {
            phase = Phase.STOPPING;
            loop.runLater(ABANDONED_ATTEMPTS_GRACE_MS, this::stopAccepting);
        }
    }

    private boolean isIdle() {
        return requests.openRequests() == 0
                && requestEvents.undeliveredCount() == 0
                && requests.attemptsInFlight() == engines.lingeringAttempts()
                && clientHandler.isIdle();
    }

    /**
     * Closes the listener. Connections are accepted until now, and their input is read before the
     * end. Otherwise a client whose connection broke before it received the last answer, and which
     * asks for the answer at once on a new connection, would be refused.
     */
    private void stopAccepting() {
        if (isIdle()) {
            clientHandler.stopAccepting();
            barrier.runAfterPendingCalls(this::end);
        } else {
            phase = Phase.DRAINING;
        }
    }

    private void end() {
        if (!isIdle()) {
            phase = Phase.DRAINING;
            return;
        }
        // A request that arrived later on one of these connections would be read, forwarded, and
        // lost with the process.
        clientHandler.closeIdleConnections();
        if (!isIdle()) {
            phase = Phase.DRAINING;
            return;
        }
        if (clientHandler.hasQueuedCalls()) {
            barrier.runAfterPendingCalls(this::end);
            return;
        }
        boolean invariantsHold = false;
        try {
            closeAll.run();
            counters.checkInvariant(
                    requests.attemptsInFlight() == engines.lingeringAttempts(),
                    "no attempt is in flight at the end but those that linger");
            requests.checkAllEnded();
            invariantsHold = true;
        } finally {
            System.err.println("end: " + counters);
            int status = invariantsHold ? 0 : 1;
            // The exit runs on another thread, as it waits for shutdown hooks while this thread
            // still flushes sockets.
            new Thread(() -> System.exit(status), "exit").start();
        }
    }
}
