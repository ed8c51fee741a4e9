package loftflow.admin;

import java.util.Locale;

/**
 * Names of the admin protocol: commands, and members of requests and responses. They must not change, because a client
 * and a relay of different versions may communicate.
 */
public final class AdminProtocol {
    public static final String COMMAND = "command";

    public static final String COMMAND_LIST = "list";
    public static final String COMMAND_SHOW = "show";
    public static final String COMMAND_STATS = "stats";
    public static final String COMMAND_REDRIVE = "resend";
    public static final String COMMAND_CONFIRM = "confirm";
    public static final String COMMAND_DISCARD = "discard";
    static final String COMMAND_PAUSE = "pause";
    static final String COMMAND_RESUME = "go-on";

    /** Members of requests, and of dead letters in responses. */
    public static final String ID = "id";

    public static final String STATE = "state";
    public static final String CERTAINTY = "ran";
    public static final String DESTINATION = "destination";
    public static final String REQUEST_CLASS = "class";
    public static final String TENANT = "tenant";
    public static final String BODY = "body";

    /** Members of requests only. */
    public static final String SINCE = "since";

    public static final String UNTIL = "until";
    public static final String MAX_ENTRIES = "most";
    public static final String OPERATOR = "by";
    public static final String OPERATOR_REASON = "reason";
    public static final String DRY_RUN = "dry-run";
    public static final String CANCEL = "cancel";

    /** Members of responses only. */
    public static final String ERROR = "error";

    public static final String MESSAGE_ID = "ref";
    static final String KEY = "key";
    public static final String STORED_AT = "kept";
    static final String DEADLINE = "deadline";
    public static final String REASON = "why";
    static final String CLIENT_REPLY = "told";
    static final String REDRIVES = "resends";
    public static final String DECISION = "verdict";
    static final String CONFIRMATION = "word";
    static final String ATTEMPTS = "tries";
    static final String ROUTE = "route";
    static final String ZONE = "building";
    static final String SENT_AT = "sent";
    static final String OUTCOME = "result";
    static final String AUDIT = "audit";
    static final String DONE = "done";
    static final String PAUSED = "paused";
    public static final String ENTRIES = "entries";
    public static final String BYTES = "bytes";
    static final String LOST = "lost";

    private AdminProtocol() {}

    /** Returns the protocol name of a stored code, such as the code of a dead letter's state. */
    static String nameOf(String code) {
        return code.toLowerCase(Locale.ROOT);
    }
}
