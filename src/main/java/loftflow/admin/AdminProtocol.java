package loftflow.admin;

import java.util.Locale;

/** Names of the admin protocol: commands, members of requests and of responses. They never change. */
final class AdminProtocol {
    static final String COMMAND = "command";

    static final String COMMAND_LIST = "list";
    static final String COMMAND_SHOW = "show";
    static final String COMMAND_STATS = "stats";
    static final String COMMAND_REDRIVE = "resend";
    static final String COMMAND_CONFIRM = "confirm";
    static final String COMMAND_DISCARD = "discard";
    static final String COMMAND_PAUSE = "pause";
    static final String COMMAND_RESUME = "go-on";

    /** Members of requests and of dead letters in responses. */
    static final String ID = "id";

    static final String STATE = "state";
    static final String CERTAINTY = "ran";
    static final String DESTINATION = "destination";
    static final String REQUEST_CLASS = "class";
    static final String TENANT = "tenant";
    static final String BODY = "body";

    /** Members of requests only. */
    static final String SINCE = "since";

    static final String UNTIL = "until";
    static final String MAX_ENTRIES = "most";
    static final String OPERATOR = "by";
    static final String OPERATOR_REASON = "reason";
    static final String DRY_RUN = "dry-run";
    static final String CANCEL = "cancel";

    /** Members of responses only. */
    static final String ERROR = "error";

    static final String MESSAGE_ID = "ref";
    static final String KEY = "key";
    static final String STORED_AT = "kept";
    static final String DEADLINE = "deadline";
    static final String REASON = "why";
    static final String CLIENT_REPLY = "told";
    static final String REDRIVES = "resends";
    static final String DECISION = "verdict";
    static final String CONFIRMATION = "word";
    static final String ATTEMPTS = "tries";
    static final String ROUTE = "route";
    static final String ZONE = "building";
    static final String SENT_AT = "sent";
    static final String OUTCOME = "result";
    static final String AUDIT = "audit";
    static final String DONE = "done";
    static final String PAUSED = "paused";
    static final String ENTRIES = "entries";
    static final String BYTES = "bytes";
    static final String LOST = "lost";

    private AdminProtocol() {}

    /** The form in which a stored code, such as that of a dead letter's state, stands in the protocol. */
    static String nameOf(String code) {
        return code.toLowerCase(Locale.ROOT);
    }
}
