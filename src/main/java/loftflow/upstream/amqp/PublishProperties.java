package loftflow.upstream.amqp;

import java.util.LinkedHashMap;
import java.util.Map;
import loftflow.amqp.codec.Properties;
import loftflow.amqp.codec.Property;
import loftflow.amqp.confirm.PublisherConfirms;
import loftflow.engine.Message;
import loftflow.protocol.MessageHeaders;

/** The AMQP properties of a published message. */
final class PublishProperties {
    private static final long MICROS_PER_MILLI = 1_000;
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long MIN_EXPIRATION_MILLIS = 1;

    private PublishProperties() {}

    /**
     * The properties of a message; it expires at its deadline.
     *
     * @param tag the tag of the publish, by which a return identifies it
     */
    static Properties of(Message.Content content, long tag, long nowMicros) {
        Map<String, Object> headers = new LinkedHashMap<>();
        headers.put(PublisherConfirms.DELIVERY_TAG_HEADER, tag);
        if (content.key() != null) {
            headers.put(MessageHeaders.IDEMPOTENCY_KEY, content.key());
        }
        long leftMillis = Math.max(MIN_EXPIRATION_MILLIS, (content.deadlineMicros() - nowMicros) / MICROS_PER_MILLI);
        return Properties.NONE
                .with(Property.HEADERS, headers)
                .with(Property.DELIVERY_MODE, Property.PERSISTENT_DELIVERY_MODE)
                .with(Property.EXPIRATION, Long.toString(leftMillis))
                .with(Property.MESSAGE_ID, content.messageId())
                .with(Property.TIMESTAMP, nowMicros / MICROS_PER_SECOND)
                .with(Property.TYPE, content.requestClass());
    }
}
