package firstage.server.client;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Encodes an engine's pages (columns separated by tabs, rows ended by line feeds) as the JSON rows
 * of an answer.
 */
final class JsonRows {
    private static final byte[] START = bytes("{\"page\":[");
    private static final byte[] END = bytes("]}");
    private static final byte[] HEX = bytes("0123456789abcdef");

    private JsonRows() {}

    static ByteBuffer encode(List<byte[]> pages) {
        int size = pages.stream().mapToInt(p -> p.length).sum();
        ByteArrayOutputStream out = new ByteArrayOutputStream(size * 5 / 4 + 32);
        out.writeBytes(START);
        boolean inRow = false;
        boolean first = true;
        for (byte[] page : pages) {
            for (byte b : page) {
                if (!inRow) {
                    out.writeBytes(bytes(first ? "[\"" : ",[\""));
                    inRow = true;
                    first = false;
                }
                if (b == '\n') {
                    out.writeBytes(bytes("\"]"));
                    inRow = false;
                } else if (b == '\t') {
                    out.writeBytes(bytes("\",\""));
                } else {
                    writeEscaped(out, b);
                }
            }
        }
        if (inRow) {
            out.writeBytes(bytes("\"]"));
        }
        out.writeBytes(END);
        return ByteBuffer.wrap(out.toByteArray());
    }

    /** Writes a byte of a text, escaped if needed; bytes of non-ASCII characters are unchanged. */
    private static void writeEscaped(ByteArrayOutputStream out, byte b) {
        if (b == '"' || b == '\\') {
            out.write('\\');
            out.write(b);
        } else if (b >= 0 && b < ' ') {
            out.writeBytes(bytes("\\u00"));
            out.write(HEX[b >> 4]);
            out.write(HEX[b & 15]);
        } else {
            out.write(b);
        }
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
