package firstage.simulation;

/** What can't be used of a file that people write: line, what is wrong, what would do. */
public final class InvalidPlanException extends RuntimeException {
    private static final long serialVersionUID = 1;

    public InvalidPlanException(int line, String what) {
        super((line > 0 ? line + ": " : "") + what);
    }
}
