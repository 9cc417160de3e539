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
 * Reader of fleet files: TOML, in which durations and sizes are written with their units. Unusable
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
                        network(top.table("net")),
                        clients(top.table("clients")),
                        rules(top.table("rules")),
                        scoreWeights(top.table("goal")),
                        trafficClasses(top.tables("group")),
                        tenants(top.tables("customer")),
                        traffic(top.table("traffic")),
                        disturbances(top),
                        zones,
                        faults(top, zones, managers.count(), engines.count()),
                        expectations(top));
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
                            + "' has an empty or repeated name; "
                            + "write \"north, south\"");
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
        for (TomlSection section : top.tables("fault")) {
            FleetPlan.Fault.Kind kind =
                    FleetPlan.Fault.Kind.valueOf(
                            section.oneOf("kind", null, kinds).toUpperCase(Locale.ROOT));
            boolean onLinks =
                    List.of(
                                    FleetPlan.Fault.Kind.CUT,
                                    FleetPlan.Fault.Kind.LOSS,
                                    FleetPlan.Fault.Kind.DELAY)
                            .contains(kind);
            boolean hasNoTarget = kind == FleetPlan.Fault.Kind.TRAFFIC;
            FaultTarget source =
                    hasNoTarget
                            ? null
                            : target(section, onLinks ? "from" : "who", zones, managers, engines);
            FaultTarget target = onLinks ? target(section, "to", zones, managers, engines) : null;
            boolean affectsEngines =
                    kind == FleetPlan.Fault.Kind.DIE
                            || kind == FleetPlan.Fault.Kind.SILENCE
                            || kind == FleetPlan.Fault.Kind.HANG
                            || kind == FleetPlan.Fault.Kind.DRAIN
                            || kind == FleetPlan.Fault.Kind.RELIST
                            || kind == FleetPlan.Fault.Kind.REPLACE;
            if (source != null && !onLinks && source.targetsEngines() != affectsEngines) {
                throw section.invalid(
                        "who",
                        "the "
                                + kind.name().toLowerCase(Locale.ROOT)
                                + " fault affects "
                                + (affectsEngines
                                        ? "engines; write \"engines 25%\""
                                        : "managers; write \"managers 25%\""));
            }
            faults.add(
                    new FleetPlan.Fault(
                            section.line(),
                            kind,
                            section.duration("at", null),
                            section.duration("length", "0 s"),
                            source,
                            target,
                            section.flag("one_way", false),
                            section.number("size", 0, 100_000, 1.0),
                            section.duration("every", "0 s")));
            section.rejectUnknownKeys();
        }
        return faults;
    }

    private static FaultTarget target(
            TomlSection section, String key, List<String> zones, int managers, int engines) {
        try {
            return FaultTarget.of(section.text(key, null), zones, managers, engines);
        } catch (IllegalArgumentException exception) {
            throw section.invalid(key, exception.getMessage());
        }
    }

    private static List<FleetPlan.Expectation> expectations(TomlSection top) {
        List<FleetPlan.Expectation> expectations = new ArrayList<>();
        for (TomlSection section : top.tables("expect")) {
            expectations.add(
                    new FleetPlan.Expectation(
                            section.line(),
                            section.text("figure", null),
                            section.number("least", -1e9, 1e9, -1e9),
                            section.number("most", -1e9, 1e9, 1e9)));
            section.rejectUnknownKeys();
        }
        return expectations;
    }

    private static FleetPlan.Managers managers(TomlSection section, int zones) {
        int count = section.integer("count", 1, 4_000, null);
        int fleetSize = section.integer("of", 1, 10_000, count);
        int cellSize = section.integer("cell", 0, 4_000, 0);
        int spread = section.integer("spread", 1, 100, 1);
        if (fleetSize < count) {
            throw section.invalid(
                    "of", fleetSize + " is less than count; write " + count + " or more");
        }
        if (cellSize > 0
                && (count % (cellSize * zones) != 0 || spread > count / cellSize / zones)) {
            throw section.invalid(
                    count % (cellSize * zones) != 0 ? "cell" : "spread",
                    count
                            + " managers do not fill "
                            + spread
                            + " or more whole cells of "
                            + cellSize
                            + " in each zone; write count = "
                            + spread * cellSize * zones
                            + " or a multiple");
        }
        FleetPlan.Managers managers =
                new FleetPlan.Managers(
                        count,
                        fleetSize,
                        cellSize,
                        spread,
                        section.share("unequal", 0.0),
                        section.durationRange("list_delay", "1 s to 3 s"),
                        section.flag("probes", false),
                        section.flag("second_copies", false),
                        section.flag("call_off", false),
                        section.integer("dispatches", 1, 100, 6),
                        section.durationRange("restart", "500 ms to 1500 ms"));
        section.rejectUnknownKeys();
        return managers;
    }

    private static FleetPlan.Engines engines(TomlSection section) {
        FleetPlan.Engines engines =
                new FleetPlan.Engines(
                        section.integer("count", 1, 10_000, null),
                        section.integer("cores", 1, 1_024, null),
                        section.sizeMb("memory", null),
                        section.numberRange("speed", 0.01, 100, "1"),
                        section.numberRange("knee", 0.1, 100, "1.3 to 2.2"),
                        section.numberRange("thrash", 0, 10, "0.3 to 0.6"),
                        section.number("disks", 0.1, 1_000, 0.5),
                        section.numberRange("spill", 0, 100, "1.5 to 3"),
                        section.integer("sessions", 1, 10_000, 64),
                        section.integer("warm_tables", 0, 1_000, 4),
                        section.share("warm_gain", 0.5),
                        section.share("cold_from", 0.3),
                        section.durationRange("warm_after", "13 s"),
                        section.flag("grants", true),
                        section.flag("priorities", true),
                        section.duration("notes", "500 ms"),
                        section.share("errs", 0.0));
        section.rejectUnknownKeys();
        return engines;
    }

    private static FleetPlan.Network network(TomlSection section) {
        FleetPlan.Network network =
                new FleetPlan.Network(section.durationRange("way", "0.2 ms to 1 ms"));
        section.rejectUnknownKeys();
        return network;
    }

    private static FleetPlan.Clients clients(TomlSection section) {
        FleetPlan.Clients clients =
                new FleetPlan.Clients(
                        section.integer("retries", 0, 100, 1),
                        section.durationRange("wait", "100 ms to 500 ms"),
                        section.share("try_share", 1.0),
                        section.share("honour", 0.7));
        section.rejectUnknownKeys();
        return clients;
    }

    private static FleetPlan.Rules rules(TomlSection section) {
        FleetPlan.Rules rules =
                new FleetPlan.Rules(
                        section.duration("drain_grace", "500 ms"),
                        section.number("tip_multiple", 0, 100, 2.0),
                        section.duration("fall", "2 s"),
                        section.duration("key_rest", "0 s"));
        section.rejectUnknownKeys();
        return rules;
    }

    private static FleetPlan.ScoreWeights scoreWeights(TomlSection section) {
        FleetPlan.ScoreWeights scoreWeights =
                new FleetPlan.ScoreWeights(
                        section.share("whole", 0.5),
                        section.share("worst_span", 0.2),
                        section.share("worst_group", 0.2),
                        section.share("worst_customer", 0.1));
        section.rejectUnknownKeys();
        return scoreWeights;
    }

    private static FleetPlan.Traffic traffic(TomlSection section) {
        FleetPlan.Traffic traffic =
                new FleetPlan.Traffic(
                        section.oneOf("kind", "steady", TrafficShape.NAMES),
                        section.number("rate", 0.001, 1e6, null),
                        section.share("swing", 0.2),
                        section.integer("keys", 0, 1_000_000, 0),
                        section.number("key_heat", 0, 3, 0.8),
                        section.integer("tables", 1, 100_000, 20),
                        section.number("table_heat", 0, 3, 0.7));
        section.rejectUnknownKeys();
        return traffic;
    }

    private static List<FleetPlan.TrafficClassPlan> trafficClasses(List<TomlSection> sections) {
        List<FleetPlan.TrafficClassPlan> trafficClasses = new ArrayList<>();
        for (TomlSection section : sections) {
            trafficClasses.add(
                    new FleetPlan.TrafficClassPlan(
                            section.text("name", null),
                            section.share("share", null),
                            section.duration("work", null),
                            section.number("spread", 0, 5, 0.8),
                            section.share("io", 0.3),
                            section.integer("threads", 1, 256, 1),
                            section.sizeMb("memory", null),
                            section.duration("goal", null),
                            section.number("stretch", 0, 100, 0.0),
                            section.duration("limit", null),
                            section.number("utility", 0, 1e6, 1.0),
                            section.share("late_value", 0.0),
                            effect(
                                    section.oneOf(
                                            "effect",
                                            null,
                                            List.of("repeatable", "referenced", "once-only"))),
                            Scope.valueOf(
                                    section.oneOf("scope", "all", List.of("all", "zone", "cell"))
                                            .toUpperCase(Locale.ROOT)),
                            section.duration("window", "5 s"),
                            section.flag("ordered", false),
                            section.flag("load", false),
                            section.flag("yields", false),
                            section.share("bad_plans", 0.0),
                            section.number("estimate_low", 0.01, 100, 1.0),
                            section.number("estimate_scatter", 0, 5, 0.4)));
            section.rejectUnknownKeys();
        }
        if (trafficClasses.isEmpty()) {
            throw new InvalidPlanException(
                    0,
                    "no traffic class; write [[group]] with name, share, work, memory, goal, limit,"
                            + " effect");
        }
        return trafficClasses;
    }

    private static Effect effect(String text) {
        return switch (text) {
            case "repeatable" -> Effect.IDEMPOTENT;
            case "referenced" -> Effect.IDEMPOTENT_WITH_KEY;
            default -> Effect.NON_IDEMPOTENT;
        };
    }

    private static List<FleetPlan.TenantPlan> tenants(List<TomlSection> sections) {
        List<FleetPlan.TenantPlan> tenants = new ArrayList<>();
        for (TomlSection section : sections) {
            tenants.add(
                    new FleetPlan.TenantPlan(
                            section.text("name", null), section.share("share", null)));
            section.rejectUnknownKeys();
        }
        return tenants.isEmpty() ? List.of(new FleetPlan.TenantPlan("all", 1)) : tenants;
    }

    private static List<FleetPlan.Disturbance> disturbances(TomlSection top) {
        List<FleetPlan.Disturbance> disturbances = new ArrayList<>();
        List<String> kinds =
                Arrays.stream(FleetPlan.Disturbance.Kind.values())
                        .map(k -> k.name().toLowerCase(Locale.ROOT).replace('_', '-'))
                        .toList();
        for (TomlSection section : top.tables("trouble")) {
            FleetPlan.Disturbance.Kind kind =
                    FleetPlan.Disturbance.Kind.valueOf(
                            section.oneOf("kind", null, kinds)
                                    .toUpperCase(Locale.ROOT)
                                    .replace('-', '_'));
            disturbances.add(
                    new FleetPlan.Disturbance(
                            kind,
                            section.duration("at", null),
                            section.duration("length", "0 s"),
                            section.share("part", 1.0),
                            section.number("size", 0, 1_000, 1.0),
                            section.share("extra", 0.01),
                            section.integer("group", 0, 1_000, 0)));
            section.rejectUnknownKeys();
        }
        return disturbances;
    }
}
