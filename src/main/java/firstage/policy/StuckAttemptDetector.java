package firstage.policy;

import firstage.policy.api.Deployment;
import firstage.policy.api.TrafficClass.Effect;
import firstage.policy.state.Attempt;
import firstage.policy.state.EngineHealth;
import firstage.policy.state.EngineState;
import firstage.policy.state.RequestState;
import firstage.util.Ticks;

/** Finds attempts that make no progress, and engines that send no progress reports. */
final class StuckAttemptDetector {
    /** Report intervals without a report: two may be late, three are not. */
    private static final double MAX_MISSED_REPORTS = 2.6;

    /** Where engines send no progress reports; long against usual requests. */
    private static final long SILENCE_WITHOUT_REPORTS = Ticks.ofSeconds(4);

    /** Times the duration of a new attempt that are still ahead: estimates scatter widely. */
    private static final double RUNAWAY_FACTOR = 5;

    /** What to do about an attempt. */
    enum Remedy {
        NONE,
        CANCEL,
        HEDGE
    }

    private final Deployment.Capabilities capabilities;
    private final RetryPolicy retries;
    private final long progressInterval;

    /**
     * @param progressInterval ticks between progress reports; 0 where engines send none
     */
    StuckAttemptDetector(
            Deployment.Capabilities capabilities, RetryPolicy retries, long progressInterval) {
        this.capabilities = capabilities;
        this.retries = retries;
        this.progressInterval = progressInterval;
    }

    /** Whether the engine owes a response with this attempt in flight. */
    boolean isEngineSilent(long now, Attempt attempt) {
        long lastSign = Math.max(attempt.sentAt, attempt.engine.lastResponseAt);
        return !attempt.queuedForMemory
                && !attempt.request.closed
                && now - lastSign > patience(attempt);
    }

    /** What to do about this attempt, where a repetition is allowed and worth it. */
    Remedy remedyFor(long now, Attempt attempt) {
        RequestState request = attempt.request;
        boolean lost = isLost(now, attempt);
        if (request.closed
                || attempt.abandoned
                || !(lost || attempt.blockedByTableLoad || isRunaway(now, attempt))
                || !retries.allowsAnotherAttempt(request)) {
            return Remedy.NONE;
        }
        boolean idempotent = request.trafficClass().effect() == Effect.IDEMPOTENT;
        if (capabilities.cancel() && (idempotent || lost)) {
            return Remedy.CANCEL;
        }
        return lost && capabilities.hedging() ? Remedy.HEDGE : Remedy.NONE;
    }

    /** Its engine is down, or reports on others but not on this one. */
    private boolean isLost(long now, Attempt attempt) {
        EngineState engine = attempt.engine;
        return engine.health == EngineHealth.UNRESPONSIVE
                || engine.health == EngineHealth.UNAVAILABLE
                || progressInterval > 0
                        && !attempt.queuedForMemory
                        && now - attempt.lastProgressAt > patience(attempt);
    }

    /** Far behind its estimate, while a new attempt could still meet the latency objective. */
    private boolean isRunaway(long now, Attempt attempt) {
        RequestState request = attempt.request;
        double newDuration = request.expectedDuration();
        return capabilities.cancel()
                && request.incoming.estimatedWork() > 0
                && attempt.fractionDone > 0
                && !attempt.wasBlocked
                && (now - attempt.sentAt) / attempt.fractionDone * (1 - attempt.fractionDone)
                        > RUNAWAY_FACTOR * newDuration
                && now + newDuration < request.objectiveAt;
    }

    /** For how long an engine, or an attempt on it, may send nothing. */
    private long patience(Attempt attempt) {
        return progressInterval > 0
                ? (long) (progressInterval * MAX_MISSED_REPORTS)
                : SILENCE_WITHOUT_REPORTS + 2 * attempt.request.expectedDuration();
    }
}
