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
 * Reads a fleet file: TOML, every figure that has a unit with its unit. What can't be used is told
 * with its line and what would do; nothing is guessed, and no key is skipped.
 */
public final class FleetPlanReader {
    private FleetPlanReader() {}

    /** The plan that this text sets; {@link InvalidPlanException} names line and cure. */
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
                        top.time("length", null),
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
        top.done();
        return plan;
    }

    private static String firstLine(String text) {
        return text.lines().findFirst().orElse("").trim();
    }

    private static List<String> zones(TomlSection top) {
        List<String> zones =
                Arrays.stream(top.text("zones", "a").split(",")).map(String::trim).toList();
        if (zones.contains("") || Set.copyOf(zones).size() < zones.size()) {
            throw top.fault(
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
                    nobody ? null : who(s, way ? "from" : "who", zones, managers, engines);
            FaultTarget to = way ? who(s, "to", zones, managers, engines) : null;
            boolean toEngines =
                    kind == FleetPlan.Fault.Kind.DIE
                            || kind == FleetPlan.Fault.Kind.SILENCE
                            || kind == FleetPlan.Fault.Kind.HANG
                            || kind == FleetPlan.Fault.Kind.DRAIN;
            if (who != null && !way && who.isEngines() != toEngines) {
                throw s.fault(
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
                            s.time("at", null),
                            s.time("length", "0 s"),
                            who,
                            to,
                            s.flag("one_way", false),
                            s.figure("size", 0, 100_000, 1.0),
                            s.time("every", "0 s")));
            s.done();
        }
        return faults;
    }

    private static FaultTarget who(
            TomlSection s, String key, List<String> zones, int managers, int engines) {
        try {
            return FaultTarget.of(s.text(key, null), zones, managers, engines);
        } catch (IllegalArgumentException fault) {
            throw s.fault(key, fault.getMessage());
        }
    }

    private static List<FleetPlan.Expectation> expects(TomlSection top) {
        List<FleetPlan.Expectation> expects = new ArrayList<>();
        for (TomlSection s : top.tables("expect")) {
            expects.add(
                    new FleetPlan.Expectation(
                            s.line(),
                            s.text("figure", null),
                            s.figure("least", -1e9, 1e9, -1e9),
                            s.figure("most", -1e9, 1e9, 1e9)));
            s.done();
        }
        return expects;
    }

    private static FleetPlan.Managers managers(TomlSection s, int zones) {
        int count = s.whole("count", 1, 4_000, null);
        int of = s.whole("of", 1, 10_000, count);
        int cell = s.whole("cell", 0, 4_000, 0);
        int spread = s.whole("spread", 1, 100, 1);
        if (of < count) {
            throw s.fault("of", of + " is under count; " + count + " and more would do");
        }
        if (cell > 0 && (count % (cell * zones) != 0 || spread > count / cell / zones)) {
            throw s.fault(
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
                        s.times("list_delay", "1 s to 3 s"),
                        s.flag("probes", false),
                        s.flag("second_copies", false),
                        s.flag("call_off", false),
                        s.whole("dispatches", 1, 100, 6),
                        s.times("restart", "500 ms to 1500 ms"));
        s.done();
        return m;
    }

    private static FleetPlan.Engines engines(TomlSection s) {
        FleetPlan.Engines e =
                new FleetPlan.Engines(
                        s.whole("count", 1, 10_000, null),
                        s.whole("cores", 1, 1_024, null),
                        s.size("memory", null),
                        s.figures("speed", 0.01, 100, "1"),
                        s.figures("knee", 0.1, 100, "1.3 to 2.2"),
                        s.figures("thrash", 0, 10, "0.3 to 0.6"),
                        s.figure("disks", 0.1, 1_000, 0.5),
                        s.figures("spill", 0, 100, "1.5 to 3"),
                        s.whole("sessions", 1, 10_000, 64),
                        s.whole("warm_tables", 0, 1_000, 4),
                        s.share("warm_gain", 0.5),
                        s.share("cold_from", 0.3),
                        s.times("warm_after", "13 s"),
                        s.flag("grants", true),
                        s.flag("priorities", true),
                        s.time("notes", "500 ms"),
                        s.share("errs", 0.0));
        s.done();
        return e;
    }

    private static FleetPlan.Network net(TomlSection s) {
        FleetPlan.Network n = new FleetPlan.Network(s.times("way", "0.2 ms to 1 ms"));
        s.done();
        return n;
    }

    private static FleetPlan.Clients clients(TomlSection s) {
        FleetPlan.Clients c =
                new FleetPlan.Clients(
                        s.whole("retries", 0, 100, 1),
                        s.times("wait", "100 ms to 500 ms"),
                        s.share("try_share", 1.0),
                        s.share("honour", 0.7));
        s.done();
        return c;
    }

    private static FleetPlan.Rules rules(TomlSection s) {
        FleetPlan.Rules r =
                new FleetPlan.Rules(
                        s.time("drain_grace", "500 ms"),
                        s.figure("tip_multiple", 0, 100, 2.0),
                        s.time("fall", "2 s"),
                        s.time("key_rest", "0 s"));
        s.done();
        return r;
    }

    private static FleetPlan.ScoreWeights goal(TomlSection s) {
        FleetPlan.ScoreWeights g =
                new FleetPlan.ScoreWeights(
                        s.share("whole", 0.5),
                        s.share("worst_span", 0.2),
                        s.share("worst_group", 0.2),
                        s.share("worst_customer", 0.1));
        s.done();
        return g;
    }

    private static FleetPlan.Traffic traffic(TomlSection s) {
        FleetPlan.Traffic t =
                new FleetPlan.Traffic(
                        s.oneOf("kind", "steady", TrafficShape.NAMES),
                        s.figure("rate", 0.001, 1e6, null),
                        s.share("swing", 0.2),
                        s.whole("keys", 0, 1_000_000, 0),
                        s.figure("key_heat", 0, 3, 0.8),
                        s.whole("tables", 1, 100_000, 20),
                        s.figure("table_heat", 0, 3, 0.7));
        s.done();
        return t;
    }

    private static List<FleetPlan.TrafficClassPlan> groups(List<TomlSection> all) {
        List<FleetPlan.TrafficClassPlan> groups = new ArrayList<>();
        for (TomlSection s : all) {
            groups.add(
                    new FleetPlan.TrafficClassPlan(
                            s.text("name", null),
                            s.share("share", null),
                            s.time("work", null),
                            s.figure("spread", 0, 5, 0.8),
                            s.share("io", 0.3),
                            s.whole("threads", 1, 256, 1),
                            s.size("memory", null),
                            s.time("goal", null),
                            s.figure("stretch", 0, 100, 0.0),
                            s.time("limit", null),
                            s.figure("utility", 0, 1e6, 1.0),
                            s.share("late_value", 0.0),
                            effect(
                                    s.oneOf(
                                            "effect",
                                            null,
                                            List.of("repeatable", "referenced", "once-only"))),
                            Scope.valueOf(
                                    s.oneOf("scope", "all", List.of("all", "zone", "cell"))
                                            .toUpperCase(Locale.ROOT)),
                            s.time("window", "5 s"),
                            s.flag("ordered", false),
                            s.flag("load", false),
                            s.flag("yields", false),
                            s.share("bad_plans", 0.0),
                            s.figure("estimate_low", 0.01, 100, 1.0),
                            s.figure("estimate_scatter", 0, 5, 0.4)));
            s.done();
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
            s.done();
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
                            s.time("at", null),
                            s.time("length", "0 s"),
                            s.share("part", 1.0),
                            s.figure("size", 0, 1_000, 1.0),
                            s.share("extra", 0.01),
                            s.whole("group", 0, 1_000, 0)));
            s.done();
        }
        return troubles;
    }
}
