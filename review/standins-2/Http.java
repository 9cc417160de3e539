import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** One HTTP/1.1 message, read from a blocking stream. Only Content-Length bodies. */
final class Http {
    final String first;
    final Map<String, String> headers = new HashMap<>();
    final byte[] body;

    private Http(String first, Map<String, String> headers, byte[] body) {
        this.first = first;
        this.headers.putAll(headers);
        this.body = body;
    }

    /** Returns the next message; null if the stream ends before its first byte. */
    static Http read(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new HashMap<>();
        for (String l = line(in); ; l = line(in)) {
            if (l == null) {
                throw new EOFException("head cut off");
            }
            if (l.isEmpty()) {
                break;
            }
            int colon = l.indexOf(':');
            headers.put(l.substring(0, colon).trim().toLowerCase(Locale.ROOT), l.substring(colon + 1).trim());
        }
        byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        if (body.length < Integer.parseInt(headers.getOrDefault("content-length", "0"))) {
            throw new EOFException("body cut off");
        }
        return new Http(first, headers, body);
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); ; b = in.read()) {
            if (b < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("line cut off");
            }
            if (b == '\n') {
                return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
            }
            line.write(b);
        }
    }

    int status() {
        return Integer.parseInt(first.split(" ")[1]);
    }

    String text() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
