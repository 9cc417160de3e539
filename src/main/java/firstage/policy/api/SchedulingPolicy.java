package firstage.policy.api;

/**
 * The events that a scheduling policy receives. Each call carries the time {@code now} in ticks;
 * {@link #runPendingActions} ends the events of one moment. A policy acts through {@link
 * PolicyActions} only. Ids of requests, engines and keys are small numbers that the caller may
 * reuse once they were released.
 */
public interface SchedulingPolicy {
    /** A request was accepted from a client. */
    void onRequest(long now, IncomingRequest request);

    /** An attempt ended; ignored where it is not in flight. */
    void onAttemptResult(long now, AttemptResult result);

    /** An engine reported progress of an attempt; ignored where it is not in flight. */
    void onAttemptProgress(long now, AttemptProgress progress);

    /** The client left, or its deadline passed: the request is closed and gets no answer. */
    void onClientGone(long now, int requestId);

    /** Whether the client is away and may have left: then its request is not started. */
    default void onClientAbsence(long now, int requestId, boolean absent) {}

    /** The endpoint list, or a change of it, arrived; or its watch failed. */
    void onEndpointsUpdated(long now, EndpointUpdate update);

    /**
     * A probe of an engine was answered, or failed.
     *
     * @param report null where the answer carried no load report
     */
    void onProbeResult(long now, int engineId, AttemptOutcome outcome, LoadReport report);

    /**
     * The share of each engine that this manager may use now: its own by the settings, less while
     * it hears from too few other managers, more where those have released theirs. Never called
     * without fleet control.
     *
     * @param share above 0, at most 1
     */
    default void onQuotaChanged(long now, double share) {}

    /** Whether this engine is on the endpoint list and held to be down or unresponsive. */
    default boolean isUnavailable(int engineId) {
        return false;
    }

    /** When the last attempt was sent to this engine, in ticks; 0 for never. */
    default long lastAttemptAt(int engineId) {
        return 0;
    }

    /** When this engine last responded, in ticks; 0 or less for never. */
    default long lastResponseAt(int engineId) {
        return 0;
    }

    /**
     * Who probes an ejected engine. Never called without fleet control.
     *
     * @param others whether other managers probe it, and this one is to keep away
     * @param backoffOver whether it may be probed now: others found it well, or this manager is the
     *     probe owner
     */
    default void onProbeOwnership(
            long now, int engineId, boolean probedByOthers, boolean mayProbeNow) {}

    /** The work asked for and started; empty where the policy keeps no count. */
    default DemandHistogram demand(long now) {
        return new DemandHistogram();
    }

    /**
     * The fleet lacks capacity for low priorities: requests of a lower {@link
     * DemandHistogram#priorityBand} than {@code band} are answered at once, and of those in it all
     * but a share. Never called without fleet control.
     *
     * @param admittedShare from 0 to 1
     */
    default void onSheddingThreshold(long now, int band, double admittedShare) {}

    /**
     * The program ends soon: requests are still accepted for a short while, and what has no answer
     * at {@code endsAt} (ticks) never gets one.
     */
    void onShutdown(long now, long endsAt);

    /** The time of {@link PolicyActions#scheduleWakeUp} has come. */
    void onWakeUp(long now, long token);

    /** How many attempts are in flight at this engine. */
    int attemptsInFlight(int engineId);

    /** All events of this moment have arrived; now act on them. */
    void runPendingActions(long now);
}
