package firstage.fleet;

import firstage.door.ServiceGroup.Effect;
import firstage.door.ServiceGroup.Scope;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlTable;

/**
 * Reads a fleet file: TOML, every figure that has a unit with its unit. What can't be used is told with its line
 * and what
 * would do; nothing is guessed, and no key is skipped.
 */
public final class FleetFile {
    private static final Pattern FIGURE = Pattern.compile("\\s*([0-9]+(?:\\.[0-9]+)?)\\s*([a-zA-Z%]*)\\s*");
    private static final Map<String, Double> TIMES = Map.of("ms", 10.0, "s", 10_000.0, "min", 600_000.0, "h", 3.6e7);
    private static final Map<String, Double> SIZES = Map.of("MB", 1.0, "GB", 1_024.0);

    private FleetFile() {
    }

    /** The plan that this text sets; {@link FleetFault} names line and cure. */
    public static FleetPlan read(String text) {
        TomlParseResult toml = Toml.parse(text);
        if (toml.hasErrors()) {
            TomlParseError error = toml.errors().get(0);
            throw new FleetFault(error.position().line(), firstLine(error.getMessage()));
        }
        Section top = new Section(toml, "", 1);
        FleetPlan plan = new FleetPlan(top.text("name", "fleet"), top.time("length", null),
                managers(top.table("managers")),
                engines(top.table("engines")), net(top.table("net")), clients(top.table("clients")),
                rules(top.table("rules")), goal(top.table("goal")), groups(top.tables("group")),
                customers(top.tables("customer")), traffic(top.table("traffic")), troubles(top));
        top.done();
        return plan;
    }

    private static String firstLine(String text) {
        return text.lines().findFirst().orElse("").trim();
    }

    private static FleetPlan.Managers managers(Section s) {
        FleetPlan.Managers m = new FleetPlan.Managers(s.whole("count", 1, 1_000, null), s.share("unequal", 0.0),
                s.times("list_delay", "1 s to 3 s"), s.flag("probes", false), s.flag("second_copies", false),
                s.flag("call_off", false), s.whole("dispatches", 1, 100, 6), s.times("restart", "500 ms to 1500 ms"));
        s.done();
        return m;
    }

    private static FleetPlan.Engines engines(Section s) {
        FleetPlan.Engines e = new FleetPlan.Engines(s.whole("count", 1, 10_000, null), s.whole("cores", 1, 1_024, null),
                s.size("memory", null), s.figures("speed", 0.01, 100, "1"), s.figures("knee", 0.1, 100, "1.3 to 2.2"),
                s.figures("thrash", 0, 10, "0.3 to 0.6"), s.figure("disks", 0.1, 1_000, 0.5),
                s.figures("spill", 0, 100, "1.5 to 3"), s.whole("sessions", 1, 10_000, 64),
                s.whole("warm_tables", 0, 1_000, 4), s.share("warm_gain", 0.5), s.share("cold_from", 0.3),
                s.times("warm_after", "13 s"), s.flag("grants", true), s.flag("priorities", true),
                s.time("notes", "500 ms"), s.share("errs", 0.0));
        s.done();
        return e;
    }

    private static FleetPlan.Net net(Section s) {
        FleetPlan.Net n = new FleetPlan.Net(s.times("way", "0.2 ms to 1 ms"));
        s.done();
        return n;
    }

    private static FleetPlan.Clients clients(Section s) {
        FleetPlan.Clients c = new FleetPlan.Clients(s.whole("retries", 0, 100, 1), s.times("wait", "100 ms to 500 ms"),
                s.share("try_share", 1.0), s.share("honour", 0.7));
        s.done();
        return c;
    }

    private static FleetPlan.Rules rules(Section s) {
        FleetPlan.Rules r = new FleetPlan.Rules(s.time("drain_grace", "500 ms"), s.figure("tip_multiple", 0, 100, 2.0),
                s.time("fall", "2 s"), s.time("key_rest", "0 s"));
        s.done();
        return r;
    }

    private static FleetPlan.Goal goal(Section s) {
        FleetPlan.Goal g = new FleetPlan.Goal(s.share("whole", 0.5), s.share("worst_span", 0.2),
                s.share("worst_group", 0.2), s.share("worst_customer", 0.1));
        s.done();
        return g;
    }

    private static FleetPlan.Traffic traffic(Section s) {
        FleetPlan.Traffic t = new FleetPlan.Traffic(s.oneOf("kind", "steady", TrafficShape.NAMES),
                s.figure("rate", 0.001, 1e6, null), s.share("swing", 0.2), s.whole("keys", 0, 1_000_000, 0),
                s.figure("key_heat", 0, 3, 0.8), s.whole("tables", 1, 100_000, 20), s.figure("table_heat", 0, 3, 0.7));
        s.done();
        return t;
    }

    private static List<FleetPlan.Group> groups(List<Section> all) {
        List<FleetPlan.Group> groups = new ArrayList<>();
        for (Section s : all) {
            groups.add(new FleetPlan.Group(s.text("name", null), s.share("share", null), s.time("work", null),
                    s.figure("spread", 0, 5, 0.8), s.share("io", 0.3), s.whole("threads", 1, 256, 1),
                    s.size("memory", null), s.time("goal", null), s.figure("stretch", 0, 100, 0.0), s.time("limit",
                            null),
                    s.figure("utility", 0, 1e6, 1.0), s.share("late_value", 0.0),
                    effect(s.oneOf("effect", null, List.of("repeatable", "referenced", "once-only"))),
                    Scope.valueOf(s.oneOf("scope", "all", List.of("all", "zone", "cell")).toUpperCase(Locale.ROOT)),
                    s.time("window", "5 s"), s.flag("ordered", false), s.flag("load", false), s.flag("yields", false),
                    s.share("bad_plans", 0.0), s.figure("estimate_low", 0.01, 100, 1.0),
                    s.figure("estimate_scatter", 0, 5, 0.4)));
            s.done();
        }
        if (groups.isEmpty()) {
            throw new FleetFault(0,
                    "no service group; write [[group]] with name, share, work, memory, goal, limit, effect");
        }
        return groups;
    }

