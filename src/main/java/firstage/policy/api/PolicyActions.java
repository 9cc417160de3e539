package firstage.policy.api;

/** Carries out what a scheduling policy decides; implementations decide nothing. */
public interface PolicyActions {
    /** Sets the memory grant in MB (0: none) and the priority of the request's next attempt. */
    void setGrantAndPriority(int requestId, int grantMb, int priority);

    /**
     * Starts an attempt of the request at an engine.
     *
     * @param timeout in ticks; 0 leaves it to the client's deadline
     */
    void startAttempt(int requestId, int engineId, long timeout);

    /** Cancels an attempt; its result still follows. */
    void cancelAttempt(int requestId, int attemptNumber);

    /**
     * Rejects the request: the client may try again without harm.
     *
     * @param retryAfter for how many ticks it is to stay away; 0 where the wire can't say so
     */
    void reject(int requestId, long retryAfter);

    /** Answers the client that its request failed. */
    void fail(int requestId);

    /** The request is closed and has no attempt in flight: its id may be reused. */
    void releaseRequest(int requestId);

    /** No request waits for this ordering key, and its pause is over: its id may be reused. */
    void releaseKey(int key);

    /** The engine left long ago and has no attempt in flight: its id may be reused. */
    void releaseEngine(int engineId);

    /** Asks an engine for its load; {@link SchedulingPolicy#onProbeResult} follows. */
    void probeEngine(int engineId);

    /** Starts the watch of the endpoint list; nothing to do where the list comes unasked. */
    default void subscribeToEndpoints() {}

    /** {@link SchedulingPolicy#onWakeUp} is to be called with this token after a delay in ticks. */
    void scheduleWakeUp(long delay, long token);

    /** A line for the operators' log. */
    void log(String line);
}
