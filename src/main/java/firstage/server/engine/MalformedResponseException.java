package firstage.server.engine;

import java.io.IOException;

/** An engine's response that can't be read: what came is no HTTP, or too long. */
final class MalformedResponseException extends IOException {
    private static final long serialVersionUID = 1L;

    MalformedResponseException(String message) {
        super(message);
    }
}
