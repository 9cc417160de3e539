package firstage.simulation;

import firstage.policy.api.TrafficClass.Effect;
import firstage.policy.api.TrafficClass.Scope;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.tomlj.Toml;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;

/**
 * Reads a fleet file: TOML, in which durations and sizes are written with their units. Unusable
 * values and unknown keys are refused with their line and a valid value; nothing is guessed.
 */
public final class FleetPlanReader {
    private FleetPlanReader() {}

    /**
     * Parses the text of a fleet file.
     *
     * @throws InvalidPlanException if the plan can't be used
     */
    public static FleetPlan read(String text) {
        TomlParseResult toml = Toml.parse(text);
        if (toml.hasErrors()) {
            TomlParseError error = toml.errors().get(0);
            throw new InvalidPlanException(error.position().line(), firstLine(error.getMessage()));
        }
        TomlSection top = new TomlSection(toml, "", 1);
        List<String> zones = zones(top);
        FleetPlan.Managers managers = managers(top.table("managers"), zones.size());
        FleetPlan.Engines engines = engines(top.table("engines"));
        FleetPlan plan =
                new FleetPlan(
                        top.text("name", "fleet"),
                        top.duration("length", null),
                        managers,
                        engines,
                        net(top.table("net")),
                        clients(top.table("clients")),
                        rules(top.table("rules")),
                        goal(top.table("goal")),
                        groups(top.tables("group")),
                        customers(top.tables("customer")),
                        traffic(top.table("traffic")),
                        troubles(top),
                        zones,
                        faults(top, zones, managers.count(), engines.count()),
                        expects(top));
        top.rejectUnknownKeys();
        return plan;
    }

    private static String firstLine(String text) {
        return text.lines().findFirst().orElse("").trim();
    }

    private static List<String> zones(TomlSection top) {
        List<String> zones =
                Arrays.stream(top.text("zones", "a").split(",")).map(String::trim).toList();
        if (zones.contains("") || Set.copyOf(zones).size() < zones.size()) {
            throw top.invalid(
                    "zones",
                    "'"
                            + String.join(", ", zones)
                            + "' has an empty or doubled name; "
                            + "\"north, south\" would do");
        }
        return zones;
    }

    private static List<FleetPlan.Fault> faults(
            TomlSection top, List<String> zones, int managers, int engines) {
        List<FleetPlan.Fault> faults = new ArrayList<>();
        List<String> kinds =
                Arrays.stream(FleetPlan.Fault.Kind.values())
                        .map(k -> k.name().toLowerCase(Locale.ROOT))
                        .toList();
        for (TomlSection s : top.tables("fault")) {
            FleetPlan.Fault.Kind kind =
                    FleetPlan.Fault.Kind.valueOf(
                            s.oneOf("kind", null, kinds).toUpperCase(Locale.ROOT));
            boolean way =
                    List.of(
                                    FleetPlan.Fault.Kind.CUT,
                                    FleetPlan.Fault.Kind.LOSS,
                                    FleetPlan.Fault.Kind.DELAY)
                            .contains(kind);
            boolean nobody = kind == FleetPlan.Fault.Kind.TRAFFIC;
            FaultTarget who =
                    nobody
                            ? null
                            : who(s, way ? "from" : "who", zones, managers, engines);
            FaultTarget to =
                    way ? who(s, "to", zones, managers, engines) : null;
            boolean toEngines =
                    kind == FleetPlan.Fault.Kind.DIE
                            || kind == FleetPlan.Fault.Kind.SILENCE
                            || kind == FleetPlan.Fault.Kind.HANG
                            || kind == FleetPlan.Fault.Kind.DRAIN;
            if (who != null && !way && who.isEngines() != toEngines) {
                throw s.invalid(
                        "who",
                        "a "
                                + kind.name().toLowerCase(Locale.ROOT)
                                + " strikes "
                                + (toEngines
                                        ? "engines; \"engines 25%\" would do"
                                        : "managers; \"managers 25%\" would do"));
            }
            faults.add(
                    new FleetPlan.Fault(
                            s.line(),
                            kind,
                            s.duration("at", null),
                            s.duration("length", "0 s"),
                            who,
                            to,
                            s.flag("one_way", false),
                            s.number("size", 0, 100_000, 1.0),
                            s.duration("every", "0 s")));
            s.rejectUnknownKeys();
        }
        return faults;
    }

