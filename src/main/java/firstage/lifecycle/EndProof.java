package firstage.lifecycle;

/**
 * What proves that an attempt no longer runs. {@link #NONE} stands for an attempt whose end is
 * reported although its engine may still run the statement.
 */
public enum EndProof {
    /** The statement was not written, or not completely. */
    NOT_SENT,
    /** The engine that holds the statement reported its end or refused it. */
    ENGINE_REPLY,
    /** The engine that holds the statement answered a DELETE. */
    DELETE_ANSWERED,
    /** The engine was not polled for so long that it has dropped the statement. */
    NOT_POLLED,
    /** Nothing proves the end. */
    NONE
}
