package firstage.config;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** The name=value parts of one line. Times leave as whole tenths of a millisecond. */
public final class WireFields {
    private static final double TENTHS_PER_SECOND = 10_000;
    private final Map<String, String> parts = new HashMap<>();

    /** Reads the parts of {@code line} after its first word; the values hold no spaces. */
    public WireFields(String line) {
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

    /**
     * Takes nested values, as JSON holds them, under their paths with dots; lists of scalars with
     * commas.
     */
    public WireFields(Map<?, ?> nested) {
        put("", nested);
    }

    /** A value as it stands in a list: the wire replaces commas in names, too. */
    public static String escapeCommas(String name) {
        return name.replace(',', '_');
    }

    private void put(String path, Object value) {
        String dot = path.isEmpty() ? "" : path + ".";
        if (value instanceof Map<?, ?> map) {
            map.forEach((name, part) -> put(dot + name, part));
        } else if (value instanceof List<?> list && list.stream().anyMatch(Map.class::isInstance)) {
            parts.put(dot + "count", String.valueOf(list.size()));
            for (int i = 0; i < list.size(); i++) {
                put(dot + i, list.get(i));
            }
        } else if (value instanceof List<?> list) {
            parts.put(
                    path,
                    list.stream()
                            .map(part -> escapeCommas(String.valueOf(part)))
                            .collect(Collectors.joining(",")));
        } else if (value != null) {
            parts.put(path, value.toString());
        }
    }

    public boolean has(String name) {
        return parts.containsKey(name);
    }

    public String require(String name) {
        String value = parts.get(name);
        if (value == null) {
            throw new MalformedLineException("missing " + name);
        }
        return value;
    }

    public long requireLong(String name) {
        try {
            return Long.parseLong(require(name));
        } catch (NumberFormatException fault) {
            throw new MalformedLineException(name + " is no whole number");
        }
    }

    public double requireDouble(String name) {
        try {
            return Double.parseDouble(require(name));
        } catch (NumberFormatException fault) {
            throw new MalformedLineException(name + " is no number");
        }
    }

    public String getString(String name, String absent) {
        return parts.getOrDefault(name, absent);
    }

    public long getLong(String name, long absent) {
        return has(name) ? requireLong(name) : absent;
    }

    public int getInt(String name, int absent) {
        return (int) getLong(name, absent);
    }

    public double getDouble(String name, double absent) {
        return has(name) ? requireDouble(name) : absent;
    }

    public boolean getBoolean(String name) {
        String value = parts.get(name);
        return "1".equals(value) || "true".equals(value);
    }

    public long getTicks(String name) {
        return secondsToTicks(getDouble(name, 0));
    }

    public static long secondsToTicks(double seconds) {
        return (long) Math.floor(seconds * TENTHS_PER_SECOND + 1e-6);
    }

    /** Seconds as the wire writes them. */
    public static String formatSeconds(long tenths) {
        long abs = Math.abs(tenths);
        String fraction = Long.toString(10_000 + abs % 10_000).substring(1);
        return (tenths < 0 ? "-" : "") + abs / 10_000 + "." + fraction;
    }
}
