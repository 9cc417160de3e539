package firstage.policy.api;

/** Carries the effects of decisions out. A host decides nothing. */
public interface PolicyActions {
    /** Names the memory grant (MB) and priority for the batch's next dispatch. */
    void setGrantAndPriority(int batch, int grantMb, int priority);

    /**
     * Sends the batch to the engine; {@code within} 0 leaves the time-out to the client's limit.
     */
    void startAttempt(int batch, int engine, long within);

    void cancelAttempt(int batch, int dispatch);

    void reject(int batch, long comeBack);

    void fail(int batch);

    /** The batch is closed and has no dispatch out: its index may serve again. */
    void releaseRequest(int batch);

    /** No batch waits for this key and it has rested: its index may serve again. */
    void releaseKey(int key);

    /** The engine left long ago and has no dispatch out: its index may serve again. */
    void releaseEngine(int engine);

    void probeEngine(int engine);

    /** A host whose list comes unasked leaves it. */
    default void subscribeToEndpoints() {}

    void scheduleWakeUp(long delay, long token);

    /** A line for the people on call. */
    void log(String line);
}
