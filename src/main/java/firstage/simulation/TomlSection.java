package firstage.simulation;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.tomlj.TomlArray;
import org.tomlj.TomlTable;

/**
 * A table of a TOML file with typed access to its values. It remembers the keys that were read, so
 * that unknown keys can be refused. Keys without a default value (null) are required.
 */
public final class TomlSection {
    private static final Pattern VALUE_WITH_UNIT =
            Pattern.compile("\\s*([0-9]+(?:\\.[0-9]+)?)\\s*([a-zA-Z%]*)\\s*");
    private static final Map<String, Double> TICKS_BY_UNIT =
            Map.of("ms", 10.0, "s", 10_000.0, "min", 600_000.0, "h", 3.6e7);
    private static final Map<String, Double> MB_BY_UNIT = Map.of("MB", 1.0, "GB", 1_024.0);
    private final TomlTable table;
    private final String path;
    private final int line;
    private final Set<String> knownKeys = new LinkedHashSet<>();

    public TomlSection(TomlTable table, String path, int line) {
        this.table = table;
        this.path = path;
        this.line = line;
    }

    public int line() {
        return line;
    }

    private Object value(String key, Object defaultValue, String example) {
        knownKeys.add(key);
        Object value = table == null ? null : table.get(List.of(key));
        if (value == null && defaultValue == null) {
            throw new InvalidPlanException(
                    line,
                    (path.isEmpty() ? "" : path + " ")
                            + "has no "
                            + key
                            + "; write "
                            + key
                            + " = "
                            + example);
        }
        return value == null ? defaultValue : value;
    }

    /** Returns an exception for the value of a key, with the line of that key. */
    public InvalidPlanException invalid(String key, String problem) {
        int errorLine =
                table == null || table.inputPositionOf(List.of(key)) == null
                        ? line
                        : table.inputPositionOf(List.of(key)).line();
        return new InvalidPlanException(
                errorLine, (path.isEmpty() ? "" : path + ".") + key + ": " + problem);
    }

    public String text(String key, String defaultValue) {
        Object value = value(key, defaultValue, "\"...\"");
        if (value instanceof String text) {
            return text;
        }
        throw invalid(key, value + " is not a string; write " + key + " = \"" + value + "\"");
    }

    public String oneOf(String key, String defaultValue, List<String> allowed) {
        String text = text(key, defaultValue);
        if (!allowed.contains(text)) {
            throw invalid(key, "'" + text + "' is none of " + String.join(", ", allowed));
        }
        return text;
    }

    public boolean flag(String key, boolean defaultValue) {
        Object value = value(key, defaultValue, "true");
        if (value instanceof Boolean flag) {
            return flag;
        }
        throw invalid(key, value + " is neither true nor false");
    }

    public int integer(String key, int min, int max, Integer defaultValue) {
        Object value =
                value(
                        key,
                        defaultValue == null ? null : (Object) Long.valueOf(defaultValue),
                        String.valueOf(min));
        if (!(value instanceof Long number)) {
            throw invalid(key, value + " is not a whole number");
        }
        if (number < min || number > max) {
            throw invalid(
                    key, number + " is out of range; " + min + " to " + max + " would be valid");
        }
        return (int) (long) number;
    }

    public double number(String key, double min, double max, Double defaultValue) {
        Object value = value(key, defaultValue, "a number");
        if (!(value instanceof Number number)) {
            throw invalid(key, value + " is not a number");
        }
        return bounded(key, number.doubleValue(), min, max);
    }

    private double bounded(String key, double value, double min, double max) {
        if (!(value >= min && value <= max)) {
            throw invalid(
                    key, value + " is out of range; " + min + " to " + max + " would be valid");
        }
        return value;
    }

