package firstage.config;

/**
 * Thrown if a line of the simulator, a setting, a field of a message or an option can't be read.
 * The message names the field and what is wrong; a reader of lines skips the line and reports the
 * message.
 */
public final class InvalidInputException extends RuntimeException {
    private static final long serialVersionUID = 1;

    /**
     * Creates an exception that names the problem.
     *
     * @param problem the field or its value, and what is wrong with it
     */
    public InvalidInputException(String problem) {
        super(problem);
    }
}
