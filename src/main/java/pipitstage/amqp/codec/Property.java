package pipitstage.amqp.codec;

/** The properties of class basic, in the order of their flags (AMQP 0-9-1, section 1.8). */
public enum Property {
    CONTENT_TYPE("content-type", Kind.SHORTSTR),
    CONTENT_ENCODING("content-encoding", Kind.SHORTSTR),
    HEADERS("headers", Kind.TABLE),
    /** 1 or, for messages that outlast the broker, 2. */
    DELIVERY_MODE("delivery-mode", Kind.OCTET),
    PRIORITY("priority", Kind.OCTET),
    CORRELATION_ID("correlation-id", Kind.SHORTSTR),
    REPLY_TO("reply-to", Kind.SHORTSTR),
    /** Milliseconds after which the broker may drop the message, as text. */
    EXPIRATION("expiration", Kind.SHORTSTR),
    MESSAGE_ID("message-id", Kind.SHORTSTR),
    TIMESTAMP("timestamp", Kind.TIMESTAMP),
    TYPE("type", Kind.SHORTSTR),
    USER_ID("user-id", Kind.SHORTSTR),
    APP_ID("app-id", Kind.SHORTSTR),
    CLUSTER_ID("cluster-id", Kind.SHORTSTR);

    private final String label;
    private final Kind kind;

    Property(String label, Kind kind) {
        this.label = label;
        this.kind = kind;
    }

    /** Its name in the specification. */
    public String label() {
        return label;
    }

    /** True where it is a number, and not text. */
    public boolean isNumber() {
        return kind == Kind.OCTET || kind == Kind.TIMESTAMP;
    }

    Kind kind() {
        return kind;
    }

    /** The flag that says that it is there. */
    int flag() {
        return 1 << Short.SIZE - 1 - ordinal();
    }
}
