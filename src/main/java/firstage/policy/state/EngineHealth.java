package firstage.policy.state;

/** How an engine is judged by what passes through it. */
public enum EngineHealth {
    /** Takes requests. */
    AVAILABLE,
    /** Refused a request as it is full; takes none until one succeeds or its backoff is over. */
    REFUSING,
    /** Takes one request, its probe. */
    HALF_OPEN,
    /** Owes a response for too long. */
    UNRESPONSIVE,
    /** Unreachable, or ejected as requests failed there. */
    UNAVAILABLE
}
