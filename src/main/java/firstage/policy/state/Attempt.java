package firstage.policy.state;

/** An attempt that is in flight: one try to run a request at an engine. Times are in ticks. */
public final class Attempt {
    public final RequestState request;
    public final EngineState engine;

    /** From 0, for each request. */
    public final int number;

    public final long sentAt;
    public final double grantMb;

    /** At the engine; higher runs first. */
    public final int priority;

    /** When it was sent or its engine last reported on it. */
    public long lastProgressAt;

    /** The share done, by its latest progress report. */
    public double fractionDone;

    /** Its grant was too small for it. */
    public boolean spilled;

    /** It waited for memory or a table load: its latency tells nothing of its engine. */
    public boolean wasBlocked;

    /** It waits for a table load. */
    public boolean blockedByTableLoad;

    /** It waits for memory at its engine, which sends no progress reports meanwhile. */
    public boolean queuedForMemory;

    /** Nothing more is expected of it: it was cancelled, or a hedged request was queued. */
    public boolean abandoned;

    /** An attempt that is sent now, at {@code sentAt}. */
    public Attempt(
            RequestState request,
            EngineState engine,
            int number,
            long sentAt,
            double grantMb,
            int priority) {
        this.request = request;
        this.engine = engine;
        this.number = number;
        this.sentAt = sentAt;
        this.lastProgressAt = sentAt;
        this.grantMb = grantMb;
        this.priority = priority;
    }
}
