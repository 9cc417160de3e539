package firstage.policy.api;

/** Carries the effects of decisions out. A host decides nothing. */
public interface PolicyActions {
    /** Names the memory grant (MB) and priority for the batch's next dispatch. */
    void provide(int batch, int grantMb, int priority);

    /**
     * Sends the batch to the engine; {@code within} 0 leaves the time-out to the client's limit.
     */
    void dispatch(int batch, int engine, long within);

    void callOff(int batch, int dispatch);

    void pushBack(int batch, long comeBack);

    void error(int batch);

    /** The batch is closed and has no dispatch out: its index may serve again. */
    void forgetBatch(int batch);

    /** No batch waits for this key and it has rested: its index may serve again. */
    void forgetKey(int key);

    /** The engine left long ago and has no dispatch out: its index may serve again. */
    void forgetEngine(int engine);

    void probe(int engine);

    /** A host whose list comes unasked leaves it. */
    default void subscribe() {}

    void wakeIn(long delay, long token);

    /** A line for the people on call. */
    void log(String line);
}
