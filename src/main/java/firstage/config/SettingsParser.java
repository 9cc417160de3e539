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
 * Translates a deployment's settings into the scheduling policy's {@link Deployment}. The terms of
 * the users' documentation are not used beyond this class. Unknown keys are ignored; a key that is
 * absent leaves its feature off.
 */
public final class SettingsParser {
    private static final String REPORTS_OFF = "off";
    private static final Set<String> REPORT_CHANNELS = Set.of("inline", "on_probe", REPORTS_OFF);
    private static final String REPORT_CHANNEL_DEFAULT = "on_probe";

    private static final String OVERCOMMIT_PAGES = "page";
    private static final Set<String> OVERCOMMIT_MODES = Set.of("wait", "shrink", OVERCOMMIT_PAGES);
    private static final String OVERCOMMIT_DEFAULT = "wait";

    private final WireFields settings;

    private SettingsParser(WireFields settings) {
        this.settings = settings;
    }

    /**
     * Reads a deployment's settings.
     *
     * @throws InvalidInputException if a value can't be read or two values contradict each other;
     *     the message names the keys
     */
    public static Deployment parse(WireFields settings) {
        return new SettingsParser(settings).deployment();
    }

    private Deployment deployment() {
        boolean probesReportLoad = probesReportLoad();
        boolean memoryOvercommitPages =
                oneOf(SettingsKeys.MEMORY_OVERCOMMIT, OVERCOMMIT_DEFAULT, OVERCOMMIT_MODES)
                        .equals(OVERCOMMIT_PAGES);
        return new Deployment(
                settings.getLong(SettingsKeys.RANDOM_SEED, 0),
                Math.max(1, settings.getInt(SettingsKeys.MANAGER_COUNT, 1)),
                settings.getInt(SettingsKeys.MANAGER_RANK, 0),
                settings.getInt(SettingsKeys.MANAGER_ZONE, 0),
                trafficClasses(),
                machineTypes(),
                tenantRates(),
                capabilities(),
                rules(),
                settings.getDouble(SettingsKeys.MAX_GRANT_SHARE, 1),
                settings.getTicks(SettingsKeys.PROGRESS_INTERVAL),
                settings.getString(SettingsKeys.DISCOVERY, "")
                        .equals(SettingsKeys.DISCOVERY_SUBSCRIBE),
                settings.getDouble(SettingsKeys.CROSS_ZONE_COST, 0) > 0,
                settings.getBoolean(SettingsKeys.MAY_PROBE)
                        ? settings.getDouble(SettingsKeys.PROBE_COST, 0)
                        : -1,
                probesReportLoad,
                memoryOvercommitPages);
    }

    private boolean probesReportLoad() {
        boolean off =
                oneOf(SettingsKeys.LOAD_REPORT_CHANNEL, REPORT_CHANNEL_DEFAULT, REPORT_CHANNELS)
                        .equals(REPORTS_OFF);
        if (off && !settings.getString(SettingsKeys.LOAD_REPORT_FIELDS, "").isEmpty()) {
            // Engines would count as unresponsive: values are announced, but no report ever
            // arrives.
            throw new InvalidInputException(
                    "report.fields names values, but report.via = off; leave report.fields empty or"
                            + " set report.via to inline or on_probe");
        }
        return !off && !settings.getString(SettingsKeys.LOAD_REPORT_FIELDS, "waiting").isEmpty();
    }

    private List<TrafficClass> trafficClasses() {
        String[] threads = list(SettingsKeys.CLASS_THREADS);
        String[] tableLoads = list(SettingsKeys.CLASS_TABLE_LOAD);
        String[] blockedByTableLoads = list(SettingsKeys.CLASS_BLOCKED_BY_TABLE_LOADS);
        List<TrafficClass> classes = new ArrayList<>();
        int count = settings.getInt(SettingsKeys.CLASS_COUNT, 0);
        for (int index = 0; index < count; index++) {
            String path = SettingsKeys.classField(index, "");
            classes.add(
                    new TrafficClass(
                            settings.getTicks(path + SettingsKeys.CLASS_LATENCY_OBJECTIVE),
                            settings.getDouble(
                                    path + SettingsKeys.CLASS_LATENCY_OBJECTIVE_PER_WORK, 0),
                            settings.getTicks(path + SettingsKeys.CLASS_TIMEOUT),
                            settings.getDouble(path + SettingsKeys.CLASS_PRIORITY_WEIGHT, 1),
                            settings.getDouble(path + SettingsKeys.CLASS_LATE_VALUE_SHARE, 0),
                            effect(settings.getString(path + SettingsKeys.CLASS_EFFECT, "fragile")),
                            scope(
                                    settings.getString(
                                            path + SettingsKeys.CLASS_IDEMPOTENCY_SCOPE, "cell")),
                            settings.getTicks(path + SettingsKeys.CLASS_IDEMPOTENCY_WINDOW),
                            settings.getBoolean(path + SettingsKeys.CLASS_ORDERED),
                            index < threads.length ? Math.max(1, wholeNumber(threads[index])) : 1,
                            isTrue(tableLoads, index),
                            isTrue(blockedByTableLoads, index),
                            indices(path + SettingsKeys.CLASS_ZONES, SettingsKeys.ZONE_NAMES),
                            indices(
                                    path + SettingsKeys.CLASS_MACHINE_TYPES,
                                    SettingsKeys.MACHINE_TYPE_NAMES)));
        }
        return classes;
    }

