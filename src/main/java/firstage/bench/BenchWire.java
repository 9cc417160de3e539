package firstage.bench;

/**
 * Terms of the users' simulator: kinds of lines, their fields, and values with a fixed meaning.
 * This package maps them to the program's terms; they are used nowhere else.
 */
final class BenchWire {
    // Rounds: the input of a round lasts from ROUND_START to ROUND_END, its reply ends with
    // REPLY_END.
    static final String ROUND_START = "SYNC";
    static final String ROUND_END = "COMMIT";
    static final String REPLY_END = "FINISHED";
    static final String ROUND_CLOCK = "now";
    static final String ROUND_NUMBER = "n";

    // Endpoint lists, which events refer to by number.
    static final String LIST_START = "DEFINE_LIST";
    static final String LIST_ENTRY = "ITEM";
    static final String LIST_NUMBER = "ref";
    static final String LIST_SIZE = "elements";

    /** Number of the manager that an event or an action belongs to. */
    static final String MANAGER = "i";

    // Events.
    static final String MANAGER_STARTED = "POWER_ON";
    static final String MANAGER_KILLED = "DOWN";
    static final String REQUEST_RECEIVED = "INBOUND";
    static final String CLIENT_GONE = "TIMED_OUT_CLIENT";
    static final String ATTEMPT_RESULT = "SETTLED";
    static final String ATTEMPT_PROGRESS = "PROGRESS";
    static final String STREAM_STARTED = "FLOWING";
    static final String ENDPOINTS_UPDATED = "ENDPOINTS";
    static final String PROBE_RESULT = "PING_RESULT";
    static final String PEER_MESSAGE = "DATAGRAM";
    static final String WAKE_UP = "WAKE";

    // Actions.
    static final String START_ATTEMPT = "DISPATCH";
    static final String CANCEL_ATTEMPT = "UNDO_SEND";
    static final String SET_GRANT_AND_PRIORITY = "PROVIDE";
    static final String REJECT_REQUEST = "DENY";
    static final String FAIL_REQUEST = "ERROR";
    static final String PROBE_ENGINE = "TEST";
    static final String SUBSCRIBE = "LISTEN";
    static final String SCHEDULE_WAKE_UP = "ARM";
    static final String MESSAGE_PEERS = "WRITE_PEER";
    static final String LOG = "DEBUG";
    static final String MANAGER_FAILED = "FATAL";

    // Fields of requests.
    static final String REQUEST = "request_id";
    static final String TRAFFIC_CLASS = "tier_class";
    static final String TENANT = "org";
    static final String ORDERING_KEY = "table";
    static final String DEADLINE = "not_after";
    static final String ESTIMATED_WORK = "plan_cost";
    static final String ESTIMATED_MEMORY_MB = "mem_mb";
    static final String TABLE_GROUP = "tables";
    static final String IS_RETRY = "retry";

    // Fields of attempts.
    static final String ATTEMPT = "attempt";
    static final String ENGINE = "engine";
    static final String OUTCOME = "how";
    static final String DURATION = "delay_seen";

    /** Work and memory of a request that succeeded, packed into one number. */
    static final String ACTUAL_COST = "stats";

    static final String REQUEST_CLOSED = "terminal";
    static final String LOAD_REPORT = "gauge";
    static final String PROGRESS_KIND = "what";
    static final String PROGRESS_AMOUNT = "amount";
    static final String ATTEMPT_TIMEOUT = "within";
    static final String GRANT_MB = "workspace_mb";
    static final String PRIORITY = "rank";
    static final String RETRY_AFTER = "come_back";

    // Fields of load reports.
    static final String ACTIVE_THREADS = "active";
    static final String QUEUED_FOR_MEMORY = "waiting";
    static final String CPU_SHARE = "cpu";
    static final String MEMORY_SHARE = "x0";
    static final String DISK_SHARE = "x1";

    // Fields of endpoint lists.
    static final String UPDATE_KIND = "mode";
    static final String ZONE = "locality";
    static final String MACHINE_TYPE = "class_of_host";
    static final String CELL = "cell";
    static final String LIFECYCLE = "health";
    static final String WEIGHT = "heft";
    static final String STARTED_AT = "since";

    // Other fields.
    static final String TIMER_DELAY = "in";
    static final String TIMER_TOKEN = "nonce";
    static final String SENDER = "by";
    static final String RECEIVER = "dst";
    static final String ALL_PEERS = "all";
    static final String PAYLOAD = "payload";
    static final String NO_BYTES = "-";
    static final String ENABLED = "enable";
    static final String TEXT = "line";

    private BenchWire() {}
}
