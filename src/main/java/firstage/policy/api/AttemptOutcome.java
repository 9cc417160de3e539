package firstage.policy.api;

/** The ways a dispatch can end. */
public enum AttemptOutcome {
    RETURNED(true),
    ERRORED(true),
    TURNED_AWAY(false),
    TIMED_OUT(true),
    NO_CONNECTION(false),
    BROKEN(true),
    CALLED_OFF(true),
    NOT_SENT(false);

    /** False where the outcome proves that the engine never ran it. */
    public final boolean mayHaveRun;

    AttemptOutcome(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }
}
