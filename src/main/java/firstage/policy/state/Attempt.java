package firstage.policy.state;

/** A dispatch that is out. */
public final class Attempt {
    public final RequestState batch;
    public final EngineState engine;
    public final int number;
    public final long sent;
    public final double grant;
    public final int priority;

    /** When it was sent or last spoken of. */
    public long heard;

    /** Share done, by its latest note. */
    public double share;

    public boolean shortGrant;
    public boolean waited;
    public boolean standsStill;

    /** It waits in the engine's line for memory, from where no further notes come. */
    public boolean inLine;

    /** Nothing more is expected of it: it was called off, or a copy was asked for. */
    public boolean givenUp;

    public Attempt(
            RequestState batch,
            EngineState engine,
            int number,
            long sent,
            double grant,
            int priority) {
        this.batch = batch;
        this.engine = engine;
        this.number = number;
        this.sent = sent;
        this.heard = sent;
        this.grant = grant;
        this.priority = priority;
    }
}