    private static FaultTarget who(
            TomlSection s, String key, List<String> zones, int managers, int engines) {
        try {
            return FaultTarget.of(s.text(key, null), zones, managers, engines);
        } catch (IllegalArgumentException fault) {
            throw s.invalid(key, fault.getMessage());
        }
    }

    private static List<FleetPlan.Expectation> expects(TomlSection top) {
        List<FleetPlan.Expectation> expects = new ArrayList<>();
        for (TomlSection s : top.tables("expect")) {
            expects.add(
                    new FleetPlan.Expectation(
                            s.line(),
                            s.text("figure", null),
                            s.number("least", -1e9, 1e9, -1e9),
                            s.number("most", -1e9, 1e9, 1e9)));
            s.rejectUnknownKeys();
        }
        return expects;
    }

    private static FleetPlan.Managers managers(TomlSection s, int zones) {
        int count = s.integer("count", 1, 4_000, null);
        int of = s.integer("of", 1, 10_000, count);
        int cell = s.integer("cell", 0, 4_000, 0);
        int spread = s.integer("spread", 1, 100, 1);
        if (of < count) {
            throw s.invalid("of", of + " is under count; " + count + " and more would do");
        }
        if (cell > 0 && (count % (cell * zones) != 0 || spread > count / cell / zones)) {
            throw s.invalid(
                    count % (cell * zones) != 0 ? "cell" : "spread",
                    count
                            + " managers are not "
                            + spread
                            + " or more whole cells of "
                            + cell
                            + " in each zone; count = "
                            + spread * cell * zones
                            + " would do");
        }
        FleetPlan.Managers m =
                new FleetPlan.Managers(
                        count,
                        of,
                        cell,
                        spread,
                        s.share("unequal", 0.0),
                        s.durationRange("list_delay", "1 s to 3 s"),
                        s.flag("probes", false),
                        s.flag("second_copies", false),
                        s.flag("call_off", false),
                        s.integer("dispatches", 1, 100, 6),
                        s.durationRange("restart", "500 ms to 1500 ms"));
        s.rejectUnknownKeys();
        return m;
    }

    private static FleetPlan.Engines engines(TomlSection s) {
        FleetPlan.Engines e =
                new FleetPlan.Engines(
                        s.integer("count", 1, 10_000, null),
                        s.integer("cores", 1, 1_024, null),
                        s.sizeMb("memory", null),
                        s.numberRange("speed", 0.01, 100, "1"),
                        s.numberRange("knee", 0.1, 100, "1.3 to 2.2"),
                        s.numberRange("thrash", 0, 10, "0.3 to 0.6"),
                        s.number("disks", 0.1, 1_000, 0.5),
                        s.numberRange("spill", 0, 100, "1.5 to 3"),
                        s.integer("sessions", 1, 10_000, 64),
                        s.integer("warm_tables", 0, 1_000, 4),
                        s.share("warm_gain", 0.5),
                        s.share("cold_from", 0.3),
                        s.durationRange("warm_after", "13 s"),
                        s.flag("grants", true),
                        s.flag("priorities", true),
                        s.duration("notes", "500 ms"),
                        s.share("errs", 0.0));
        s.rejectUnknownKeys();
        return e;
    }

    private static FleetPlan.Network net(TomlSection s) {
        FleetPlan.Network n = new FleetPlan.Network(s.durationRange("way", "0.2 ms to 1 ms"));
        s.rejectUnknownKeys();
        return n;
    }

    private static FleetPlan.Clients clients(TomlSection s) {
        FleetPlan.Clients c =
                new FleetPlan.Clients(
                        s.integer("retries", 0, 100, 1),
                        s.durationRange("wait", "100 ms to 500 ms"),
                        s.share("try_share", 1.0),
                        s.share("honour", 0.7));
        s.rejectUnknownKeys();
        return c;
    }

    private static FleetPlan.Rules rules(TomlSection s) {
        FleetPlan.Rules r =
                new FleetPlan.Rules(
                        s.duration("drain_grace", "500 ms"),
                        s.number("tip_multiple", 0, 100, 2.0),
                        s.duration("fall", "2 s"),
                        s.duration("key_rest", "0 s"));
        s.rejectUnknownKeys();
        return r;
    }

