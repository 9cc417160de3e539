package firstage.config;

import firstage.policy.api.Deployment;
import firstage.policy.api.TrafficClass;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Turns the wire's settings into what the decisions are told of a deployment. Unknown keys are
 * skipped.
 */
public final class SettingsParser {
    private SettingsParser() {}

    public static Deployment read(WireFields f) {
        String via = word(f, "report.via", "on_probe", Set.of("inline", "on_probe", "off"));
        String whenShort =
                word(f, "family_info.out_of_memory", "wait", Set.of("wait", "shrink", "page"));
        if (via.equals("off") && !f.text("report.fields", "").isEmpty()) {
            // Old shape names values, new shape sends none: engines would be taken for silent about
            // load.
            throw new MalformedLineException(
                    "report.fields names values while report.via = off; set one of them");
        }
        String[] threads = list(f, "family_info.dop");
        String[] loads = list(f, "family_info.class_load");
        String[] yields = list(f, "family_info.yields_to_loads");
        List<TrafficClass> groups = new ArrayList<>();
        int count = f.index("classes.count", 0);
        for (int g = 0; g < count; g++) {
            String at = "classes." + g + ".";
            groups.add(
                    new TrafficClass(
                            f.time(at + "target"),
                            f.number(at + "aim_stretch", 0),
                            f.time(at + "deadline"),
                            f.number(at + "worth", 1),
                            f.number(at + "late_value", 0),
                            effect(f.text(at + "effect", "fragile")),
                            scope(f.text(at + "group", "cell")),
                            f.time(at + "window"),
                            f.flag(at + "by_arrival"),
                            g < threads.length ? Math.max(1, whole(threads[g])) : 1,
                            g < loads.length && loads[g].equals("true"),
                            g < yields.length && yields[g].equals("true"),
                            places(f, at + "allowed_in", "areas"),
                            places(f, at + "served_on", "kinds")));
        }
        String[] cores = list(f, "family_info.kind_cores");
        String[] memory = list(f, "family_info.size_mb");
        List<Deployment.MachineType> machines = new ArrayList<>();
        for (int k = 0; k < Math.max(cores.length, memory.length); k++) {
            machines.add(
                    new Deployment.MachineType(
                            k < cores.length ? (int) number(cores[k]) : 0,
                            k < memory.length ? number(memory[k]) : 0));
        }
        List<Double> rates = new ArrayList<>();
        for (int c = 0; c < f.index("tenants.count", 0); c++) {
            rates.add(f.number("tenants." + c + ".quota_per_s", 0) / WireFields.tenths(1));
        }
        Deployment.Capabilities allowed =
                new Deployment.Capabilities(
                        f.flag("limits.may_cancel"),
                        f.flag("limits.second_copies"),
                        f.flag("limits.retry_after"),
                        f.flag("family_info.takes_grants"),
                        f.flag("family_info.lanes_count"),
                        f.index("limits.max_attempts", 1),
                        f.time("limits.max_retry_after"));
        boolean budget = f.has("rules.further_ratio") || f.has("rules.free_resends");
        Deployment.Rules rules =
                new Deployment.Rules(
                        f.number("rules.cold_from", 0),
                        f.time("rules.ramp_time"),
                        f.number("rules.tip_multiple", 0),
                        f.time("rules.fall"),
                        f.time("rules.key_quiet"),
                        budget ? f.number("rules.further_ratio", 0) : -1,
                        f.number("rules.free_resends", 0),
                        f.time("rules.ratio_span"));
        return new Deployment(
                f.whole("init_seed", 0),
                Math.max(1, f.index("group_size", 1)),
                f.index("rank", 0),
                f.index("zone", 0),
                groups,
                machines,
                rates,
                allowed,
                rules,
                f.number("family_info.largest_share", 1),
                f.time("family_info.progress_pace"),
                f.text("discovery", "").equals("subscribe"),
                f.number("deductions.cross_zone", 0) > 0,
                f.flag("limits.probing") ? f.number("deductions.probe", 0) : -1,
                !via.equals("off") && !f.text("report.fields", "waiting").isEmpty(),
                whenShort.equals("page"));
    }

    /** A word from a known set; absent, the one that keeps the earlier shape. */
    private static String word(WireFields f, String name, String absent, Set<String> known) {
        String value = f.text(name, absent);
        if (!known.contains(value)) {
            throw new MalformedLineException(
                    name + " = " + value + " is none of " + new TreeSet<>(known));
        }
        return value;
    }

    private static TrafficClass.Effect effect(String word) {
        return switch (word) {
            case "retryable" -> TrafficClass.Effect.IDEMPOTENT;
            case "dedup" -> TrafficClass.Effect.IDEMPOTENT_WITH_KEY;
            default -> TrafficClass.Effect.NON_IDEMPOTENT;
        };
    }

    private static TrafficClass.Scope scope(String word) {
        return switch (word) {
            case "all" -> TrafficClass.Scope.ALL;
            case "zone" -> TrafficClass.Scope.ZONE;
            default -> TrafficClass.Scope.CELL;
        };
    }

    private static int whole(String word) {
        return (int) number(word);
    }

    private static double number(String word) {
        try {
            return Double.parseDouble(word);
        } catch (NumberFormatException fault) {
            throw new MalformedLineException("no number in the settings: " + word);
        }
    }

    private static String[] list(WireFields f, String name) {
        String value = f.text(name, "");
        return value.isEmpty() ? new String[0] : value.split(",");
    }

    /** Places may be given by number, as list entries have them, or by name. */
    private static Set<Integer> places(WireFields f, String name, String names) {
        Set<Integer> places = new HashSet<>();
        List<String> known = Arrays.asList(list(f, names));
        for (String place : list(f, name)) {
            places.add(known.contains(place) ? known.indexOf(place) : whole(place));
        }
        return places;
    }
}
