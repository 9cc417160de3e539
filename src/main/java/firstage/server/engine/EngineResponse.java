package firstage.server.engine;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;

/**
 * A response of an engine to one call.
 *
 * @param headers by name in lower case
 * @param trailingBytes whether bytes came behind its end
 */
record EngineResponse(int status, Map<String, String> headers, byte[] body, boolean trailingBytes) {
    private static final int TABS_PER_ROW = 2;

    /**
     * Whether the body is a page: complete rows of three columns, in valid UTF-8. What was cut
     * short or overwritten on its way seldom is, and what has bytes behind it may have had a wrong
     * length; such a page must not reach a client, and is fetched again.
     */
    boolean isPage() {
        int tabs = 0;
        for (byte b : body) {
            tabs += b == '\t' ? 1 : 0;
            if (b == '\n' && tabs != TABS_PER_ROW) {
                return false;
            }
            tabs = b == '\n' ? 0 : tabs;
        }
        try {
            StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(body));
        } catch (CharacterCodingException exception) {
            return false;
        }
        return !trailingBytes && (body.length == 0 || body[body.length - 1] == '\n');
    }

    /** An integer in a header, or {@code defaultValue} without one that can be used. */
    int intHeader(String name, int defaultValue) {
        return (int) numberHeader(name, defaultValue);
    }

    double numberHeader(String name, double defaultValue) {
        try {
            return Double.parseDouble(headers.getOrDefault(name, "").trim());
        } catch (NumberFormatException exception) {
            return defaultValue;
        }
    }

    /** Whether it is the same byte for byte, as a duplicate is. */
    boolean isSameAs(EngineResponse other) {
        return status == other.status
                && headers.equals(other.headers)
                && Arrays.equals(body, other.body);
    }

    boolean closesConnection() {
        return "close".equalsIgnoreCase(headers.get("connection"));
    }
}
