package firstage.config;

import firstage.util.Ticks;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Fields of one line of the wire, as name=value, or of a JSON object. Durations are in seconds on
 * the wire and in ticks here.
 *
 * <p>Getters take the value to return if the field is absent. All of them throw {@link
 * InvalidInputException}, whose message names the field, if its value can't be read.
 */
public final class WireFields {
    /**
     * Tolerance in ticks: a whole number of ticks that is given in seconds, as a binary fraction,
     * falls short by less than this.
     */
    private static final double ROUNDING_TOLERANCE = 1e-6;

    private final Map<String, String> values = new HashMap<>();

    /** Reads the fields of {@code line} after its first word; values contain no spaces. */
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
     * Reads nested values, as JSON holds them, under their dotted paths. Lists of scalars are
     * joined with commas; the length of a list of objects is held under {@code .count}.
     */
    public WireFields(Map<?, ?> nested) {
        put("", nested);
    }

    /** Returns a name as the wire writes it in a list, where commas within values are replaced. */
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

    /** Returns whether the field is present. */
    public boolean has(String name) {
        return values.containsKey(name);
    }

    /** Returns the text of a required field. */
    public String require(String name) {
        String value = values.get(name);
        if (value == null) {
            throw new InvalidInputException("missing " + name);
        }
        return value;
    }

    /** Returns the integer in a required field. */
    public long requireLong(String name) {
        try {
            return Long.parseLong(require(name));
        } catch (NumberFormatException exception) {
            throw new InvalidInputException(name + " is not a whole number");
        }
    }

    /** Returns the number in a required field. */
    public double requireDouble(String name) {
        try {
            return Double.parseDouble(require(name));
        } catch (NumberFormatException exception) {
            throw new InvalidInputException(name + " is not a number");
        }
    }

    /** Returns the text of a field. */
    public String getString(String name, String defaultValue) {
        return values.getOrDefault(name, defaultValue);
    }

    /** Returns the integer in a field. */
    public long getLong(String name, long defaultValue) {
        return has(name) ? requireLong(name) : defaultValue;
    }

    /** Returns the integer in a field that holds values in the range of an int. */
    public int getInt(String name, int defaultValue) {
        return (int) getLong(name, defaultValue);
    }

    /** Returns the number in a field. */
    public double getDouble(String name, double defaultValue) {
        return has(name) ? requireDouble(name) : defaultValue;
    }

    /** Returns whether a field is 1 or true; false if it is absent. */
    public boolean getBoolean(String name) {
        String value = values.get(name);
        return "1".equals(value) || "true".equals(value);
    }

    /** Returns the duration or clock time in a field, in ticks; 0 if it is absent. */
    public long getTicks(String name) {
        return secondsToTicks(getDouble(name, 0));
    }

    /** Converts seconds to whole ticks, rounded down. */
    public static long secondsToTicks(double seconds) {
        return (long) Math.floor(seconds * Ticks.PER_SECOND + ROUNDING_TOLERANCE);
    }

    /** Formats ticks as the wire writes them: seconds with four decimals. */
    public static String formatSeconds(long ticks) {
        long absolute = Math.abs(ticks);
        String fraction =
                Long.toString(Ticks.PER_SECOND + absolute % Ticks.PER_SECOND).substring(1);
        return (ticks < 0 ? "-" : "") + absolute / Ticks.PER_SECOND + "." + fraction;
    }
}
