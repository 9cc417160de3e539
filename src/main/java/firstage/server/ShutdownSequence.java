package firstage.server;

import firstage.server.client.ClientHandler;
import firstage.server.engine.EngineClients;
import java.util.logging.Logger;

/**
 * The way from SIGTERM to the end of the program. Owned by the I/O thread.
 *
 * <table>
 * <caption>Phases</caption>
 * <tr><td>SERVING</td><td>no SIGTERM came yet</td></tr>
 * <tr><td>ACCEPTING</td><td>SIGTERM came; the front still sends, requests are accepted</td></tr>
 * <tr><td>DRAINING</td><td>until all requests are answered and all attempts ended</td></tr>
 * <tr><td>STOPPING</td><td>all is idle: one grace period, then the listener is closed and what had
 *     come is read; back to DRAINING where that was a request</td></tr>
 * </table>
 */
final class ShutdownSequence {
    private static final Logger LOG = Logger.getLogger(ShutdownSequence.class.getName());

    /** The front goes on sending for at most 0.6 s after a SIGTERM. */
    private static final long ACCEPT_AFTER_SIGTERM_MS = 700;

    /** Ticks that the last answers may need on their way. */
    private static final long LAST_RESPONSES_ALLOWANCE = 5_000;

    /** Attempts that were abandoned end within this. */
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

    /** {@code closeAll}: closes what the manager holds and checks that nothing is left. */
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
     * SIGTERM. The first counts; a second changes nothing: it must not move the planned end past
     * the SIGKILL that follows the first.
     *
     * @param fleet is told that this manager leaves
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
                "closing",
                scheduler ->
                        scheduler.onShutdown(
                                clock.now(), killDeadline - LAST_RESPONSES_ALLOWANCE));
        loop.runLater(
                ACCEPT_AFTER_SIGTERM_MS,
                () -> {
                    phase = Phase.DRAINING;
                    clientHandler.onFrontStopped(clock.now());
                    endWhenIdle();
                });
    }

    /** Asked after each evaluation, and now and then. */
    void endWhenIdle() {
        if (phase == Phase.DRAINING && isIdle()) {
            phase = Phase.STOPPING;
            loop.runLater(ABANDONED_ATTEMPTS_GRACE_MS, this::stopAccepting);
        }
    }

    private boolean isIdle() {
        return requests.openRequests() == 0
                && requestEvents.undelivered() == 0
                && requests.attemptsInFlight() == engines.lingeringAttempts()
                && clientHandler.isIdle();
    }

    /**
     * New connections are accepted until here, and what came on any is read before the end: else
     * the last answer would be lost with its connection, and its client, which asks for it at once
     * on a new one, refused.
     */
    private void stopAccepting() {
        if (isIdle()) {
            clientHandler.close();
            barrier.runAfterPendingReads(this::end);
        } else {
            phase = Phase.DRAINING;
        }
    }

    private void end() {
        if (!isIdle()) {
            phase = Phase.DRAINING;
            return;
        }
        // A request that came after this would be read, forwarded, and lost with the process.
        clientHandler.closeIdleConnections();
        if (!isIdle()) {
            phase = Phase.DRAINING;
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
            // Not on this thread: the exit waits for hooks, and sockets still flush here.
            new Thread(() -> System.exit(status), "exit").start();
        }
    }
}
