package firstage.server.engine;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;

/**
 * The response of an engine to one call.
 *
 * @param headers header values by name in lower case
 * @param trailingBytes whether unexpected bytes followed the response
 */
record EngineResponse(int status, Map<String, String> headers, byte[] body, boolean trailingBytes) {
    private static final int TABS_PER_ROW = 2;

    /**
     * Returns whether the body is a valid page: complete rows of three columns in valid UTF-8, with
     * no trailing bytes. A body that was truncated or overwritten in transit is rarely valid, and
     * trailing bytes may be due to a wrong length. An invalid page must not reach a client and is
     * fetched again.
     */
    boolean isValidPage() {
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

    /** Returns an integer header, or {@code defaultValue} if it is missing or malformed. */
    int intHeader(String name, int defaultValue) {
        return (int) doubleHeader(name, defaultValue);
    }

    double doubleHeader(String name, double defaultValue) {
        try {
            return Double.parseDouble(headers.getOrDefault(name, "").trim());
        } catch (NumberFormatException exception) {
            return defaultValue;
        }
    }

    /** Returns whether both responses are equal byte for byte, as duplicates are. */
    boolean isSameAs(EngineResponse other) {
        return status == other.status
                && headers.equals(other.headers)
                && Arrays.equals(body, other.body);
    }

    boolean closesConnection() {
        return "close".equalsIgnoreCase(headers.get("connection"));
    }
}