    private static FleetPlan.ScoreWeights goal(TomlSection s) {
        FleetPlan.ScoreWeights g =
                new FleetPlan.ScoreWeights(
                        s.share("whole", 0.5),
                        s.share("worst_span", 0.2),
                        s.share("worst_group", 0.2),
                        s.share("worst_customer", 0.1));
        s.rejectUnknownKeys();
        return g;
    }

    private static FleetPlan.Traffic traffic(TomlSection s) {
        FleetPlan.Traffic t =
                new FleetPlan.Traffic(
                        s.oneOf("kind", "steady", TrafficShape.NAMES),
                        s.number("rate", 0.001, 1e6, null),
                        s.share("swing", 0.2),
                        s.integer("keys", 0, 1_000_000, 0),
                        s.number("key_heat", 0, 3, 0.8),
                        s.integer("tables", 1, 100_000, 20),
                        s.number("table_heat", 0, 3, 0.7));
        s.rejectUnknownKeys();
        return t;
    }

    private static List<FleetPlan.TrafficClassPlan> groups(List<TomlSection> all) {
        List<FleetPlan.TrafficClassPlan> groups = new ArrayList<>();
        for (TomlSection s : all) {
            groups.add(
                    new FleetPlan.TrafficClassPlan(
                            s.text("name", null),
                            s.share("share", null),
                            s.duration("work", null),
                            s.number("spread", 0, 5, 0.8),
                            s.share("io", 0.3),
                            s.integer("threads", 1, 256, 1),
                            s.sizeMb("memory", null),
                            s.duration("goal", null),
                            s.number("stretch", 0, 100, 0.0),
                            s.duration("limit", null),
                            s.number("utility", 0, 1e6, 1.0),
                            s.share("late_value", 0.0),
                            effect(
                                    s.oneOf(
                                            "effect",
                                            null,
                                            List.of("repeatable", "referenced", "once-only"))),
                            Scope.valueOf(
                                    s.oneOf("scope", "all", List.of("all", "zone", "cell"))
                                            .toUpperCase(Locale.ROOT)),
                            s.duration("window", "5 s"),
                            s.flag("ordered", false),
                            s.flag("load", false),
                            s.flag("yields", false),
                            s.share("bad_plans", 0.0),
                            s.number("estimate_low", 0.01, 100, 1.0),
                            s.number("estimate_scatter", 0, 5, 0.4)));
            s.rejectUnknownKeys();
        }
        if (groups.isEmpty()) {
            throw new InvalidPlanException(
                    0,
                    "no service group; write [[group]] with name, share, work, memory, goal, limit,"
                            + " effect");
        }
        return groups;
    }

    private static Effect effect(String word) {
        return switch (word) {
            case "repeatable" -> Effect.IDEMPOTENT;
            case "referenced" -> Effect.IDEMPOTENT_WITH_KEY;
            default -> Effect.NON_IDEMPOTENT;
        };
    }

    private static List<FleetPlan.TenantPlan> customers(List<TomlSection> all) {
        List<FleetPlan.TenantPlan> customers = new ArrayList<>();
        for (TomlSection s : all) {
            customers.add(new FleetPlan.TenantPlan(s.text("name", null), s.share("share", null)));
            s.rejectUnknownKeys();
        }
        return customers.isEmpty() ? List.of(new FleetPlan.TenantPlan("all", 1)) : customers;
    }

    private static List<FleetPlan.Disturbance> troubles(TomlSection top) {
        List<FleetPlan.Disturbance> troubles = new ArrayList<>();
        List<String> kinds =
                Arrays.stream(FleetPlan.Disturbance.Kind.values())
                        .map(k -> k.name().toLowerCase(Locale.ROOT).replace('_', '-'))
                        .toList();
        for (TomlSection s : top.tables("trouble")) {
            FleetPlan.Disturbance.Kind kind =
                    FleetPlan.Disturbance.Kind.valueOf(
                            s.oneOf("kind", null, kinds)
                                    .toUpperCase(Locale.ROOT)
                                    .replace('-', '_'));
            troubles.add(
                    new FleetPlan.Disturbance(
                            kind,
                            s.duration("at", null),
                            s.duration("length", "0 s"),
                            s.share("part", 1.0),
                            s.number("size", 0, 1_000, 1.0),
                            s.share("extra", 0.01),
                            s.integer("group", 0, 1_000, 0)));
            s.rejectUnknownKeys();
        }
        return troubles;
    }
}
