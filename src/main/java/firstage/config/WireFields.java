package firstage.config;

import firstage.util.Ticks;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * The name=value fields of one line of the wire, or of a JSON object. Durations are seconds on the
 * wire and ticks here.
 *
 * <p>Getters take what to return where the field is absent. All of them throw {@link
 * MalformedLineException}, which names the field, where its value can't be read.
 */
public final class WireFields {
    /** Seconds in binary fall short of whole ticks by less than this. */
    private static final double ROUNDING = 1e-6;

    private final Map<String, String> values = new HashMap<>();

    /** Reads the fields of {@code line} after its first word; the values hold no spaces. */
    public WireFields(String line) {
        int space = line.indexOf(' ');
        while (space >= 0) {
            int nextSpace = line.indexOf(' ', space + 1);
            String field =
                    nextSpace < 0
                            ? line.substring(space + 1)
                            : line.substring(space + 1, nextSpace);
            int equalsSign = field.indexOf('=');
            if (equalsSign > 0) {
                values.put(field.substring(0, equalsSign), field.substring(equalsSign + 1));
            }
            space = nextSpace;
        }
    }

    /**
     * Takes nested values, as JSON holds them, under their paths with dots. Lists of scalars are
     * joined with commas; lists of objects tell their length under {@code .count}.
     */
    public WireFields(Map<?, ?> nested) {
        put("", nested);
    }

    /** A name as it stands in a list of the wire, which replaces commas in values. */
    public static String escapeCommas(String name) {
        return name.replace(',', '_');
    }

    private void put(String path, Object value) {
        String prefix = path.isEmpty() ? "" : path + ".";
        if (value instanceof Map<?, ?> map) {
            map.forEach((name, part) -> put(prefix + name, part));
        } else if (value instanceof List<?> list && list.stream().anyMatch(Map.class::isInstance)) {
            values.put(path + SettingsKeys.COUNT_SUFFIX, String.valueOf(list.size()));
            for (int i = 0; i < list.size(); i++) {
                put(prefix + i, list.get(i));
            }
        } else if (value instanceof List<?> list) {
            values.put(
                    path,
                    list.stream()
                            .map(part -> escapeCommas(String.valueOf(part)))
                            .collect(Collectors.joining(",")));
        } else if (value != null) {
            values.put(path, value.toString());
        }
    }

    /** Whether there is such a field. */
    public boolean has(String name) {
        return values.containsKey(name);
    }

    /** The text of a field that has to be there. */
    public String require(String name) {
        String value = values.get(name);
        if (value == null) {
            throw new MalformedLineException("missing " + name);
        }
        return value;
    }

    /** The whole number of a field that has to be there. */
    public long requireLong(String name) {
        try {
            return Long.parseLong(require(name));
        } catch (NumberFormatException fault) {
            throw new MalformedLineException(name + " is no whole number");
        }
    }

    /** The number of a field that has to be there. */
    public double requireDouble(String name) {
        try {
            return Double.parseDouble(require(name));
        } catch (NumberFormatException fault) {
            throw new MalformedLineException(name + " is no number");
        }
    }

    /** The text of a field. */
    public String getString(String name, String defaultValue) {
        return values.getOrDefault(name, defaultValue);
    }

    /** The whole number of a field. */
    public long getLong(String name, long defaultValue) {
        return has(name) ? requireLong(name) : defaultValue;
    }

    /** The whole number of a field that holds small ones. */
    public int getInt(String name, int defaultValue) {
        return (int) getLong(name, defaultValue);
    }

    /** The number of a field. */
    public double getDouble(String name, double defaultValue) {
        return has(name) ? requireDouble(name) : defaultValue;
    }

    /** Whether a field is 1 or true; false where it is absent. */
    public boolean getBoolean(String name) {
        String value = values.get(name);
        return "1".equals(value) || "true".equals(value);
    }

    /** The duration or clock time of a field in ticks; 0 where it is absent. */
    public long getTicks(String name) {
        return secondsToTicks(getDouble(name, 0));
    }

    /** Seconds as whole ticks, rounded down. */
    public static long secondsToTicks(double seconds) {
        return (long) Math.floor(seconds * Ticks.PER_SECOND + ROUNDING);
    }

    /** Ticks as the wire writes them: seconds with four decimals. */
    public static String formatSeconds(long ticks) {
        long absolute = Math.abs(ticks);
        String fraction =
                Long.toString(Ticks.PER_SECOND + absolute % Ticks.PER_SECOND).substring(1);
        return (ticks < 0 ? "-" : "") + absolute / Ticks.PER_SECOND + "." + fraction;
    }
}
