package loftflow.amqp.mapping;

import java.util.Arrays;
import loftflow.amqp.codec.Properties;
import loftflow.amqp.codec.Property;

/**
 * The part of an AMQP message that a value is read from: {@code header:NAME}, {@code property:NAME},
 * {@code routing-key}, {@code exchange} or {@code fixed:VALUE}.
 */
public final class ValueSource {
    private enum Kind {
        HEADER,
        PROPERTY,
        ROUTING_KEY,
        EXCHANGE,
        FIXED
    }

    private final Kind kind;
    private final String name;
    private final Property property;

    private ValueSource(Kind kind, String name, Property property) {
        this.kind = kind;
        this.name = name;
        this.property = property;
    }

    /**
     * Parses a source in the notation of the configuration file.
     *
     * @throws IllegalArgumentException if the text is not a source; the message is shown to the operator
     */
    public static ValueSource of(String text) {
        int colon = text.indexOf(':');
        String name = colon < 0 ? "" : text.substring(colon + 1);
        switch (colon < 0 ? text : text.substring(0, colon)) {
            case "header":
                return new ValueSource(Kind.HEADER, name, null);
            case "property":
                Property property = Arrays.stream(Property.values())
                        .filter(p -> p.label().equals(name) && p != Property.HEADERS)
                        .findFirst()
                        .orElseThrow(
                                () -> new IllegalArgumentException("\"" + name + "\" is no property of a message"));
                return new ValueSource(Kind.PROPERTY, name, property);
            case "fixed":
                return new ValueSource(Kind.FIXED, name, null);
            case "routing-key":
                return new ValueSource(Kind.ROUTING_KEY, "", null);
            case "exchange":
                return new ValueSource(Kind.EXCHANGE, "", null);
            default:
                throw new IllegalArgumentException("\"" + text + "\" is no source");
        }
    }

    /** Returns the value in a message; null if it is absent. */
    String value(Properties properties, String exchange, String routingKey) {
        Object value =
                switch (kind) {
                    case HEADER -> properties.headers().get(name);
                    case PROPERTY -> property.isNumber() ? properties.number(property) : properties.text(property);
                    case ROUTING_KEY -> routingKey;
                    case EXCHANGE -> exchange;
                    case FIXED -> name;
                };
        return value == null ? null : value.toString();
    }
}
