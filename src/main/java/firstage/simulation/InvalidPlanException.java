package firstage.simulation;

/**
 * Thrown when a plan, or an option of a command, can't be used. The message is one line, {@code
 * LINE: KEY: what is wrong; a valid value}; {@link #inFile} puts the file's name before it.
 */
public final class InvalidPlanException extends RuntimeException {
    private static final long serialVersionUID = 1;

    /**
     * Creates an exception for a line of a plan.
     *
     * @param line the line, from 1; 0 where none is known
     * @param problem the key and its value, what is wrong with it, and a valid value
     */
    public InvalidPlanException(int line, String problem) {
        super((line > 0 ? line + ": " : "") + problem);
    }

    /** Creates an exception for a problem outside of plans. */
    public InvalidPlanException(String problem) {
        this(0, problem);
    }

    /** Returns a copy of this exception with the file's name before the message. */
    public InvalidPlanException inFile(String file) {
        return new InvalidPlanException(file + ":" + getMessage());
    }
}
