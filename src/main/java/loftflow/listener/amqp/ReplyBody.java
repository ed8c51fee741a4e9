package loftflow.listener.amqp;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import loftflow.amqp.codec.Properties;
import loftflow.amqp.codec.Property;
import loftflow.engine.Message;
import loftflow.protocol.CompletionProtocol;

/** Encodes replies: the completion of a message, with the same names as in notices over HTTP and in files. */
final class ReplyBody {
    private static final long MICROS_PER_MILLI = 1_000;
    private static final String CONTENT_TYPE = "application/json";
    /** Suffix of the message id, which makes the reply's id; a redelivered reply has the same id. */
    private static final String REPLY_ID_SUFFIX = ".end";

    private static final JsonFactory JSON = new JsonFactory();

    private ReplyBody() {}

    /** The id of a reply. */
    static String id(Message message) {
        return message.content().messageId() + REPLY_ID_SUFFIX;
    }

    /** The properties of a reply. The correlation id is the one that the client set, or else the message's id. */
    static Properties properties(Message message) {
        String messageId = message.content().messageId();
        String correlationId = message.content().reply().correlationId();
        return Properties.NONE
                .with(Property.MESSAGE_ID, id(message))
                .with(Property.CORRELATION_ID, correlationId == null ? messageId : correlationId)
                .with(Property.TYPE, message.completion().result())
                .with(Property.CONTENT_TYPE, CONTENT_TYPE)
                .with(Property.DELIVERY_MODE, Property.PERSISTENT_DELIVERY_MODE);
    }

    /** The body of a reply, a JSON object. */
    static byte[] body(Message message) {
        long retryAfterMicros = message.completion().retryAfterMicros();
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator json = JSON.createGenerator(bytes)) {
            json.writeStartObject();
            json.writeStringField(
                    CompletionProtocol.MESSAGE_ID, message.content().messageId());
            json.writeStringField(
                    CompletionProtocol.RESULT, message.completion().result());
            if (retryAfterMicros > 0) {
                json.writeNumberField(CompletionProtocol.RETRY_AFTER_MILLIS, retryAfterMicros / MICROS_PER_MILLI);
            }
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }
}
