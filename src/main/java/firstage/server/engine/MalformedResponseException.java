package firstage.server.engine;

import java.io.IOException;

/** Thrown when the bytes from an engine are not an HTTP response, or exceed a limit. */
final class MalformedResponseException extends IOException {
    private static final long serialVersionUID = 1L;

    MalformedResponseException(String message) {
        super(message);
    }
}
