package loftflow.completion;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.concurrent.TimeUnit;
import loftflow.engine.Message;

/**
 * The protocol's form of a completion: one JSON object a line. A notice to the platform says which message ended and
 * how; a line of the completion log says of what class it was, for which destination and after how many attempts too.
 * A message must have its completion.
 */
final class CompletionNoticeCodec {
    /** Where the platform receives notices, by POST. */
    static final String NOTICE_PATH = "/status";

    private static final String MESSAGE_ID = "ref";
    private static final String REQUEST_CLASS = "class";
    private static final String DESTINATION = "dest";
    private static final String RESULT = "result";
    private static final String RETRY_AFTER_MILLIS = "wait_ms";
    private static final String ATTEMPTS = "attempts";

    private static final String FAILED = "dead";
    private static final String REJECTED = "bounced";
    private static final String DELIVERED = "done";

    private static final JsonFactory JSON = new JsonFactory();

    private interface Fields {
        void write(JsonGenerator json) throws IOException;
    }

    private CompletionNoticeCodec() {}

    /** A notice to the platform, with its line end. */
    static String notice(Message message) {
        return line(json -> {
            writeMessageId(json, message);
            writeCompletion(json, message.completion());
        });
    }

    /** A line of the completion log, with its line end. */
    static String logLine(Message message) {
        return line(json -> {
            writeMessageId(json, message);
            json.writeStringField(REQUEST_CLASS, message.content().requestClass());
            json.writeNumberField(DESTINATION, message.content().destination());
            writeCompletion(json, message.completion());
            json.writeNumberField(ATTEMPTS, message.attempts().size());
        });
    }

    private static String line(Fields fields) {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(text)) {
            json.writeStartObject();
            fields.write(json);
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text + "\n";
    }

    private static void writeMessageId(JsonGenerator json, Message message) throws IOException {
        json.writeStringField(MESSAGE_ID, message.content().messageId());
    }

    private static void writeCompletion(JsonGenerator json, Message.Completion completion) throws IOException {
        json.writeStringField(RESULT, result(completion.kind()));
        if (completion.isRejected() && completion.retryAfterMicros() > 0) {
            json.writeNumberField(RETRY_AFTER_MILLIS, TimeUnit.MICROSECONDS.toMillis(completion.retryAfterMicros()));
        }
    }

    private static String result(Message.Completion.Kind kind) {
        return switch (kind) {
            case FAILED -> FAILED;
            case REJECTED -> REJECTED;
            case DELIVERED -> DELIVERED;
        };
    }
}
