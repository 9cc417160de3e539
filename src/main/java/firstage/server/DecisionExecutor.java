package firstage.server;

import firstage.policy.api.PolicyActions;
import firstage.server.engine.EngineClients;
import java.util.List;
import java.util.function.IntConsumer;
import java.util.logging.Logger;

/**
 * Carries out the scheduler's decisions at engines and clients. Makes no decisions itself. Owned by
 * the I/O thread.
 */
final class DecisionExecutor implements PolicyActions {
    private static final Logger LOG = Logger.getLogger(DecisionExecutor.class.getName());

    private final SchedulerLoop loop;
    private final RequestRegistry requests;
    private final EngineClients engines;
    private final IntConsumer onEngineReleased;

    /**
     * Creates an executor that acts on these components.
     *
     * @param onEngineReleased called with the index of each engine that the scheduler has released
     */
    DecisionExecutor(
            SchedulerLoop loop,
            RequestRegistry requests,
            EngineClients engines,
            IntConsumer onEngineReleased) {
        this.loop = loop;
        this.requests = requests;
        this.engines = engines;
        this.onEngineReleased = onEngineReleased;
    }

    @Override
    public void setGrantAndPriority(int request, int grantMb, int priority) {
        RequestExchange exchange = requests.find(request);
        exchange.grantMb = grantMb;
        exchange.priority = priority;
        exchange.attemptsInFlight.forEach(attempt -> attempt.updatePriority(priority));
    }

    @Override
    public void startAttempt(int request, int engine, long timeout) {
        RequestExchange exchange = requests.find(request);
        requests.onAttemptStarted(exchange, engine);
        RequestExchange.AttemptHandle attempt =
                engines.startAttempt(exchange, exchange.attemptsStarted++, engine);
        exchange.attemptsInFlight.add(attempt);
        if (timeout > 0) {
            loop.runLater(
                    timeout / 10,
                    () -> {
                        if (exchange.attemptsInFlight.contains(attempt)) {
                            attempt.abandon(AbandonReason.ATTEMPT_TIMEOUT);
                        }
                    });
        }
    }

    @Override
    public void cancelAttempt(int request, int attemptNumber) {
        for (RequestExchange.AttemptHandle attempt :
                List.copyOf(requests.find(request).attemptsInFlight)) {
            if (attempt.number() == attemptNumber) {
                attempt.abandon(AbandonReason.CANCELLED_BY_SCHEDULER);
            }
        }
    }

    @Override
    public void reject(int request, long retryAfter) {
        RequestExchange exchange = requests.find(request);
        if (exchange.reject(retryAfter)) {
            requests.onRequestEnded(RequestRegistry.RequestOutcome.REJECTED, exchange);
        }
        exchange.abandonAttempts(AbandonReason.REQUEST_REJECTED);
    }

    @Override
    public void fail(int request) {
        RequestExchange exchange = requests.find(request);
        if (exchange.fail()) {
            requests.onRequestEnded(RequestRegistry.RequestOutcome.FAILED, exchange);
        }
    }

    @Override
    public void releaseRequest(int request) {
        requests.releaseRequest(request);
    }

    @Override
    public void releaseKey(int key) {
        requests.releaseKey(key);
    }

    @Override
    public void releaseEngine(int engine) {
        onEngineReleased.accept(engine);
    }

    @Override
    public void probeEngine(int engine) {
        engines.probe(engine);
    }

    @Override
    public void scheduleWakeUp(long delay, long token) {
        loop.scheduleWakeUp(delay, token);
    }

    @Override
    public void log(String line) {
        LOG.info(line);
    }
}
