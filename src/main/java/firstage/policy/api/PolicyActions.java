package firstage.policy.api;

/**
 * Executes the decisions of a scheduling policy. Implementations make no decisions of their own.
 */
public interface PolicyActions {
    /**
     * Sets the memory grant and the priority of the request's next attempt.
     *
     * @param grantMb memory grant; 0 for none
     */
    void setGrantAndPriority(int requestId, int grantMb, int priority);

    /**
     * Starts an attempt of the request at an engine.
     *
     * @param timeout timeout of the attempt in ticks; 0 for the client's deadline
     */
    void startAttempt(int requestId, int engineId, long timeout);

    /** Cancels an attempt. The result of the attempt is still reported. */
    void cancelAttempt(int requestId, int attemptNumber);

    /**
     * Rejects the request: its client may safely send the request again.
     *
     * @param retryAfter ticks for which the client has to wait before it does so; 0 if the protocol
     *     cannot express a wait
     */
    void reject(int requestId, long retryAfter);

    /** Answers the request as failed. */
    void fail(int requestId);

    /** Releases the id of a request that is closed and has no attempt in flight. */
    void releaseRequest(int requestId);

    /** Releases the id of an ordering key that has no open request and whose pause is over. */
    void releaseKey(int key);

    /** Releases the id of an engine that left long ago and has no attempt in flight. */
    void releaseEngine(int engineId);

    /**
     * Asks an engine for its load. The answer is passed to {@link SchedulingPolicy#onProbeResult}.
     */
    void probeEngine(int engineId);

    /** Subscribes to the endpoint list; does nothing if updates arrive without a subscription. */
    default void subscribeToEndpoints() {}

    /**
     * Schedules a call of {@link SchedulingPolicy#onWakeUp} with this token, after a delay in
     * ticks.
     */
    void scheduleWakeUp(long delay, long token);

    /** Writes a line to the operators' log. */
    void log(String line);
}
