package loftflow.amqp.codec;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * The supported methods, each with its arguments in the order of the specification (AMQP 0-9-1, section 1; those of
 * class confirm, {@code basic.nack} and {@code connection.blocked} are RabbitMQ's extensions).
 */
public enum MethodType {
    CONNECTION_START(10, 10, "octet major, octet minor, table server-properties, longstr mechanisms, longstr locales"),
    CONNECTION_START_OK(10, 11, "table client-properties, shortstr mechanism, longstr response, shortstr locale"),
    CONNECTION_SECURE(10, 20, "longstr challenge"),
    CONNECTION_SECURE_OK(10, 21, "longstr response"),
    CONNECTION_TUNE(10, 30, "short channel-max, long frame-max, short heartbeat"),
    CONNECTION_TUNE_OK(10, 31, "short channel-max, long frame-max, short heartbeat"),
    CONNECTION_OPEN(10, 40, "shortstr virtual-host, shortstr reserved-1, bit reserved-2"),
    CONNECTION_OPEN_OK(10, 41, "shortstr reserved-1"),
    CONNECTION_CLOSE(10, 50, "short reply-code, shortstr reply-text, short class-id, short method-id"),
    CONNECTION_CLOSE_OK(10, 51, ""),
    CONNECTION_BLOCKED(10, 60, "shortstr reason"),
    CONNECTION_UNBLOCKED(10, 61, ""),
    CHANNEL_OPEN(20, 10, "shortstr reserved-1"),
    CHANNEL_OPEN_OK(20, 11, "longstr reserved-1"),
    CHANNEL_FLOW(20, 20, "bit active"),
    CHANNEL_FLOW_OK(20, 21, "bit active"),
    CHANNEL_CLOSE(20, 40, "short reply-code, shortstr reply-text, short class-id, short method-id"),
    CHANNEL_CLOSE_OK(20, 41, ""),
    EXCHANGE_DECLARE(
            40,
            10,
            "short reserved-1, shortstr exchange, shortstr type, bit passive, bit durable,"
                    + " bit auto-delete, bit internal, bit no-wait, table arguments"),
    EXCHANGE_DECLARE_OK(40, 11, ""),
    EXCHANGE_DELETE(40, 20, "short reserved-1, shortstr exchange, bit if-unused, bit no-wait"),
    EXCHANGE_DELETE_OK(40, 21, ""),
    QUEUE_DECLARE(
            50,
            10,
            "short reserved-1, shortstr queue, bit passive, bit durable, bit exclusive, bit auto-delete,"
                    + " bit no-wait, table arguments"),
    QUEUE_DECLARE_OK(50, 11, "shortstr queue, long message-count, long consumer-count"),
    QUEUE_BIND(
            50,
            20,
            "short reserved-1, shortstr queue, shortstr exchange, shortstr routing-key, bit no-wait,"
                    + " table arguments"),
    QUEUE_BIND_OK(50, 21, ""),
    QUEUE_PURGE(50, 30, "short reserved-1, shortstr queue, bit no-wait"),
    QUEUE_PURGE_OK(50, 31, "long message-count"),
    QUEUE_DELETE(50, 40, "short reserved-1, shortstr queue, bit if-unused, bit if-empty, bit no-wait"),
    QUEUE_DELETE_OK(50, 41, "long message-count"),
    QUEUE_UNBIND(50, 50, "short reserved-1, shortstr queue, shortstr exchange, shortstr routing-key, table arguments"),
    QUEUE_UNBIND_OK(50, 51, ""),
    BASIC_QOS(60, 10, "long prefetch-size, short prefetch-count, bit global"),
    BASIC_QOS_OK(60, 11, ""),
    BASIC_CONSUME(
            60,
            20,
            "short reserved-1, shortstr queue, shortstr consumer-tag, bit no-local, bit no-ack,"
                    + " bit exclusive, bit no-wait, table arguments"),
    BASIC_CONSUME_OK(60, 21, "shortstr consumer-tag"),
    BASIC_CANCEL(60, 30, "shortstr consumer-tag, bit no-wait"),
    BASIC_CANCEL_OK(60, 31, "shortstr consumer-tag"),
    BASIC_PUBLISH(60, 40, "short reserved-1, shortstr exchange, shortstr routing-key, bit mandatory, bit immediate"),
    BASIC_RETURN(60, 50, "short reply-code, shortstr reply-text, shortstr exchange, shortstr routing-key"),
    BASIC_DELIVER(
            60,
            60,
            "shortstr consumer-tag, longlong delivery-tag, bit redelivered, shortstr exchange,"
                    + " shortstr routing-key"),
    BASIC_GET(60, 70, "short reserved-1, shortstr queue, bit no-ack"),
    BASIC_GET_OK(
            60,
            71,
            "longlong delivery-tag, bit redelivered, shortstr exchange, shortstr routing-key," + " long message-count"),
    BASIC_GET_EMPTY(60, 72, "shortstr reserved-1"),
    BASIC_ACK(60, 80, "longlong delivery-tag, bit multiple"),
    BASIC_REJECT(60, 90, "longlong delivery-tag, bit requeue"),
    BASIC_RECOVER(60, 110, "bit requeue"),
    BASIC_RECOVER_OK(60, 111, ""),
    BASIC_NACK(60, 120, "longlong delivery-tag, bit multiple, bit requeue"),
    CONFIRM_SELECT(85, 10, "bit no-wait"),
    CONFIRM_SELECT_OK(85, 11, "");

    /** An argument: its type, and its name in the specification. */
    record Argument(ValueType valueType, String name) {}

    private static final Map<Integer, MethodType> BY_ID = new HashMap<>();

    static {
        for (MethodType op : values()) {
            BY_ID.put(id(op.classId, op.methodId), op);
        }
    }

    private final int classId;
    private final int methodId;
    private final List<Argument> arguments = new ArrayList<>();

    MethodType(int classId, int methodId, String arguments) {
        this.classId = classId;
        this.methodId = methodId;
        for (String argument : arguments.isEmpty() ? new String[0] : arguments.split(", ")) {
            String[] typeAndName = argument.split(" ");
            this.arguments.add(
                    new Argument(ValueType.valueOf(typeAndName[0].toUpperCase(Locale.ROOT)), typeAndName[1]));
        }
    }

    private static int id(int classId, int methodId) {
        return classId << Short.SIZE | methodId;
    }

    /** Returns the method with the given identifiers; null if it is not supported. */
    static MethodType of(int classId, int methodId) {
        return BY_ID.get(id(classId, methodId));
    }

    /** Returns the identifier of the class of the method. */
    public int classId() {
        return classId;
    }

    /** Returns the identifier of the method within its class. */
    public int methodId() {
        return methodId;
    }

    /** Returns all arguments in order, including the reserved ones. */
    List<Argument> arguments() {
        return arguments;
    }

    /** Returns true if a content header and a body follow the method. */
    public boolean carriesContent() {
        return this == BASIC_PUBLISH || this == BASIC_RETURN || this == BASIC_DELIVER || this == BASIC_GET_OK;
    }
}
