package firstage.config;

/**
 * A line of the simulator's or a field of a message can't be read. The message names the field, its
 * value and what is wrong; who reads the line skips it and reports the message.
 */
public final class MalformedLineException extends RuntimeException {
    private static final long serialVersionUID = 1;

    /**
     * Names the problem.
     *
     * @param problem the field, its value, and what is wrong with it
     */
    public MalformedLineException(String problem) {
        super(problem);
    }
}
