package firstage.server.engine;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;

/**
 * An engine's answer to one call; header names in lower case. {@code more}: bytes came behind its
 * end.
 */
record EngineResponse(int status, Map<String, String> headers, byte[] body, boolean more) {
    private static final int TABS_IN_A_ROW = 2;

    /**
     * Whether the body is a page: whole rows of three columns, in characters that can be read. What
     * was cut short or overwritten on its way seldom is, and what has more behind it may have been
     * told a wrong length; such a page must not reach a client, and the engine gives it again.
     */
    boolean isPage() {
        int tabs = 0;
        for (byte b : body) {
            tabs += b == '\t' ? 1 : 0;
            if (b == '\n' && tabs != TABS_IN_A_ROW) {
                return false;
            }
            tabs = b == '\n' ? 0 : tabs;
        }
        try {
            StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(body));
        } catch (CharacterCodingException fault) {
            return false;
        }
        return !more && (body.length == 0 || body[body.length - 1] == '\n');
    }

    /** A whole number in a header, or {@code absent} without one that can be used. */
    int whole(String name, int absent) {
        return (int) number(name, absent);
    }

    double number(String name, double absent) {
        try {
            return Double.parseDouble(headers.getOrDefault(name, "").trim());
        } catch (NumberFormatException fault) {
            return absent;
        }
    }

    boolean neverRan() {
        return "1".equals(headers.get("x-shed"));
    }

    /** Whether it says the same to the letter: a second copy does. */
    boolean like(EngineResponse other) {
        return status == other.status
                && headers.equals(other.headers)
                && Arrays.equals(body, other.body);
    }

    boolean closes() {
        return "close".equalsIgnoreCase(headers.get("connection"));
    }
}
