package firstage.policy.api;

/**
 * Scheduling policy of a workload manager, which receives events and acts through {@link
 * PolicyActions} only. Each call passes the current time {@code now} in ticks. After all events of
 * one point in time the caller calls {@link #runPendingActions}. Ids of requests, engines and keys
 * are small numbers that the caller may reuse once they have been released.
 */
public interface SchedulingPolicy {
    /** Handles a request that was accepted from a client. */
    void onRequest(long now, IncomingRequest request);

    /** Handles the end of an attempt. Does nothing if the attempt is not in flight. */
    void onAttemptResult(long now, AttemptResult result);

    /**
     * Handles the proof that an attempt no longer runs, whose result was reported with a time for
     * which it may still run. Does nothing if the request is closed.
     */
    default void onAttemptEndConfirmed(long now, int requestId, int attemptNumber) {}

    /** Handles a progress report on an attempt. Does nothing if the attempt is not in flight. */
    void onAttemptProgress(long now, AttemptProgress progress);

    /** Closes a request whose client left or whose deadline passed. The request gets no answer. */
    void onClientGone(long now, int requestId);

    /**
     * Records whether the client of a request is absent: its connection broke or it did not poll in
     * time, so that it may have left. The request is not started while its client is absent.
     */
    default void onClientAbsence(long now, int requestId, boolean absent) {}

    /** Handles an update of the endpoint list, or the failure of the subscription to it. */
    void onEndpointsUpdated(long now, EndpointUpdate update);

    /**
     * Handles the answer to a probe of an engine, or the failure of the probe.
     *
     * @param report load report in the answer; null if none
     */
    void onProbeResult(long now, int engineId, AttemptOutcome outcome, LoadReport report);

    /**
     * Sets the share of each engine that this manager may use now. The share is the one in the
     * settings, reduced while too few other managers are reachable, and increased when other
     * managers have released theirs. Never called without fleet control.
     *
     * @param share share of each engine, above 0 and at most 1
     */
    default void onQuotaChanged(long now, double share) {}

    /** Returns whether this engine is on the endpoint list but considered down or unresponsive. */
    default boolean isUnavailable(int engineId) {
        return false;
    }

    /** Returns the time at which the last attempt was sent to this engine, in ticks; 0 if never. */
    default long lastAttemptAt(int engineId) {
        return 0;
    }

    /** Returns the time of the last response of this engine, in ticks; 0 or less if never. */
    default long lastResponseAt(int engineId) {
        return 0;
    }

    /**
     * Sets which managers may probe an ejected engine. Never called without fleet control.
     *
     * @param probedByOthers whether other managers probe the engine, so that this one must not
     * @param mayProbeNow whether this manager may probe the engine now, as it is the probe owner or
     *     others found the engine available
     */
    default void onProbeOwnership(
            long now, int engineId, boolean probedByOthers, boolean mayProbeNow) {}

    /**
     * Returns the work that arrived, was started and waits; empty if the policy does not count it.
     */
    default DemandHistogram demand(long now) {
        return new DemandHistogram();
    }

    /**
     * Sets the load-shedding threshold, for a fleet that lacks capacity for low priorities.
     * Requests of a lower {@link DemandHistogram#priorityBand} than {@code band} are shed at once,
     * and so is a random part of those in the band. Never called without fleet control.
     *
     * @param admittedShare share of the requests in the band that are admitted, from 0 to 1
     */
    default void onSheddingThreshold(long now, int band, double admittedShare) {}

    /**
     * Prepares for the end of the program. Requests are still accepted for a short while.
     *
     * @param endsAt time in ticks after which no request is answered any more
     */
    void onShutdown(long now, long endsAt);

    /** Handles a wake-up that was scheduled by {@link PolicyActions#scheduleWakeUp}. */
    void onWakeUp(long now, long token);

    /** Returns the number of attempts in flight at this engine. */
    int attemptsInFlight(int engineId);

    /** Acts on the events received so far; called after all events of one point in time. */
    void runPendingActions(long now);
}
