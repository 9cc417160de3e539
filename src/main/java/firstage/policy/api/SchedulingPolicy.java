package firstage.policy.api;

/**
 * What a workload manager is told. Calls carry the clock; {@link #runPendingActions} ends each
 * round of news.
 */
public interface SchedulingPolicy {
    void onRequest(long now, IncomingRequest arrival);

    void onAttemptResult(long now, AttemptResult ending);

    void onAttemptProgress(long now, AttemptProgress note);

    /** The client left, or its time is up: the batch is closed and owed nothing more. */
    void onClientGone(long now, int batch);

    /** The client is not there, and may have left: its batch is not to be sent until it is back. */
    default void onClientPresence(long now, int batch, boolean away) {}

    void onEndpointsUpdated(long now, EndpointUpdate list);

    void onProbeResult(long now, int engine, AttemptOutcome outcome, LoadReport report);

    /**
     * The part of each engine that it may use now: its own share by the settings, less while it
     * hears too few of the others, more where those have given it up. Where nobody shares, it is
     * never told.
     */
    default void onQuotaChanged(long now, double share) {}

    /**
     * Whether it holds this engine for down or silent, and when it last sent a batch there; 0 for
     * never.
     */
    default boolean isUnavailable(int engine) {
        return false;
    }

    default long lastAttemptAt(int engine) {
        return 0;
    }

    /** When this engine last spoke; 0 or less for never. */
    default long lastResponseAt(int engine) {
        return 0;
    }

    /**
     * Others hold this engine for sick and try it, and it is to keep away; or no longer. Where
     * {@code restIsOver}, it may be tried now: they found it well, or this manager tries it for
     * all. Where nobody shares, it is never told.
     */
    default void onProbeOwnership(long now, int engine, boolean others, boolean restIsOver) {}

    /** What it was asked for and what it sent; null where it keeps no count. */
    default DemandHistogram demand(long now) {
        return null;
    }

    /**
     * The fleet has no room for what is worth less: batches of a lower {@link DemandHistogram#band}
     * are to be answered at once, and of those in it all but this part. Where nobody shares, it is
     * never told.
     */
    default void onSheddingThreshold(long now, int band, double part) {}

    /**
     * It takes batches for a short while yet, and what has no answer at {@code endsAt} never gets
     * one.
     */
    void onShutdown(long now, long endsAt);

    void onWakeUp(long now, long token);

    /** How many of its dispatches it holds to be out at this engine. */
    int attemptsInFlight(int engine);

    /** All news of this moment has been told; now act on it. */
    void runPendingActions(long now);
}
