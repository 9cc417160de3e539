package firstage.config;

/**
 * Keys of the settings, as the users' documentation defines them: dotted paths under which {@link
 * WireFields} holds a deployment's settings. No other class spells them out.
 */
public final class SettingsKeys {
    /** Suffix of the path under which the length of a list of objects is held. */
    public static final String COUNT_SUFFIX = ".count";

    // The manager itself.
    public static final String RANDOM_SEED = "init_seed";
    public static final String MANAGER_COUNT = "group_size";
    public static final String MANAGER_RANK = "rank";
    public static final String MANAGER_ZONE = "zone";

    /** Names of the zones, in the order of the numbers that refer to them. */
    public static final String ZONE_NAMES = "areas";

    /** Names of the machine types, in the order of the numbers that refer to them. */
    public static final String MACHINE_TYPE_NAMES = "kinds";

    /** Channel of endpoint lists: {@link #DISCOVERY_SUBSCRIBE} if a manager has to subscribe. */
    public static final String DISCOVERY = "discovery";

    public static final String DISCOVERY_SUBSCRIBE = "subscribe";

    // Traffic classes, each under classes.N: see classField.
    public static final String CLASS_COUNT = "classes.count";
    public static final String CLASS_NAME = "name";

    /** Latency objective, in seconds. */
    public static final String CLASS_LATENCY_OBJECTIVE = "target";

    /**
     * Multiple of a request's work, divided by its threads, that is added to the latency objective.
     */
    public static final String CLASS_LATENCY_OBJECTIVE_PER_WORK = "aim_stretch";

    /** Time that a client waits over all its tries, in seconds. */
    public static final String CLASS_TIMEOUT = "deadline";

    public static final String CLASS_PRIORITY_WEIGHT = "worth";

    /** Share of the priority weight that an answer after its latency objective still earns. */
    public static final String CLASS_LATE_VALUE_SHARE = "late_value";

    public static final String CLASS_EFFECT = "effect";
    public static final String CLASS_IDEMPOTENCY_SCOPE = "group";

    /** Time for which repeated requests are discarded, in seconds. */
    public static final String CLASS_IDEMPOTENCY_WINDOW = "window";

    public static final String CLASS_ORDERED = "by_arrival";
    public static final String CLASS_ZONES = "allowed_in";
    public static final String CLASS_MACHINE_TYPES = "served_on";

    // Lists with one entry for each traffic class.
    public static final String CLASS_THREADS = "family_info.dop";
    public static final String CLASS_TABLE_LOAD = "family_info.class_load";
    public static final String CLASS_BLOCKED_BY_TABLE_LOADS = "family_info.yields_to_loads";

    // Lists with one entry for each machine type.
    public static final String MACHINE_CORES = "family_info.kind_cores";
    public static final String MACHINE_MEMORY_MB = "family_info.size_mb";

    // Engines.
    public static final String MAX_GRANT_SHARE = "family_info.largest_share";

    /** Time between two progress reports, in seconds; 0 if engines send none. */
    public static final String PROGRESS_INTERVAL = "family_info.progress_pace";

    /** Effect of grants that exceed an engine's memory: wait, shrink or page. */
    public static final String MEMORY_OVERCOMMIT = "family_info.out_of_memory";

    public static final String GRANTS_SUPPORTED = "family_info.takes_grants";
    public static final String PRIORITIES_SUPPORTED = "family_info.lanes_count";

    /** Channel of load reports: inline, on_probe or off. */
    public static final String LOAD_REPORT_CHANNEL = "report.via";

    public static final String LOAD_REPORT_FIELDS = "report.fields";

    // Tenants, each under tenants.N: see tenantField.
    public static final String TENANT_COUNT = "tenants.count";
    public static final String TENANT_NAME = "name";

    /** Requests per second over all managers. */
    public static final String TENANT_RATE = "quota_per_s";

    // Permissions and limits of the deployment.
    public static final String MAY_CANCEL = "limits.may_cancel";
    public static final String MAY_HEDGE = "limits.second_copies";
    public static final String MAY_PROBE = "limits.probing";
    public static final String MAY_MESSAGE_PEERS = "limits.peers";
    public static final String CLIENTS_HONOR_RETRY_AFTER = "limits.retry_after";

    /** Longest retry-after time that a client observes, in seconds. */
    public static final String MAX_RETRY_AFTER = "limits.max_retry_after";

    public static final String MAX_ATTEMPTS = "limits.max_attempts";

    /** Time after which a connection that is not established has failed, in seconds. */
    public static final String CONNECT_TIMEOUT = "limits.connect_timeout";

    /** Time after which an idle connection is closed, in seconds. */
    public static final String KEEPALIVE = "limits.keepalive";

    // Rules of the deployment.

    /** Minimum share of its capacity that a newly started engine has. */
    public static final String INITIAL_CAPACITY_SHARE = "rules.cold_from";

    /** Time after which a started engine is warm at the latest, in seconds. */
    public static final String WARM_UP_DURATION = "rules.ramp_time";

    /** Load, as a multiple of its capacity, at which an engine that is warming up fails. */
    public static final String OVERLOAD_MULTIPLE = "rules.tip_multiple";

    /** Time over which {@link #OVERLOAD_MULTIPLE} is counted, in seconds. */
    public static final String OVERLOAD_WINDOW = "rules.fall";

    /**
     * Time for which an ordering key is not used after an attempt that may still run, in seconds.
     */
    public static final String KEY_QUIET_PERIOD = "rules.key_quiet";

    /** Number of retries permitted for each request received. */
    public static final String RETRY_RATIO = "rules.further_ratio";

    /** Number of retries permitted in addition to {@link #RETRY_RATIO}, whatever the traffic. */
    public static final String RETRY_ALLOWANCE = "rules.free_resends";

    /** Time over which retries are counted, in seconds. */
    public static final String RETRY_WINDOW = "rules.ratio_span";

    // Deductions from the score.
    public static final String CROSS_ZONE_COST = "deductions.cross_zone";
    public static final String PROBE_COST = "deductions.probe";

    private SettingsKeys() {}

    /** Returns the path of a field of the traffic class with this index, such as classes.2.name. */
    public static String classField(int index, String field) {
        return "classes." + index + "." + field;
    }

    /** Returns the path of a field of the tenant with this index. */
    public static String tenantField(int index, String field) {
        return "tenants." + index + "." + field;
    }
}
