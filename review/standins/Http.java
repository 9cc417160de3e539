import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** One HTTP/1.1 message: first line, headers with names in lower case, body. */
final class Http {
    final String firstLine;
    final Map<String, String> headers;
    final byte[] body;

    private Http(String firstLine, Map<String, String> headers, byte[] body) {
        this.firstLine = firstLine;
        this.headers = headers;
        this.body = body;
    }

    int status() {
        return Integer.parseInt(firstLine.split(" ")[1]);
    }

    String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /** Reads a message; null at the end of the stream before its first byte. */
    static Http read(InputStream in) throws IOException {
        String first = line(in, true);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new HashMap<>();
        for (String line = line(in, false); !line.isEmpty(); line = line(in, false)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).trim().toLowerCase(), line.substring(colon + 1).trim());
        }
        byte[] body = new byte[0];
        if (headers.containsKey("content-length")) {
            int length = Integer.parseInt(headers.get("content-length"));
            body = in.readNBytes(length);
            if (body.length < length) {
                throw new EOFException("body ended early");
            }
        } else if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (int n = Integer.parseInt(line(in, false), 16);
                    n > 0;
                    n = Integer.parseInt(line(in, false), 16)) {
                all.write(in.readNBytes(n));
                line(in, false);
            }
            line(in, false);
            body = all.toByteArray();
        }
        return new Http(first, headers, body);
    }

    private static String line(InputStream in, boolean endAllowed) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                if (endAllowed && bytes.size() == 0) {
                    return null;
                }
                throw new EOFException("line ended early");
            }
            bytes.write(b);
        }
        return bytes.toString(StandardCharsets.ISO_8859_1).stripTrailing();
    }
}
