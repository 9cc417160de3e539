package firstage.server.client;

import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.util.regex.Pattern;
import org.xnio.StreamConnection;

/**
 * The clients' HTTP protocol: maps the names on the wire to the terms used in the code, and reads
 * the head of a call.
 */
final class ClientProtocol {
    /** Path of the liveness check, which is answered with 200. */
    static final String ALIVE_PATH = "/alive";

    /** Prefix of the paths at which clients poll. */
    static final String POLL_PATH_PREFIX = "/-/news/";

    /** Id of the request: 16 hexadecimal digits. */
    static final HttpString REQUEST_ID = new HttpString("X-Job-Id");

    /** Time that the client waits for its answer, in ms. */
    static final HttpString TIMEOUT_MS = new HttpString("X-Allow-Ms");

    /** Name of the tenant. */
    static final HttpString TENANT = new HttpString("X-Team");

    /** The client's estimate of the work, in ms. */
    static final HttpString ESTIMATE_MS = new HttpString("X-Size-Ms");

    /** The client's estimate of the memory, in MB. */
    static final HttpString MEMORY_MB = new HttpString("X-Memory");

    /** Ordering key: requests with the same key run one at a time, in the order of arrival. */
    static final HttpString ORDERING_KEY = new HttpString("X-Item");

    /** Header of an answer: time after which the client may retry, in ms. */
    static final HttpString RETRY_AFTER_MS = new HttpString("X-Wait-Ms");

    private static final Pattern CONTENT_LENGTH = Pattern.compile("[0-9]{1,18}");
    private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,15}(\\.[0-9]{1,15})?");

    private ClientProtocol() {}

    static StreamConnection connectionOf(HttpServerExchange exchange) {
        return ((AbstractServerConnection) exchange.getConnection()).getChannel();
    }

    /** Returns whether the headers define the length of the body unambiguously. */
    static boolean hasUnambiguousLength(HttpServerExchange exchange) {
        HeaderValues lengths = exchange.getRequestHeaders().get(Headers.CONTENT_LENGTH);
        HeaderValues encodings = exchange.getRequestHeaders().get(Headers.TRANSFER_ENCODING);
        if (encodings != null) {
            return lengths == null
                    && encodings.size() == 1
                    && encodings.getFirst().equalsIgnoreCase("chunked");
        }
        return lengths == null
                || lengths.size() == 1 && CONTENT_LENGTH.matcher(lengths.getFirst()).matches();
    }

    /**
     * Returns whether the client sent its next call before this one was answered, which the
     * protocol does not allow.
     */
    static boolean isPipelined(HttpServerExchange exchange) {
        return ((AbstractServerConnection) exchange.getConnection()).getExtraBytes() != null;
    }

    /** Returns the size of the path and all headers. */
    static int headBytes(HttpServerExchange exchange) {
        int size = exchange.getRequestURI().length();
        for (HeaderValues values : exchange.getRequestHeaders()) {
            for (String value : values) {
                size += values.getHeaderName().length() + value.length();
            }
        }
        return size;
    }

    /**
     * Returns the value of a header; null if it is missing, and an empty text, which is not valid
     * for any header of this protocol, if it occurs more than once.
     */
    static String stringHeader(HttpServerExchange exchange, HttpString header) {
        HeaderValues values = exchange.getRequestHeaders().get(header);
        return values == null ? null : values.size() == 1 ? values.getFirst().trim() : "";
    }

    /**
     * Returns a decimal number from a header; {@code defaultValue} if the header is missing, and
     * NaN if it is malformed.
     */
    static double doubleHeader(
            HttpServerExchange exchange, HttpString header, double defaultValue) {
        String text = stringHeader(exchange, header);
        return text == null
                ? defaultValue
                : DECIMAL.matcher(text).matches() ? Double.parseDouble(text) : Double.NaN;
    }
}
