package loftflow.amqp.codec;

/** The properties of class basic, in the order of their flags (AMQP 0-9-1, section 1.8). */
public enum Property {
    CONTENT_TYPE("content-type", ValueType.SHORTSTR),
    CONTENT_ENCODING("content-encoding", ValueType.SHORTSTR),
    HEADERS("headers", ValueType.TABLE),
    /** 1 for transient messages, {@link #PERSISTENT_DELIVERY_MODE} for persistent ones. */
    DELIVERY_MODE("delivery-mode", ValueType.OCTET),
    PRIORITY("priority", ValueType.OCTET),
    CORRELATION_ID("correlation-id", ValueType.SHORTSTR),
    REPLY_TO("reply-to", ValueType.SHORTSTR),
    /** Time to live of the message in milliseconds, as a decimal string. */
    EXPIRATION("expiration", ValueType.SHORTSTR),
    MESSAGE_ID("message-id", ValueType.SHORTSTR),
    TIMESTAMP("timestamp", ValueType.TIMESTAMP),
    TYPE("type", ValueType.SHORTSTR),
    USER_ID("user-id", ValueType.SHORTSTR),
    APP_ID("app-id", ValueType.SHORTSTR),
    CLUSTER_ID("cluster-id", ValueType.SHORTSTR);

    /** The delivery mode of a message that the broker stores. */
    public static final int PERSISTENT_DELIVERY_MODE = 2;

    private final String label;
    private final ValueType valueType;

    Property(String label, ValueType kind) {
        this.label = label;
        this.valueType = kind;
    }

    /** Returns the name in the specification. */
    public String label() {
        return label;
    }

    /** Returns true if the value is a number, and false if it is a string or a table. */
    public boolean isNumber() {
        return valueType == ValueType.OCTET || valueType == ValueType.TIMESTAMP;
    }

    ValueType valueType() {
        return valueType;
    }

    /** Returns the bit that marks the property as present. */
    int flag() {
        return 1 << Short.SIZE - 1 - ordinal();
    }
}
