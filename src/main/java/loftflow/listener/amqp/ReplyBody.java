package loftflow.listener.amqp;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import loftflow.amqp.codec.Properties;
import loftflow.amqp.codec.Property;
import loftflow.engine.Message;

/** What a reply says: the end of a message, in the words of the ends that are told over HTTP and in the file. */
final class ReplyBody {
    private static final int PERSISTENT = 2;
    private static final JsonFactory JSON = new JsonFactory();

    private ReplyBody() {}

    /** Its id is the same however often it is told, so that whoever hears it twice can tell. */
    static Properties properties(Message message) {
        String correlation = message.content().reply().correlationId();
        return Properties.NONE
                .with(Property.MESSAGE_ID, message.content().messageId() + ".end")
                .with(
                        Property.CORRELATION_ID,
                        correlation == null ? message.content().messageId() : correlation)
                .with(Property.TYPE, message.completion().word())
                .with(Property.CONTENT_TYPE, "application/json")
                .with(Property.DELIVERY_MODE, PERSISTENT);
    }

    static byte[] body(Message message) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator json = JSON.createGenerator(bytes)) {
            json.writeStartObject();
            json.writeStringField("ref", message.content().messageId());
            json.writeStringField("result", message.completion().word());
            if (message.completion().retryAfterMicros() > 0) {
                json.writeNumberField("wait_ms", message.completion().retryAfterMicros() / 1_000);
            }
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }
}
