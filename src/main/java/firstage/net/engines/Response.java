package firstage.net.engines;

import java.util.Map;

/** An engine's answer to one call; header names in lower case. */
record Response(int status, Map<String, String> headers, byte[] body) {
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

    boolean closes() {
        return "close".equalsIgnoreCase(headers.get("connection"));
    }
}
