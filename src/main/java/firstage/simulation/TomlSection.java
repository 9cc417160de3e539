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

/** One table of the file, and which of its keys were asked for. */
public final class TomlSection {
    private static final Pattern FIGURE =
            Pattern.compile("\\s*([0-9]+(?:\\.[0-9]+)?)\\s*([a-zA-Z%]*)\\s*");
    private static final Map<String, Double> TIMES =
            Map.of("ms", 10.0, "s", 10_000.0, "min", 600_000.0, "h", 3.6e7);
    private static final Map<String, Double> SIZES = Map.of("MB", 1.0, "GB", 1_024.0);
    private final TomlTable table;
    private final String path;
    private final int line;
    private final Set<String> known = new LinkedHashSet<>();

    public TomlSection(TomlTable table, String path, int line) {
        this.table = table;
        this.path = path;
        this.line = line;
    }

    public int line() {
        return line;
    }

    private Object value(String key, Object absent, String unit) {
        known.add(key);
        Object value = table == null ? null : table.get(List.of(key));
        if (value == null && absent == null) {
            throw new InvalidPlanException(
                    line,
                    (path.isEmpty() ? "" : path + " ")
                            + "has no "
                            + key
                            + "; write "
                            + key
                            + " = "
                            + unit);
        }
        return value == null ? absent : value;
    }

    public InvalidPlanException fault(String key, String what) {
        int at =
                table == null || table.inputPositionOf(List.of(key)) == null
                        ? line
                        : table.inputPositionOf(List.of(key)).line();
        return new InvalidPlanException(at, (path.isEmpty() ? "" : path + ".") + key + ": " + what);
    }

    public String text(String key, String absent) {
        Object value = value(key, absent, "\"...\"");
        if (value instanceof String text) {
            return text;
        }
        throw fault(key, value + " is no text; write " + key + " = \"" + value + "\"");
    }

    public String oneOf(String key, String absent, List<String> words) {
        String text = text(key, absent);
        if (!words.contains(text)) {
            throw fault(key, "'" + text + "' is none of " + String.join(", ", words));
        }
        return text;
    }

    public boolean flag(String key, boolean absent) {
        Object value = value(key, absent, "true");
        if (value instanceof Boolean flag) {
            return flag;
        }
        throw fault(key, value + " is neither true nor false");
    }

    public int whole(String key, int least, int most, Integer absent) {
        Object value =
                value(
                        key,
                        absent == null ? null : (Object) Long.valueOf(absent),
                        String.valueOf(least));
        if (!(value instanceof Long whole)) {
            throw fault(key, value + " is no whole number");
        }
        if (whole < least || whole > most) {
            throw fault(key, whole + " is impossible; " + least + " to " + most + " would do");
        }
        return (int) (long) whole;
    }

    public double figure(String key, double least, double most, Double absent) {
        Object value = value(key, absent, "a number");
        if (!(value instanceof Number number)) {
            throw fault(key, value + " is no number");
        }
        return bounded(key, number.doubleValue(), least, most);
    }

    private double bounded(String key, double figure, double least, double most) {
        if (!(figure >= least && figure <= most)) {
            throw fault(key, figure + " is impossible; " + least + " to " + most + " would do");
        }
        return figure;
    }

    /** From 0 to 1, or as "12%". */
    double share(String key, Double absent) {
        Object value = value(key, absent, "\"10%\"");
        double share;
        if (value instanceof String text && text.trim().endsWith("%")) {
            share = figure(key, text, Map.of("%", 0.01), "\"12%\"");
        } else if (value instanceof Number number) {
            share = number.doubleValue();
        } else {
            throw fault(key, "'" + value + "' is no share; write 0.12 or \"12%\"");
        }
        return bounded(key, share, 0, 1);
    }

    Range figures(String key, double least, double most, String absent) {
        Object value = value(key, absent, "a number");
        String text =
                value instanceof Number ? value.toString() : value instanceof String t ? t : "?";
        Range range = range(key, text, Map.of("", 1.0), "\"1 to 2\"");
        bounded(key, range.low(), least, most);
        bounded(key, range.high(), least, most);
        return range;
    }

    public long time(String key, String absent) {
        Object value = value(key, absent, "\"5 s\"");
        return Math.round(figure(key, value, TIMES, "\"5 s\", \"200 ms\", \"2 min\" or \"1 h\""));
    }

    Range times(String key, String absent) {
        return range(key, value(key, absent, "\"1 s to 3 s\""), TIMES, "\"1 s to 3 s\"");
    }

    double size(String key, String absent) {
        return figure(key, value(key, absent, "\"16 GB\""), SIZES, "\"512 MB\" or \"16 GB\"");
    }

    private Range range(String key, Object value, Map<String, Double> units, String would) {
        String[] parts = String.valueOf(value).split(" to ", 2);
        double low = figure(key, parts[0], units, would);
        double high = parts.length > 1 ? figure(key, parts[1], units, would) : low;
        if (high < low) {
            throw fault(key, "'" + value + "' runs backwards; the lesser figure comes first");
        }
        return new Range(low, high);
    }

    private double figure(String key, Object value, Map<String, Double> units, String would) {
        Matcher m = FIGURE.matcher(String.valueOf(value));
        if (!m.matches()) {
            throw fault(key, "'" + value + "' is no figure; " + would + " would do");
        }
        Double unit = units.get(m.group(2));
        if (unit == null) {
            throw fault(
                    key,
                    "'"
                            + value
                            + "' "
                            + (m.group(2).isEmpty() ? "has no unit" : "has an unknown unit")
                            + "; "
                            + would
                            + " would do");
        }
        return Double.parseDouble(m.group(1)) * unit;
    }

    public TomlSection table(String key) {
        known.add(key);
        Object value = table.get(List.of(key));
        if (value != null && !(value instanceof TomlTable)) {
            throw fault(key, "is no section; write [" + key + "]");
        }
        return new TomlSection(
                (TomlTable) value,
                key,
                value == null ? 0 : table.inputPositionOf(List.of(key)).line());
    }

    public List<TomlSection> tables(String key) {
        known.add(key);
        Object value = table.get(List.of(key));
        if (value == null) {
            return List.of();
        }
        if (!(value instanceof TomlArray array)
                || !array.toList().stream().allMatch(TomlTable.class::isInstance)) {
            throw fault(key, "is no list of sections; write [[" + key + "]]");
        }
        List<TomlSection> all = new ArrayList<>();
        for (int i = 0; i < array.size(); i++) {
            all.add(
                    new TomlSection(
                            array.getTable(i),
                            key + " " + (i + 1),
                            array.inputPositionOf(i).line()));
        }
        return all;
    }

    /** All that was written must have been asked for. */
    public void done() {
        if (table == null) {
            return;
        }
        for (String key : table.keySet()) {
            if (!known.contains(key)) {
                throw fault(key, "is unknown; known here: " + String.join(", ", known));
            }
        }
    }
}
