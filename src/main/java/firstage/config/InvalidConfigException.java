package firstage.config;

/**
 * A file that an operator or the platform writes can't be used: a configuration or a peers file.
 * The message is one line: {@code FILE:LINE: FIELD: what is wrong; what would do}.
 */
public final class InvalidConfigException extends RuntimeException {
    /** The line where none is known. */
    public static final int NO_LINE = 0;

    private static final long serialVersionUID = 1;

    private final String file;
    private final int line;

    /**
     * Names the place and the problem.
     *
     * @param file the file as the operator named it
     * @param line the line, from 1, or {@link #NO_LINE}
     * @param problem the field and its value, what is wrong with it, and what would do
     */
    public InvalidConfigException(String file, int line, String problem) {
        super(file + ":" + (line == NO_LINE ? "" : line + ":") + " " + problem);
        this.file = file;
        this.line = line;
    }

    /** The file as the operator named it. */
    public String file() {
        return file;
    }

    /** The line, from 1, or {@link #NO_LINE}. */
    public int line() {
        return line;
    }
}
