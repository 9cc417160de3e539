package firstage.policy.state;

/** Health of an engine, derived from the requests that it receives and its responses. */
public enum EngineHealth {
    /** Accepts requests. */
    AVAILABLE,
    /**
     * Refused a request as it is full; gets no new one until an earlier one succeeds or the backoff
     * ends.
     */
    REFUSING,
    /** Gets a single request as a probe. */
    HALF_OPEN,
    /** Has not responded for too long. */
    UNRESPONSIVE,
    /** Is unreachable, or was ejected because requests failed there. */
    UNAVAILABLE
}
