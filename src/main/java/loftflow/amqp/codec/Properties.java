package loftflow.amqp.codec;

import io.netty.buffer.ByteBuf;
import java.util.EnumMap;
import java.util.Map;

/** The properties of a message. */
public final class Properties {
    /** None at all. */
    public static final Properties NONE = new Properties(new EnumMap<>(Property.class));

    private static final int CONTINUES = 1;

    private final Map<Property, Object> values;

    private Properties(Map<Property, Object> values) {
        this.values = values;
    }

    /** These, with one more or another; null leaves it out. */
    public Properties with(Property property, Object value) {
        if (value != null && !property.kind().fits(value)) {
            throw new IllegalArgumentException(property.label() + " can't be " + value);
        }
        Map<Property, Object> more = new EnumMap<>(values);
        more.remove(property);
        if (value != null) {
            more.put(property, value);
        }
        return new Properties(more);
    }

    static Properties read(ByteBuf in) throws AmqpException {
        int flags = ValueType.need(in, Short.BYTES).readUnsignedShort();
        if ((flags & (CONTINUES | 1 << 1)) != 0) {
            throw new AmqpException(AmqpException.SYNTAX_ERROR, "class basic has no more than 14 properties");
        }
        Map<Property, Object> values = new EnumMap<>(Property.class);
        for (Property property : Property.values()) {
            if ((flags & property.flag()) != 0) {
                values.put(property, property.kind().read(in));
            }
        }
        if (in.isReadable()) {
            throw new AmqpException(AmqpException.SYNTAX_ERROR, "a header has bytes behind its properties");
        }
        return new Properties(values);
    }

    void write(ByteBuf out) {
        int flags = 0;
        for (Property property : values.keySet()) {
            flags |= property.flag();
        }
        out.writeShort(flags);
        values.forEach((property, value) -> property.kind().write(out, value));
    }

    /** A property that is text; null where it is not there. */
    public String text(Property property) {
        return (String) values.get(property);
    }

    /** A property that is a number; null where it is not there. */
    public Long number(Property property) {
        Object value = values.get(property);
        return value == null ? null : ((Number) value).longValue();
    }

    /** The headers; empty where there are none. */
    @SuppressWarnings("unchecked")
    public Map<String, Object> headers() {
        return (Map<String, Object>) values.getOrDefault(Property.HEADERS, Map.of());
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Properties properties && values.equals(properties.values);
    }

    @Override
    public int hashCode() {
        return values.hashCode();
    }

    @Override
    public String toString() {
        return values.toString();
    }
}
