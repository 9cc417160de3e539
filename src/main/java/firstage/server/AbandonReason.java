package firstage.server;

import firstage.policy.api.AttemptOutcome;

/** Reasons for which a manager abandons an attempt. */
public enum AbandonReason {
    /** The client's deadline has passed. */
    DEADLINE_PASSED(AttemptOutcome.TIMED_OUT),
    /** The time that the scheduler gave the attempt has passed. */
    ATTEMPT_TIMEOUT(AttemptOutcome.TIMED_OUT),
    /** The client left or cancelled. */
    CLIENT_GONE(AttemptOutcome.CANCELLED),
    /** Another attempt of the request succeeded. */
    OTHER_ATTEMPT_SUCCEEDED(AttemptOutcome.CANCELLED),
    /** The scheduler cancelled the attempt, as it makes no progress. */
    CANCELLED_BY_SCHEDULER(AttemptOutcome.CANCELLED),
    /** The request was rejected while the attempt was in flight. */
    REQUEST_REJECTED(AttemptOutcome.CANCELLED);

    private final AttemptOutcome outcome;

    AbandonReason(AttemptOutcome outcome) {
        this.outcome = outcome;
    }

    /** Returns the outcome of an attempt that is abandoned for this reason. */
    public AttemptOutcome outcome() {
        return outcome;
    }
}
