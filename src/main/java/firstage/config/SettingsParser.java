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

    public static Deployment parse(WireFields f) {
        String via = word(f, "report.via", "on_probe", Set.of("inline", "on_probe", "off"));
        String whenShort =
                word(f, "family_info.out_of_memory", "wait", Set.of("wait", "shrink", "page"));
        if (via.equals("off") && !f.getString("report.fields", "").isEmpty()) {
            // Old shape names values, new shape sends none: engines would be taken for silent about
            // load.
            throw new MalformedLineException(
                    "report.fields names values while report.via = off; set one of them");
        }
        String[] threads = list(f, "family_info.dop");
        String[] loads = list(f, "family_info.class_load");
        String[] yields = list(f, "family_info.yields_to_loads");
        List<TrafficClass> groups = new ArrayList<>();
        int count = f.getInt("classes.count", 0);
        for (int g = 0; g < count; g++) {
            String at = "classes." + g + ".";
            groups.add(
                    new TrafficClass(
                            f.getTicks(at + "target"),
                            f.getDouble(at + "aim_stretch", 0),
                            f.getTicks(at + "deadline"),
                            f.getDouble(at + "worth", 1),
                            f.getDouble(at + "late_value", 0),
                            effect(f.getString(at + "effect", "fragile")),
                            scope(f.getString(at + "group", "cell")),
                            f.getTicks(at + "window"),
                            f.getBoolean(at + "by_arrival"),
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
        for (int c = 0; c < f.getInt("tenants.count", 0); c++) {
            rates.add(
                    f.getDouble("tenants." + c + ".quota_per_s", 0) / WireFields.secondsToTicks(1));
        }
        Deployment.Capabilities allowed =
                new Deployment.Capabilities(
                        f.getBoolean("limits.may_cancel"),
                        f.getBoolean("limits.second_copies"),
                        f.getBoolean("limits.retry_after"),
                        f.getBoolean("family_info.takes_grants"),
                        f.getBoolean("family_info.lanes_count"),
                        f.getInt("limits.max_attempts", 1),
                        f.getTicks("limits.max_retry_after"));
        boolean budget = f.has("rules.further_ratio") || f.has("rules.free_resends");
        Deployment.Rules rules =
                new Deployment.Rules(
                        f.getDouble("rules.cold_from", 0),
                        f.getTicks("rules.ramp_time"),
                        f.getDouble("rules.tip_multiple", 0),
                        f.getTicks("rules.fall"),
                        f.getTicks("rules.key_quiet"),
                        budget ? f.getDouble("rules.further_ratio", 0) : -1,
                        f.getDouble("rules.free_resends", 0),
                        f.getTicks("rules.ratio_span"));
        return new Deployment(
                f.getLong("init_seed", 0),
                Math.max(1, f.getInt("group_size", 1)),
                f.getInt("rank", 0),
                f.getInt("zone", 0),
                groups,
                machines,
                rates,
                allowed,
                rules,
                f.getDouble("family_info.largest_share", 1),
                f.getTicks("family_info.progress_pace"),
                f.getString("discovery", "").equals("subscribe"),
                f.getDouble("deductions.cross_zone", 0) > 0,
                f.getBoolean("limits.probing") ? f.getDouble("deductions.probe", 0) : -1,
                !via.equals("off") && !f.getString("report.fields", "waiting").isEmpty(),
                whenShort.equals("page"));
    }

    /** A word from a known set; absent, the one that keeps the earlier shape. */
    private static String word(WireFields f, String name, String absent, Set<String> known) {
        String value = f.getString(name, absent);
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
        String value = f.getString(name, "");
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
