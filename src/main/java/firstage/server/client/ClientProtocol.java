package firstage.server.client;

import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.util.regex.Pattern;
import org.xnio.StreamConnection;

/**
 * The names that the clients' HTTP protocol uses on the wire, each with the term for it in the
 * code, and how a call's head is read.
 */
final class ClientProtocol {
    /** Answers 200 while the manager lives. */
    static final String ALIVE_PATH = "/alive";

    /** What the path of a poll begins with. */
    static final String POLL_PATH_PREFIX = "/-/news/";

    /** The request's id: 16 hexadecimal digits. */
    static final HttpString REQUEST_ID = new HttpString("X-Job-Id");

    /** How long the client waits for its answer, in ms. */
    static final HttpString TIMEOUT_MS = new HttpString("X-Allow-Ms");

    /** The tenant's name. */
    static final HttpString TENANT = new HttpString("X-Team");

    /** The client's estimate of the work, in ms. */
    static final HttpString ESTIMATE_MS = new HttpString("X-Size-Ms");

    /** The client's estimate of the memory, in MB. */
    static final HttpString MEMORY_MB = new HttpString("X-Memory");

    /** The ordering key: requests with the same run one at a time, in the order of arrival. */
    static final HttpString ORDERING_KEY = new HttpString("X-Item");

    /** In an answer: after how long the client may send again, in ms. */
    static final HttpString RETRY_AFTER_MS = new HttpString("X-Wait-Ms");

    private static final Pattern CONTENT_LENGTH = Pattern.compile("[0-9]{1,18}");
    private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,15}(\\.[0-9]{1,15})?");

    private ClientProtocol() {}

    static StreamConnection connectionOf(HttpServerExchange exchange) {
        return ((AbstractServerConnection) exchange.getConnection()).getChannel();
    }

    /** Whether there is one way only to tell where the call's body ends. */
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
     * Whether the next call came before the answer to this one: a client makes one call at a time.
     */
    static boolean isPipelined(HttpServerExchange exchange) {
        return ((AbstractServerConnection) exchange.getConnection()).getExtraBytes() != null;
    }

    /** The size of the path and of all headers. */
    static int headBytes(HttpServerExchange exchange) {
        int size = exchange.getRequestURI().length();
        for (HeaderValues values : exchange.getRequestHeaders()) {
            for (String value : values) {
                size += values.getHeaderName().length() + value.length();
            }
        }
        return size;
    }

    /** A header; null without it, and empty, which no field may be, where it is given twice. */
    static String text(HttpServerExchange exchange, HttpString header) {
        HeaderValues values = exchange.getRequestHeaders().get(header);
        return values == null ? null : values.size() == 1 ? values.getFirst().trim() : "";
    }

    /**
     * A decimal number in a header; {@code absent} without it, not a number where it can't be read.
     */
    static double number(HttpServerExchange exchange, HttpString header, double absent) {
        String text = text(exchange, header);
        return text == null
                ? absent
                : DECIMAL.matcher(text).matches() ? Double.parseDouble(text) : Double.NaN;
    }
}
