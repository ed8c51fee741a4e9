package loftflow.protocol;

import java.util.List;

/**
 * The names in the HTTP protocol between clients and relays (PROTOCOL, "Clients to relays"): paths, headers and header
 * fields. Other classes use these constants and never repeat the names.
 */
public final class ClientProtocol {
    /** Path to which a message is posted; {@code /api/KEY} also sets its ordering key. */
    public static final String MESSAGE_PATH = "/api";
    /** Maximum size of a message body, in bytes. */
    public static final int MAX_BODY_BYTES = 64 << 10;
    /** Path of the readiness check. */
    public static final String READINESS_PATH = "/-/ready";

    /** Header: the message id. */
    public static final String MESSAGE_ID_HEADER = MessageHeaders.MESSAGE_ID;
    /** Header: the request class. */
    public static final String CLASS_HEADER = MessageHeaders.REQUEST_CLASS;
    /** Header: the tenant. */
    public static final String TENANT_HEADER = MessageHeaders.TENANT;
    /** Header: the idempotency key. */
    public static final String IDEMPOTENCY_KEY_HEADER = MessageHeaders.IDEMPOTENCY_KEY;
    /** Header: the time from sending the message until its deadline, in whole milliseconds. */
    public static final String TIMEOUT_MILLIS_HEADER = MessageHeaders.TIMEOUT_MILLIS;
    /** Header: the destination, in the field {@link #DESTINATION_FIELD}. */
    public static final String DESTINATION_HEADER = MessageHeaders.DESTINATION;

    /** The field of {@link #DESTINATION_HEADER} that contains the number of the destination. */
    public static final String DESTINATION_FIELD = "dest=";
    /** Pattern of {@link #DESTINATION_HEADER}, with or without other fields; group 1 is the destination number. */
    public static final String DESTINATION_PATTERN = "(?:.*[;,\\s])?dest=(\\d{1,9})(?:[;,\\s].*)?";

    private static final List<String> REQUEST_HEADERS = List.of(
            MESSAGE_ID_HEADER,
            CLASS_HEADER,
            TENANT_HEADER,
            IDEMPOTENCY_KEY_HEADER,
            TIMEOUT_MILLIS_HEADER,
            DESTINATION_HEADER);

    private ClientProtocol() {}

    /** Returns the names of all headers that a message may have. */
    public static List<String> requestHeaders() {
        return REQUEST_HEADERS;
    }
}
