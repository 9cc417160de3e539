package firstage.policy;

import firstage.policy.api.Deployment;
import firstage.policy.api.TrafficClass;
import firstage.policy.api.TrafficClass.Effect;
import firstage.policy.api.TrafficClass.Scope;
import firstage.policy.state.Attempt;
import firstage.policy.state.RequestState;
import firstage.policy.state.SlidingWindowCounter;
import firstage.util.Ticks;

/**
 * Which attempt may follow which outcome (rule 2): by the effect of the request, its idempotency
 * scope and window, and the retry budget of all requests (rule 7).
 */
final class RetryPolicy {
    /** Engines that a request may fail at: a third would say the same. */
    private static final int MAX_FAILED_ENGINES = 2;

    /** A client that returns after this finds about half of a full queue gone. */
    private static final long RETRY_AFTER = Ticks.ofMillis(500);

    /** Pieces of the budget's window: what is in doubt is counted on the safe side. */
    private static final int WINDOW_PIECES = 20;

    private enum Retry {
        ANYWHERE,
        IN_SCOPE,
        NEVER
    }

    private record Rule(Effect effect, boolean mayHaveRun, Retry retry, boolean mayReject) {}

    /** Effect, whether an attempt may have run, where it may be retried, may it be rejected. */
    private static final Rule[] RULES = {
        new Rule(Effect.IDEMPOTENT, false, Retry.ANYWHERE, true),
        new Rule(Effect.IDEMPOTENT, true, Retry.ANYWHERE, true),
        new Rule(Effect.IDEMPOTENT_WITH_KEY, false, Retry.ANYWHERE, true),
        new Rule(Effect.IDEMPOTENT_WITH_KEY, true, Retry.IN_SCOPE, false),
        new Rule(Effect.NON_IDEMPOTENT, false, Retry.ANYWHERE, true),
        new Rule(Effect.NON_IDEMPOTENT, true, Retry.NEVER, false),
    };

    private final Deployment.Capabilities capabilities;
    private final Deployment.Rules limits;
    private final SlidingWindowCounter accepted;
    private final SlidingWindowCounter retries;

    RetryPolicy(Deployment.Capabilities capabilities, Deployment.Rules limits) {
        this.capabilities = capabilities;
        this.limits = limits;
        accepted = new SlidingWindowCounter(limits.retryWindow(), WINDOW_PIECES);
        retries = new SlidingWindowCounter(limits.retryWindow(), WINDOW_PIECES);
    }

    void recordAccepted(long now) {
        accepted.add(now, 1);
    }

    void recordAttempt(long now, Attempt attempt) {
        retries.add(now, attempt.number > 0 ? 1 : 0);
    }

    /** Whether attempts are left, and a repetition does no harm. */
    boolean allowsAnotherAttempt(RequestState request) {
        return request.attemptsStarted < capabilities.maxAttempts()
                && rule(request).retry != Retry.NEVER;
    }

    /** Whether the next attempt may start now. */
    boolean mayStartAttempt(long now, RequestState request) {
        Retry retry = rule(request).retry;
        return retry != Retry.NEVER
                && request.attemptsStarted < capabilities.maxAttempts()
                && !hasFailedEnough(request)
                && (request.attemptsInFlight.isEmpty() || capabilities.hedging())
                && (retry != Retry.IN_SCOPE
                        || now
                                < request.firstSentAt(now)
                                        + request.trafficClass().idempotencyWindow())
                && (request.attemptsStarted == 0 || isWithinBudget(now));
    }

    /** Whether a repetition by the client or another manager does no harm. */
    boolean mayReject(RequestState request) {
        return rule(request).mayReject;
    }

    /** Whether the client is told to try again, rather than that the request failed. */
    boolean rejectsRatherThanFails(RequestState request) {
        TrafficClass trafficClass = request.trafficClass();
        boolean repetitionIsDropped =
                trafficClass.effect() == Effect.IDEMPOTENT_WITH_KEY
                        && trafficClass.idempotencyScope() == Scope.ALL;
        return !hasFailedEnough(request) && (mayReject(request) || repetitionIsDropped);
    }

    /** For how many ticks a rejected client is to stay away; 0 where the wire can't say so. */
    long retryAfter() {
        return capabilities.retryAfter() ? Math.min(RETRY_AFTER, capabilities.maxRetryAfter()) : 0;
    }

    private static boolean hasFailedEnough(RequestState request) {
        return request.failedEngines >= MAX_FAILED_ENGINES;
    }

    private boolean isWithinBudget(long now) {
        return limits.retryRatio() < 0
                || retries.upperBound(now) + 1
                        <= limits.retryAllowance() + limits.retryRatio() * accepted.lowerBound(now);
    }

    private static Rule rule(RequestState request) {
        boolean mayHaveRun = request.mayHaveRun || !request.attemptsInFlight.isEmpty();
        for (Rule rule : RULES) {
            if (rule.effect == request.trafficClass().effect() && rule.mayHaveRun == mayHaveRun) {
                return rule;
            }
        }
        throw new IllegalStateException("no rule for " + request.trafficClass().effect());
    }
}
