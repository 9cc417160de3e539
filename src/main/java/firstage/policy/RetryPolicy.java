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
 * Decides whether a request may be retried, rejected or failed after the end of an attempt: by its
 * effect, its idempotency scope and window (rule 2), and the retry budget of all requests (rule 7).
 */
final class RetryPolicy {
    /** Number of engines at which a request may fail; a third one would give the same result. */
    private static final int MAX_FAILED_ENGINES = 2;

    /** Time after which rejected clients should retry; a full queue shrinks to about half in it. */
    private static final long RETRY_AFTER = Ticks.ofMillis(500);

    /**
     * Number of buckets of the budget's window. A bucket at the edge of the window still counts for
     * retries, but no longer for accepted requests, so that the budget is never exceeded.
     */
    private static final int WINDOW_BUCKETS = 20;

    /** Engines at which a request may be retried. */
    private enum Retry {
        ANYWHERE,
        IN_SCOPE,
        NEVER
    }

    private record Rule(Effect effect, boolean mayHaveRun, Retry retry, boolean mayReject) {}

    /** Rules for each effect, depending on whether an attempt of the request may have run. */
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
        accepted = new SlidingWindowCounter(limits.retryWindow(), WINDOW_BUCKETS);
        retries = new SlidingWindowCounter(limits.retryWindow(), WINDOW_BUCKETS);
    }

    void recordAccepted(long now) {
        accepted.add(now, 1);
    }

    void recordAttempt(long now, Attempt attempt) {
        retries.add(now, attempt.number > 0 ? 1 : 0);
    }

    /** Returns whether the request has attempts left and running it again is safe. */
    boolean allowsAnotherAttempt(RequestState request) {
        return request.attemptsStarted < capabilities.maxAttempts()
                && rule(request).retry != Retry.NEVER;
    }

    /** Returns whether the next attempt may start now. */
    boolean mayStartAttempt(long now, RequestState request) {
        Retry retry = rule(request).retry;
        return retry != Retry.NEVER
                && request.attemptsStarted < capabilities.maxAttempts()
                && !hasReachedFailureLimit(request)
                && (request.attemptsInFlight.isEmpty() || capabilities.hedging())
                && (retry != Retry.IN_SCOPE
                        || now
                                < request.firstSentAt(now)
                                        + request.trafficClass().idempotencyWindow())
                && (request.attemptsStarted == 0 || isWithinBudget(now));
    }

    /**
     * Returns whether the next attempt has to wait, as an earlier one was reported as ended without
     * proof and may still run at its engine. Hedged requests may overlap anyway.
     */
    boolean mustAwaitEarlierAttempt(long now, RequestState request) {
        return !capabilities.hedging() && now < request.unconfirmedUntil;
    }

    /** Returns whether it is safe for the client to send the request again to any manager. */
    boolean mayReject(RequestState request) {
        return rule(request).mayReject;
    }

    /**
     * Returns whether a request that can't be served is rejected, so that its client may send it
     * again; otherwise it is failed.
     */
    boolean rejectsRatherThanFails(RequestState request) {
        TrafficClass trafficClass = request.trafficClass();
        boolean dropsRepetitionsEverywhere =
                trafficClass.effect() == Effect.IDEMPOTENT_WITH_KEY
                        && trafficClass.idempotencyScope() == Scope.ALL;
        return !hasReachedFailureLimit(request)
                && (mayReject(request) || dropsRepetitionsEverywhere);
    }

    /**
     * Returns the number of ticks that a rejected client has to wait; 0 if the protocol cannot
     * express a wait.
     */
    long retryAfter() {
        return capabilities.retryAfter() ? Math.min(RETRY_AFTER, capabilities.maxRetryAfter()) : 0;
    }

    private static boolean hasReachedFailureLimit(RequestState request) {
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
        throw new IllegalStateException(
                "no retry rule for effect " + request.trafficClass().effect());
    }
}
