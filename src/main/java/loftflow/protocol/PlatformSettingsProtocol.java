package loftflow.protocol;

/**
 * Field names of the settings object that is part of both the simulator's first message and a platform's configuration.
 * The values of fields whose constants end in {@code _SECONDS} are durations in seconds and may have a fraction.
 */
public final class PlatformSettingsProtocol {
    // Top level.
    public static final String RELAY_INDEX = "me";
    public static final String FLEET_SIZE = "fleet-size";
    public static final String ZONE = "zone";
    public static final String ZONES = "zones";
    public static final String KINDS = "kinds";
    public static final String CLASSES = "classes";
    public static final String TENANTS = "accounts";
    public static final String LIMITS = "limits";
    public static final String SERVICE_RULES = "contract";
    public static final String DELIVERY_SETTINGS = "family-info";
    public static final String COSTS = "fees";
    public static final String OVER_QUOTA_WEIGHT = "over-share-worth";
    public static final String DISCOVERY_MODE = "registry-mode";
    public static final String LISTED_RATE_SOURCE = "weight-source";

    // Values of the discovery mode, of the source of listed rates and of the decay.
    public static final String DISCOVERY_MODE_SUBSCRIBE = "subscribe";
    public static final String LISTED_RATE_NOMINAL = "nominal";
    public static final String LISTED_RATE_ROUGH = "rough";
    public static final String DECAY_BY_HALF = "by_half";

    // Classes and tenants.
    public static final String NAME = "name";
    public static final String IDEMPOTENCY = "repeat";
    public static final String IDEMPOTENT = "repeatable";
    public static final String IDEMPOTENT_BY_KEY = "by_key";
    public static final String NON_IDEMPOTENT = "once";
    public static final String KEY_SCOPE = "key-scope";
    public static final String KEY_SCOPE_ALL = "all";
    public static final String KEY_SCOPE_ZONE = "zone";
    public static final String KEY_SCOPE_CELL = "cell";
    public static final String KEY_WINDOW_SECONDS = "dedup-window-s";
    public static final String LATENCY_OBJECTIVE_SECONDS = "goal-time-s";
    public static final String DEADLINE_SECONDS = "deadline-s";
    public static final String PRIORITY_WEIGHT = "worth";
    public static final String LATE_WEIGHT = "late-worth";
    public static final String ORDERED = "fifo-by-key";
    public static final String QUOTA_PER_SECOND = "quota-rps";

    // Delivery settings.
    public static final String MAX_CONCURRENT_CALLS = "call-slots";
    public static final String INDEPENDENT_ROUTES = "routes-apart";
    public static final String MAX_BATCH_SIZES = "batch-by-kind";
    public static final String ZONE_COSTS = "toll";
    public static final String DECAY = "fades";

    // Limits.
    public static final String MAX_OPEN_MESSAGES = "max-open";
    public static final String MAX_ATTEMPTS = "send-cap";
    public static final String CANCELLATION = "may-cancel";
    public static final String PROBES = "probes";
    public static final String PEER_MESSAGES = "peers";
    public static final String HEDGED_ATTEMPTS = "second-copies";
    public static final String RETRY_AFTER = "retry-after";
    public static final String CONNECT_TIMEOUT_SECONDS = "connect-timeout-s";

    // Service rules.
    public static final String COMPLETION_SLACK_SECONDS = "answer-slack-s";
    public static final String DRAIN_GRACE_SECONDS = "drain-grace-s";
    public static final String OVERLOAD_MULTIPLE = "fall-multiple";
    public static final String OVERLOAD_WINDOW_SECONDS = "fall-s";
    public static final String COLD_CAPACITY_SHARE = "cold-from";
    public static final String WARM_UP_SECONDS = "warm-up-s";
    public static final String WATCH_RENEWAL_SECONDS = "must-ask-in-s";
    public static final String ORDERING_PAUSE_SECONDS = "order-pause-s";

    // Costs.
    public static final String CROSS_ZONE_COST = "cross-zone";

    private PlatformSettingsProtocol() {}
}
