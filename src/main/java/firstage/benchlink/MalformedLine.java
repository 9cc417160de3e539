package firstage.benchlink;

/** A line of the wire that cannot be read; the message names the fault. */
final class MalformedLine extends RuntimeException {
    private static final long serialVersionUID = 1;

    MalformedLine(String fault) {
        super(fault);
    }
}
