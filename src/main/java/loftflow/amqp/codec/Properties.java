package loftflow.amqp.codec;

import io.netty.buffer.ByteBuf;
import java.util.EnumMap;
import java.util.Map;

/** The properties of a message. Immutable. */
public final class Properties {
    /** No properties. */
    public static final Properties NONE = new Properties(new EnumMap<>(Property.class));

    /** Flag of a further word of property flags, which class basic does not have. */
    private static final int CONTINUATION_FLAG = 1;

    private final Map<Property, Object> values;

    private Properties(Map<Property, Object> values) {
        this.values = values;
    }

    /**
     * Returns a copy with a property set.
     *
     * @param value null removes the property
     * @throws IllegalArgumentException if the property can't have such a value
     */
    public Properties with(Property property, Object value) {
        if (value != null && !property.valueType().fits(value)) {
            throw new IllegalArgumentException(property.label() + " can't be " + value);
        }
        Map<Property, Object> updated = new EnumMap<>(values);
        updated.remove(property);
        if (value != null) {
            updated.put(property, value);
        }
        return new Properties(updated);
    }

    static Properties read(ByteBuf in) throws AmqpException {
        int flags = ValueType.requireReadable(in, Short.BYTES).readUnsignedShort();
        if ((flags & (CONTINUATION_FLAG | 1 << 1)) != 0) {
            throw new AmqpException(AmqpException.SYNTAX_ERROR, "class basic has no more than 14 properties");
        }
        Map<Property, Object> values = new EnumMap<>(Property.class);
        for (Property property : Property.values()) {
            if ((flags & property.flag()) != 0) {
                values.put(property, property.valueType().read(in));
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
        values.forEach((property, value) -> property.valueType().write(out, value));
    }

    /** Returns a string property; null if it is absent. */
    public String text(Property property) {
        return (String) values.get(property);
    }

    /** Returns a numeric property; null if it is absent. */
    public Long number(Property property) {
        Object value = values.get(property);
        return value == null ? null : ((Number) value).longValue();
    }

    /** Returns the headers; empty if they are absent. */
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
