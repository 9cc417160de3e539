package firstage.policy;

import firstage.policy.api.Deployment;
import firstage.policy.api.TrafficClass.Effect;
import firstage.policy.state.Attempt;
import firstage.policy.state.EngineHealth;
import firstage.policy.state.EngineState;
import firstage.policy.state.RequestState;
import firstage.util.Ticks;

/** Detects attempts that make no or too little progress, and engines that stopped responding. */
final class StuckAttemptDetector {
    /**
     * Number of report intervals without a report after which an engine or an attempt is considered
     * silent; two reports may be delayed, but not three.
     */
    private static final double MAX_MISSED_REPORTS = 2.6;

    /**
     * Silence allowed to engines that send no progress reports, in addition to twice the expected
     * duration; long compared to usual requests.
     */
    private static final long SILENCE_WITHOUT_REPORTS = Ticks.ofSeconds(4);

    /**
     * Ratio of the remaining time of an attempt to the duration of a new one above which the
     * attempt is a runaway; high, as estimates scatter widely.
     */
    private static final double RUNAWAY_FACTOR = 5;

    /** Action to take on an attempt. */
    enum Remedy {
        NONE,
        CANCEL,
        HEDGE
    }

    private final Deployment.Capabilities capabilities;
    private final RetryPolicy retries;
    private final long progressInterval;

    /**
     * Creates a detector.
     *
     * @param progressInterval ticks between progress reports; 0 if engines send none
     */
    StuckAttemptDetector(
            Deployment.Capabilities capabilities, RetryPolicy retries, long progressInterval) {
        this.capabilities = capabilities;
        this.retries = retries;
        this.progressInterval = progressInterval;
    }

    /**
     * Returns whether the engine has not responded for too long while this attempt is in flight.
     */
    boolean isEngineSilent(long now, Attempt attempt) {
        long silentSince = Math.max(attempt.sentAt, attempt.engine.lastResponseAt);
        return !attempt.queuedForMemory
                && !attempt.request.closed
                && now - silentSince > silenceTimeout(attempt);
    }

    /**
     * Returns the action to take on this attempt: {@code NONE} unless the attempt is lost, blocked
     * by a table load or a runaway, and another attempt is allowed.
     */
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

    /** Returns whether the engine is down, or has stopped reporting on this attempt. */
    private boolean isLost(long now, Attempt attempt) {
        EngineState engine = attempt.engine;
        return engine.health == EngineHealth.UNRESPONSIVE
                || engine.health == EngineHealth.UNAVAILABLE
                || progressInterval > 0
                        && !attempt.queuedForMemory
                        && now - attempt.lastProgressAt > silenceTimeout(attempt);
    }

    /**
     * Returns whether the attempt is far behind its estimate, while a new attempt could still meet
     * the latency objective.
     */
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

    /** Returns how many ticks may pass without a response of the engine, or on this attempt. */
    private long silenceTimeout(Attempt attempt) {
        return progressInterval > 0
                ? (long) (progressInterval * MAX_MISSED_REPORTS)
                : SILENCE_WITHOUT_REPORTS + 2 * attempt.request.expectedDuration();
    }
}
