package firstage.config;

/** A line of the wire that cannot be read; the message names the fault. */
public final class MalformedLineException extends RuntimeException {
    private static final long serialVersionUID = 1;

    public MalformedLineException(String fault) {
        super(fault);
    }
}
