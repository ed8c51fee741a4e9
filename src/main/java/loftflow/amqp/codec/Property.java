package loftflow.amqp.codec;

/** The properties of class basic, in the order of their flags (AMQP 0-9-1, section 1.8). */
public enum Property {
    CONTENT_TYPE("content-type", ValueType.SHORTSTR),
    CONTENT_ENCODING("content-encoding", ValueType.SHORTSTR),
    HEADERS("headers", ValueType.TABLE),
    /** 1 or, for messages that outlast the broker, 2. */
    DELIVERY_MODE("delivery-mode", ValueType.OCTET),
    PRIORITY("priority", ValueType.OCTET),
    CORRELATION_ID("correlation-id", ValueType.SHORTSTR),
    REPLY_TO("reply-to", ValueType.SHORTSTR),
    /** Milliseconds after which the broker may drop the message, as text. */
    EXPIRATION("expiration", ValueType.SHORTSTR),
    MESSAGE_ID("message-id", ValueType.SHORTSTR),
    TIMESTAMP("timestamp", ValueType.TIMESTAMP),
    TYPE("type", ValueType.SHORTSTR),
    USER_ID("user-id", ValueType.SHORTSTR),
    APP_ID("app-id", ValueType.SHORTSTR),
    CLUSTER_ID("cluster-id", ValueType.SHORTSTR);

    private final String label;
    private final ValueType kind;

    Property(String label, ValueType kind) {
        this.label = label;
        this.kind = kind;
    }

    /** Its name in the specification. */
    public String label() {
        return label;
    }

    /** True where it is a number, and not text. */
    public boolean isNumber() {
        return kind == ValueType.OCTET || kind == ValueType.TIMESTAMP;
    }

    ValueType kind() {
        return kind;
    }

    /** The flag that says that it is there. */
    int flag() {
        return 1 << Short.SIZE - 1 - ordinal();
    }
}