    private List<Deployment.MachineType> machineTypes() {
        String[] cores = list(SettingsKeys.MACHINE_CORES);
        String[] memoryMb = list(SettingsKeys.MACHINE_MEMORY_MB);
        List<Deployment.MachineType> machineTypes = new ArrayList<>();
        for (int type = 0; type < Math.max(cores.length, memoryMb.length); type++) {
            machineTypes.add(
                    new Deployment.MachineType(
                            type < cores.length ? wholeNumber(cores[type]) : 0,
                            type < memoryMb.length ? number(memoryMb[type]) : 0));
        }
        return machineTypes;
    }

    /** Returns each tenant's rate in requests per tick. */
    private List<Double> tenantRates() {
        List<Double> rates = new ArrayList<>();
        int count = settings.getInt(SettingsKeys.TENANT_COUNT, 0);
        for (int tenant = 0; tenant < count; tenant++) {
            String key = SettingsKeys.tenantField(tenant, SettingsKeys.TENANT_RATE);
            rates.add(settings.getDouble(key, 0) / WireFields.secondsToTicks(1));
        }
        return rates;
    }

    private Deployment.Capabilities capabilities() {
        return new Deployment.Capabilities(
                settings.getBoolean(SettingsKeys.MAY_CANCEL),
                settings.getBoolean(SettingsKeys.MAY_HEDGE),
                settings.getBoolean(SettingsKeys.CLIENTS_HONOR_RETRY_AFTER),
                settings.getBoolean(SettingsKeys.GRANTS_SUPPORTED),
                settings.getBoolean(SettingsKeys.PRIORITIES_SUPPORTED),
                settings.getInt(SettingsKeys.MAX_ATTEMPTS, 1),
                settings.getTicks(SettingsKeys.MAX_RETRY_AFTER));
    }

    private Deployment.Rules rules() {
        boolean hasRetryBudget =
                settings.has(SettingsKeys.RETRY_RATIO)
                        || settings.has(SettingsKeys.RETRY_ALLOWANCE);
        return new Deployment.Rules(
                settings.getDouble(SettingsKeys.INITIAL_CAPACITY_SHARE, 0),
                settings.getTicks(SettingsKeys.WARM_UP_DURATION),
                settings.getDouble(SettingsKeys.OVERLOAD_MULTIPLE, 0),
                settings.getTicks(SettingsKeys.OVERLOAD_WINDOW),
                settings.getTicks(SettingsKeys.KEY_QUIET_PERIOD),
                hasRetryBudget ? settings.getDouble(SettingsKeys.RETRY_RATIO, 0) : -1,
                settings.getDouble(SettingsKeys.RETRY_ALLOWANCE, 0),
                settings.getTicks(SettingsKeys.RETRY_WINDOW));
    }

    /** Returns the value of a key, which has to be one of the known values. */
    private String oneOf(String key, String defaultValue, Set<String> known) {
        String value = settings.getString(key, defaultValue);
        if (!known.contains(value)) {
            throw new InvalidInputException(
                    key + " = " + value + " is none of " + new TreeSet<>(known));
        }
        return value;
    }

    private static TrafficClass.Effect effect(String text) {
        return switch (text) {
            case "retryable" -> TrafficClass.Effect.IDEMPOTENT;
            case "dedup" -> TrafficClass.Effect.IDEMPOTENT_WITH_KEY;
            default -> TrafficClass.Effect.NON_IDEMPOTENT;
        };
    }

    private static TrafficClass.Scope scope(String text) {
        return switch (text) {
            case "all" -> TrafficClass.Scope.ALL;
            case "zone" -> TrafficClass.Scope.ZONE;
            default -> TrafficClass.Scope.CELL;
        };
    }

    private static boolean isTrue(String[] list, int index) {
        return index < list.length && list[index].equals("true");
    }

    private static int wholeNumber(String text) {
        return (int) number(text);
    }

    private static double number(String text) {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException exception) {
            throw new InvalidInputException("not a number in the settings: " + text);
        }
    }

    private String[] list(String key) {
        String value = settings.getString(key, "");
        return value.isEmpty() ? new String[0] : value.split(",");
    }

    /**
     * Returns the indices that a list gives, by number or by one of the names under {@code
     * namesKey}.
     */
    private Set<Integer> indices(String key, String namesKey) {
        Set<Integer> indices = new HashSet<>();
        List<String> names = Arrays.asList(list(namesKey));
        for (String entry : list(key)) {
            indices.add(names.contains(entry) ? names.indexOf(entry) : wholeNumber(entry));
        }
        return indices;
    }
}