    /** Returns a share from 0 to 1, which may be written as a percentage ("12%"). */
    double share(String key, Double defaultValue) {
        Object value = value(key, defaultValue, "\"10%\"");
        double share;
        if (value instanceof String text && text.trim().endsWith("%")) {
            share = number(key, text, Map.of("%", 0.01), "\"12%\"");
        } else if (value instanceof Number number) {
            share = number.doubleValue();
        } else {
            throw invalid(key, "'" + value + "' is not a share; write 0.12 or \"12%\"");
        }
        return bounded(key, share, 0, 1);
    }

    Range numberRange(String key, double min, double max, String defaultValue) {
        Object value = value(key, defaultValue, "a number");
        String text =
                value instanceof Number ? value.toString() : value instanceof String t ? t : "?";
        Range range = range(key, text, Map.of("", 1.0), "\"1 to 2\"");
        bounded(key, range.low(), min, max);
        bounded(key, range.high(), min, max);
        return range;
    }

    /** Returns a duration in ticks. */
    public long duration(String key, String defaultValue) {
        Object value = value(key, defaultValue, "\"5 s\"");
        return Math.round(
                number(key, value, TICKS_BY_UNIT, "\"5 s\", \"200 ms\", \"2 min\" or \"1 h\""));
    }

    /** Returns a range of durations in ticks. */
    Range durationRange(String key, String defaultValue) {
        return range(
                key, value(key, defaultValue, "\"1 s to 3 s\""), TICKS_BY_UNIT, "\"1 s to 3 s\"");
    }

    double sizeMb(String key, String defaultValue) {
        return number(
                key, value(key, defaultValue, "\"16 GB\""), MB_BY_UNIT, "\"512 MB\" or \"16 GB\"");
    }

    private Range range(String key, Object value, Map<String, Double> units, String example) {
        String[] parts = String.valueOf(value).split(" to ", 2);
        double low = number(key, parts[0], units, example);
        double high = parts.length > 1 ? number(key, parts[1], units, example) : low;
        if (high < low) {
            throw invalid(key, "'" + value + "' is reversed; write the lower value first");
        }
        return new Range(low, high);
    }

    private double number(String key, Object value, Map<String, Double> units, String example) {
        Matcher matcher = VALUE_WITH_UNIT.matcher(String.valueOf(value));
        if (!matcher.matches()) {
            throw invalid(
                    key, "'" + value + "' is not a valid value; " + example + " would be valid");
        }
        Double factor = units.get(matcher.group(2));
        if (factor == null) {
            throw invalid(
                    key,
                    "'"
                            + value
                            + "' "
                            + (matcher.group(2).isEmpty() ? "has no unit" : "has an unknown unit")
                            + "; "
                            + example
                            + " would be valid");
        }
        return Double.parseDouble(matcher.group(1)) * factor;
    }

    public TomlSection table(String key) {
        knownKeys.add(key);
        Object value = table.get(List.of(key));
        if (value != null && !(value instanceof TomlTable)) {
            throw invalid(key, "is not a section; write [" + key + "]");
        }
        return new TomlSection(
                (TomlTable) value,
                key,
                value == null ? 0 : table.inputPositionOf(List.of(key)).line());
    }

    public List<TomlSection> tables(String key) {
        knownKeys.add(key);
        Object value = table.get(List.of(key));
        if (value == null) {
            return List.of();
        }
        if (!(value instanceof TomlArray array)
                || !array.toList().stream().allMatch(TomlTable.class::isInstance)) {
            throw invalid(key, "is not a list of sections; write [[" + key + "]]");
        }
        List<TomlSection> sections = new ArrayList<>();
        for (int i = 0; i < array.size(); i++) {
            sections.add(
                    new TomlSection(
                            array.getTable(i),
                            key + " " + (i + 1),
                            array.inputPositionOf(i).line()));
        }
        return sections;
    }

    /** Refuses the section if it contains a key that was never read. */
    public void rejectUnknownKeys() {
        if (table == null) {
            return;
        }
        for (String key : table.keySet()) {
            if (!knownKeys.contains(key)) {
                throw invalid(key, "is unknown; known keys: " + String.join(", ", knownKeys));
            }
        }
    }
}
