package firstage.simulation;

/**
 * A plan, or an option of a tool, can't be used. The message is one line: {@code LINE: KEY: what is
 * wrong; what would do}, with the file before it once {@link #inFile} has named it.
 */
public final class InvalidPlanException extends RuntimeException {
    private static final long serialVersionUID = 1;

    /**
     * Names the problem at a line of a plan.
     *
     * @param line the line, from 1, or 0 where none is known
     * @param problem the key and its value, what is wrong with it, and what would do
     */
    public InvalidPlanException(int line, String problem) {
        super((line > 0 ? line + ": " : "") + problem);
    }

    /** Names a problem that no line of a plan has. */
    public InvalidPlanException(String problem) {
        this(0, problem);
    }

    /** The same with the file's name before it. */
    public InvalidPlanException inFile(String file) {
        return new InvalidPlanException(file + ":" + getMessage());
    }
}
