package firstage.policy.state;

/** Attempt in flight: a single execution of a request at an engine. Times are in ticks. */
public final class Attempt {
    public final RequestState request;
    public final EngineState engine;

    /** Number of the attempt within its request, from 0. */
    public final int number;

    public final long sentAt;
    public final double grantMb;

    /** Priority at the engine; higher values run first. */
    public final int priority;

    /** Time of the engine's last report on this attempt; the time of sending before the first. */
    public long lastProgressAt;

    /** Fraction done, from 0 to 1, according to the progress reports. */
    public double fractionDone;

    /** Whether the attempt spilled to disk. */
    public boolean spilled;

    /**
     * Whether the attempt ever waited for memory or a table load, in which case its latency does
     * not indicate how fast its engine is.
     */
    public boolean wasBlocked;

    /** Whether the attempt waits for a table load. */
    public boolean blockedByTableLoad;

    /** Whether the attempt waits for memory; its engine sends no progress reports meanwhile. */
    public boolean queuedForMemory;

    /** Whether the attempt was cancelled or hedged, so that no further remedy is applied to it. */
    public boolean abandoned;

    /** Creates an attempt that is sent at {@code sentAt}. */
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
