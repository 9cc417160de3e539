package firstage.benchlink;

import java.util.HashMap;
import java.util.Map;

/** The name=value parts of one line. Times leave as whole tenths of a millisecond. */
final class Fields {
    private static final double TENTHS_PER_SECOND = 10_000;
    private final Map<String, String> parts = new HashMap<>();

    /** Reads the parts of {@code line} after its first word; the values hold no spaces. */
    Fields(String line) {
        int at = line.indexOf(' ');
        while (at >= 0) {
            int next = line.indexOf(' ', at + 1);
            String part = next < 0 ? line.substring(at + 1) : line.substring(at + 1, next);
            int eq = part.indexOf('=');
            if (eq > 0) {
                parts.put(part.substring(0, eq), part.substring(eq + 1));
            }
            at = next;
        }
    }

    boolean has(String name) {
        return parts.containsKey(name);
    }

    String need(String name) {
        String value = parts.get(name);
        if (value == null) {
            throw new MalformedLine("missing " + name);
        }
        return value;
    }

    long needWhole(String name) {
        try {
            return Long.parseLong(need(name));
        } catch (NumberFormatException fault) {
            throw new MalformedLine(name + " is no whole number");
        }
    }

    double needNumber(String name) {
        try {
            return Double.parseDouble(need(name));
        } catch (NumberFormatException fault) {
            throw new MalformedLine(name + " is no number");
        }
    }

    String text(String name, String absent) {
        return parts.getOrDefault(name, absent);
    }

    long whole(String name, long absent) {
        return has(name) ? needWhole(name) : absent;
    }

    int index(String name, int absent) {
        return (int) whole(name, absent);
    }

    double number(String name, double absent) {
        return has(name) ? needNumber(name) : absent;
    }

    boolean flag(String name) {
        String value = parts.get(name);
        return "1".equals(value) || "true".equals(value);
    }

    long time(String name) {
        return tenths(number(name, 0));
    }

    static long tenths(double seconds) {
        return (long) Math.floor(seconds * TENTHS_PER_SECOND + 1e-6);
    }

    /** Seconds as the wire writes them. */
    static String seconds(long tenths) {
        long abs = Math.abs(tenths);
        String fraction = Long.toString(10_000 + abs % 10_000).substring(1);
        return (tenths < 0 ? "-" : "") + abs / 10_000 + "." + fraction;
    }
}
