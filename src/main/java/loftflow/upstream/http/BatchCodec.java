package loftflow.upstream.http;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import loftflow.engine.Message;
import loftflow.json.JsonFields;
import loftflow.json.MalformedInputException;
import loftflow.protocol.HostProtocol;

/** Encodes the request body of a batch call and decodes its response body. */
final class BatchCodec {
    private static final JsonFactory JSON = new JsonFactory().enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION);
    /** Approximate number of bytes that field names, quotes and separators add to each message. */
    private static final int ENTRY_OVERHEAD_BYTES = 40;

    private BatchCodec() {}

    /** Returns the approximate encoded size of a message in a batch. */
    static int encodedSizeBytes(Message message) {
        Message.Content content = message.content();
        int keyBytes = content.key() == null ? 0 : content.key().length();
        int base64Bytes = (content.body().length + 2) / 3 * 4;
        return base64Bytes + content.messageId().length() + keyBytes + ENTRY_OVERHEAD_BYTES;
    }

    /** Encodes the messages of the given attempts, in iteration order. */
    static byte[] encode(Collection<Message.Attempt> attempts) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator json = JSON.createGenerator(bytes)) {
            json.writeStartArray();
            for (Message.Attempt attempt : attempts) {
                Message.Content content = attempt.message().content();
                json.writeStartObject();
                json.writeStringField(HostProtocol.MESSAGE_ID_FIELD, content.messageId());
                if (content.key() != null) {
                    json.writeStringField(HostProtocol.IDEMPOTENCY_KEY_FIELD, content.key());
                }
                json.writeBinaryField(HostProtocol.BODY_FIELD, content.body());
                json.writeEndObject();
            }
            json.writeEndArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    /**
     * Decodes a response body.
     *
     * @param sentIds the ids of the messages of the call
     *
     * @throws IOException if the body is not valid JSON or an entry repeats a field
     * @throws MalformedInputException if the body is not an array of entries or repeats a message id
     */
    static ReportedStates decodeStates(String body, Set<String> sentIds) throws IOException {
        Map<String, String> states = new HashMap<>();
        Set<String> otherIds = new HashSet<>();
        try (JsonParser parser = JSON.createParser(body)) {
            parser.nextToken();
            if (!(JsonFields.read(parser) instanceof List<?> entries)) {
                throw new MalformedInputException("the response body is not an array");
            }
            for (Object json : entries) {
                JsonFields entry = JsonFields.ofObject("entry", json);
                String messageId = entry.text(HostProtocol.MESSAGE_ID_FIELD);
                String state = entry.text(HostProtocol.STATE_FIELD);
                boolean isNew =
                        sentIds.contains(messageId) ? states.put(messageId, state) == null : otherIds.add(messageId);
                if (!isNew) {
                    throw new MalformedInputException("duplicate message id");
                }
            }
            if (parser.nextToken() != null) {
                throw new MalformedInputException("unexpected data after the array");
            }
        }
        return new ReportedStates(states, !otherIds.isEmpty());
    }
}