    private static Effect effect(String word) {
        return Effect.valueOf(word.toUpperCase(Locale.ROOT).replace('-', '_'));
    }

    private static List<FleetPlan.Customer> customers(List<Section> all) {
        List<FleetPlan.Customer> customers = new ArrayList<>();
        for (Section s : all) {
            customers.add(new FleetPlan.Customer(s.text("name", null), s.share("share", null)));
            s.done();
        }
        return customers.isEmpty() ? List.of(new FleetPlan.Customer("all", 1)) : customers;
    }

    private static List<FleetPlan.Trouble> troubles(Section top) {
        List<FleetPlan.Trouble> troubles = new ArrayList<>();
        List<String> kinds = Arrays.stream(FleetPlan.Trouble.Kind.values())
                .map(k -> k.name().toLowerCase(Locale.ROOT).replace('_', '-')).toList();
        for (Section s : top.tables("trouble")) {
            FleetPlan.Trouble.Kind kind = FleetPlan.Trouble.Kind.valueOf(
                    s.oneOf("kind", null, kinds).toUpperCase(Locale.ROOT).replace('-', '_'));
            troubles.add(new FleetPlan.Trouble(kind, s.time("at", null), s.time("length", "0 s"), s.share("part", 1.0),
                    s.figure("size", 0, 1_000, 1.0), s.share("extra", 0.01), s.whole("group", 0, 1_000, 0)));
            s.done();
        }
        return troubles;
    }

    /** One table of the file, and which of its keys were asked for. */
    private static final class Section {
        private final TomlTable table;
        private final String path;
        private final int line;
        private final Set<String> known = new LinkedHashSet<>();

        private Section(TomlTable table, String path, int line) {
            this.table = table;
            this.path = path;
            this.line = line;
        }

        private Object value(String key, Object absent, String unit) {
            known.add(key);
            Object value = table == null ? null : table.get(List.of(key));
            if (value == null && absent == null) {
                throw new FleetFault(line, (path.isEmpty() ? "" : path + " ") + "has no " + key + "; write " + key
                        + " = "
                        + unit);
            }
            return value == null ? absent : value;
        }

        private FleetFault fault(String key, String what) {
            int at = table == null || table.inputPositionOf(List.of(key)) == null ? line
                    : table.inputPositionOf(List.of(key)).line();
            return new FleetFault(at, (path.isEmpty() ? "" : path + ".") + key + ": " + what);
        }

        String text(String key, String absent) {
            Object value = value(key, absent, "\"...\"");
            if (value instanceof String text) {
                return text;
            }
            throw fault(key, value + " is no text; write " + key + " = \"" + value + "\"");
        }

        String oneOf(String key, String absent, List<String> words) {
            String text = text(key, absent);
            if (!words.contains(text)) {
                throw fault(key, "'" + text + "' is none of " + String.join(", ", words));
            }
            return text;
        }

        boolean flag(String key, boolean absent) {
            Object value = value(key, absent, "true");
            if (value instanceof Boolean flag) {
                return flag;
            }
            throw fault(key, value + " is neither true nor false");
        }

        int whole(String key, int least, int most, Integer absent) {
            Object value = value(key, absent == null ? null : (Object) Long.valueOf(absent), String.valueOf(least));
            if (!(value instanceof Long whole)) {
                throw fault(key, value + " is no whole number");
            }
            if (whole < least || whole > most) {
                throw fault(key, whole + " is impossible; " + least + " to " + most + " would do");
            }
            return (int) (long) whole;
        }

        double figure(String key, double least, double most, Double absent) {
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
            String text = value instanceof Number ? value.toString() : value instanceof String t ? t : "?";
            Range range = range(key, text, Map.of("", 1.0), "\"1 to 2\"");
            bounded(key, range.low(), least, most);
            bounded(key, range.high(), least, most);
            return range;
        }

        long time(String key, String absent) {
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
                throw fault(key, "'" + value + "' " + (m.group(2).isEmpty() ? "has no unit" : "has an unknown unit")
                        + "; " + would + " would do");
            }
            return Double.parseDouble(m.group(1)) * unit;
        }

        Section table(String key) {
            known.add(key);
            Object value = table.get(List.of(key));
            if (value != null && !(value instanceof TomlTable)) {
                throw fault(key, "is no section; write [" + key + "]");
            }
            return new Section((TomlTable) value, key, value == null ? 0 : table.inputPositionOf(List.of(key)).line());
        }

        List<Section> tables(String key) {
            known.add(key);
            Object value = table.get(List.of(key));
            if (value == null) {
                return List.of();
            }
            if (!(value instanceof TomlArray array) || !array.toList().stream().allMatch(TomlTable.class::isInstance)) {
                throw fault(key, "is no list of sections; write [[" + key + "]]");
            }
            List<Section> all = new ArrayList<>();
            for (int i = 0; i < array.size(); i++) {
                all.add(new Section(array.getTable(i), key + " " + (i + 1), array.inputPositionOf(i).line()));
            }
            return all;
        }

        /** All that was written must have been asked for. */
        void done() {
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
}
