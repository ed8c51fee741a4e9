package loftflow.protocol;

import java.util.List;

/**
 * The names of the protocol that clients speak to relays (PROTOCOL, "Clients to relays"): paths, headers and their
 * fields, mapped to this project's terms. Nothing else spells them.
 */
public final class ClientProtocol {
    /** Path of a message; {@code /api/KEY} also gives it an ordering key. */
    public static final String MESSAGE_PATH = "/api";
    /** The largest body of a message. */
    public static final int MAX_BODY_BYTES = 64 << 10;
    /** Path of the readiness check. */
    public static final String READINESS_PATH = "/-/ready";

    /** Header: the message's id. */
    public static final String MESSAGE_ID_HEADER = MessageHeaders.MESSAGE_ID;
    /** Header: the message's class. */
    public static final String CLASS_HEADER = MessageHeaders.REQUEST_CLASS;
    /** Header: the tenant. */
    public static final String TENANT_HEADER = MessageHeaders.TENANT;
    /** Header: the idempotency key. */
    public static final String IDEMPOTENCY_KEY_HEADER = MessageHeaders.IDEMPOTENCY_KEY;
    /** Header: the time in whole milliseconds, from when the client sent the message, until its deadline. */
    public static final String TIMEOUT_MILLIS_HEADER = MessageHeaders.TIMEOUT_MILLIS;
    /** Header: the message's destination, as {@link #DESTINATION_FIELD}. */
    public static final String DESTINATION_HEADER = MessageHeaders.DESTINATION;

    /** The field of {@link #DESTINATION_HEADER} that holds the number of the destination. */
    public static final String DESTINATION_FIELD = "dest=";
    /** {@link #DESTINATION_HEADER} with further fields; group 1 is the number. */
    public static final String DESTINATION_PATTERN = "(?:.*[;,\\s])?dest=(\\d{1,9})(?:[;,\\s].*)?";

    private static final List<String> REQUEST_HEADERS = List.of(
            MESSAGE_ID_HEADER,
            CLASS_HEADER,
            TENANT_HEADER,
            IDEMPOTENCY_KEY_HEADER,
            TIMEOUT_MILLIS_HEADER,
            DESTINATION_HEADER);

    private ClientProtocol() {}

    /** Every header of a message. */
    public static List<String> requestHeaders() {
        return REQUEST_HEADERS;
    }
}
