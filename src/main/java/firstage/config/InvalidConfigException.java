package firstage.config;

/**
 * Thrown if a file that an operator or the platform writes can't be used, such as a configuration
 * or a peers file. The message is one line: {@code FILE:LINE: FIELD: what is wrong; what is valid}.
 */
public final class InvalidConfigException extends RuntimeException {
    /** Line number of a problem whose line is not known. */
    public static final int NO_LINE = 0;

    private static final long serialVersionUID = 1;

    private final String file;
    private final int line;

    /**
     * Creates an exception that names the place and the problem.
     *
     * @param file the file as the operator named it
     * @param line the line, from 1, or {@link #NO_LINE}
     * @param problem the field and its value, what is wrong with it, and what is valid
     */
    public InvalidConfigException(String file, int line, String problem) {
        super(file + ":" + (line == NO_LINE ? "" : line + ":") + " " + problem);
        this.file = file;
        this.line = line;
    }

    /** Returns the file as the operator named it. */
    public String file() {
        return file;
    }

    /** Returns the line, from 1, or {@link #NO_LINE}. */
    public int line() {
        return line;
    }
}
