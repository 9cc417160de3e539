package firstage.config;

/** A line of the wire that cannot be read; the message names the fault. */
public final class MalformedLine extends RuntimeException {
    private static final long serialVersionUID = 1;

    public MalformedLine(String fault) {
        super(fault);
    }
}
