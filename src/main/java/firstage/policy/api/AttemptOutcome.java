package firstage.policy.api;

/** The ways in which an attempt can end. */
public enum AttemptOutcome {
    SUCCEEDED(true),
    FAILED(true),
    REFUSED(false),
    TIMED_OUT(true),
    CONNECT_FAILED(false),
    CONNECTION_LOST(true),
    CANCELLED(true),
    NOT_SENT(false);

    /** False where the outcome proves that the engine never ran it. */
    public final boolean mayHaveRun;

    AttemptOutcome(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }
}
