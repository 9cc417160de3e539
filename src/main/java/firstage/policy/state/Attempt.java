package firstage.policy.state;

/** A dispatch that is out. */
public final class Attempt {
    public final RequestState request;
    public final EngineState engine;
    public final int number;
    public final long sentAt;
    public final double grantMb;
    public final int priority;

    /** When it was sent or last spoken of. */
    public long lastProgressAt;

    /** Share done, by its latest note. */
    public double fractionDone;

    public boolean spilled;
    public boolean wasBlocked;
    public boolean blockedByTableLoad;

    /** It waits in the engine's line for memory, from where no further notes come. */
    public boolean queuedForMemory;

    /** Nothing more is expected of it: it was called off, or a copy was asked for. */
    public boolean abandoned;

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
