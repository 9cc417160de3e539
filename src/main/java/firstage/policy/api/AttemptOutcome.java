package firstage.policy.api;

/** Outcome of an attempt. */
public enum AttemptOutcome {
    SUCCEEDED(true),
    FAILED(true),
    REFUSED(false),
    TIMED_OUT(true),
    CONNECT_FAILED(false),
    CONNECTION_LOST(true),
    CANCELLED(true),
    NOT_SENT(false);

    /** Whether the engine may have run the attempt; false if the outcome proves that it did not. */
    public final boolean mayHaveRun;

    AttemptOutcome(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }
}
