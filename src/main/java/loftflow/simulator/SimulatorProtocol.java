package loftflow.simulator;

/**
 * The names of the simulator's wire: JSON members of a batch, and the first values of messages. This is the only class
 * that spells them; {@link SimulatorEventReader} and {@link SimulatorCommandWriter} map them to the policy's terms.
 */
final class SimulatorProtocol {
    // Batches and replies.
    static final String CLOCK_SECONDS = "t-s";
    static final String BATCH_NUMBER = "n";
    static final String GROUPS = "groups";
    static final String INSTANCE = "i";
    static final String EVENTS = "in";
    static final String COMMANDS = "cmds";

    // Messages that steer the host.
    static final String ENDPOINT_DIRECTORY = "directory";
    static final String INSTANCE_STARTED = "launch";
    static final String INSTANCE_STOPPED = "detach";

    // Events.
    static final String MESSAGE_ACCEPTED = "job-in";
    static final String RESPONSE_STARTED = "flowing";
    static final String ATTEMPT_COMPLETED = "outcome";
    static final String MESSAGE_WITHDRAWN = "dropped";
    static final String TIMER_FIRED = "reminder";
    static final String ENDPOINT_LIST = "discovery";
    static final String PROBE_COMPLETED = "probe-done";
    static final String PEER_MESSAGE = "memo";

    // Kinds of endpoint lists.
    static final String LIST_FULL = "full";
    static final String LIST_CACHED = "cached";
    static final String LIST_DELTA = "delta";
    static final String LIST_FAILED = "failed";

    // States of a listed endpoint.
    static final String ENDPOINT_LISTED = "IN";
    static final String ENDPOINT_DRAINING = "LAME";
    static final String ENDPOINT_REMOVED = "OUT";

    // Outcomes of attempts.
    static final String OUTCOME_OK = "ok";
    static final String OUTCOME_ERROR = "error";
    static final String OUTCOME_REJECTED = "full";
    static final String OUTCOME_TIMEOUT = "timeout";
    static final String OUTCOME_CONNECT_FAILED = "connect_failed";
    static final String OUTCOME_RESET = "reset";
    static final String OUTCOME_CANCELLED = "cancelled";
    static final String OUTCOME_NOT_SENT = "moot";

    // Fields of load reports.
    static final String REMAINING_LIMIT_SHARE = "x0";
    static final String LIMIT_PER_SECOND = "x1";

    // Commands.
    static final String SEND = "place";
    static final String CANCEL = "withdraw";
    static final String REJECT = "deny";
    static final String FAIL = "end-failed";
    static final String SET_TIMER = "remind";
    static final String PROBE = "inspect";
    static final String CLOSE_IDLE_CONNECTIONS = "let-go";
    static final String SEND_TO_PEER = "memo-to";
    static final String SUBSCRIBE = "subscribe";
    static final String FETCH_ENDPOINT_LIST = "list-all";
    static final String LOG = "journal-line";
    static final String INTERNAL_ERROR = "internal-error";
    static final String EVERY_PEER = "*";

    private SimulatorProtocol() {}
}
