package loftflow.completion;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.concurrent.TimeUnit;
import loftflow.engine.Message;
import loftflow.protocol.CompletionProtocol;

/**
 * Encodes completions as JSON objects, one per line. A notice to the platform contains the message id and the result; a
 * line of the completion log also contains the request class, the destination and the number of attempts. The
 * completion of the message must not be null.
 */
final class CompletionNoticeCodec {
    private static final JsonFactory JSON = new JsonFactory();

    private interface FieldWriter {
        void write(JsonGenerator json) throws IOException;
    }

    private CompletionNoticeCodec() {}

    /** Returns a notice to the platform, including the line end. */
    static String notice(Message message) {
        return line(json -> {
            writeMessageId(json, message);
            writeCompletion(json, message.completion());
        });
    }

    /** Returns a line of the completion log, including the line end. */
    static String logLine(Message message) {
        return line(json -> {
            writeMessageId(json, message);
            json.writeStringField(
                    CompletionProtocol.REQUEST_CLASS, message.content().requestClass());
            json.writeNumberField(
                    CompletionProtocol.DESTINATION, message.content().destination());
            writeCompletion(json, message.completion());
            json.writeNumberField(
                    CompletionProtocol.ATTEMPTS, message.attempts().size());
        });
    }

    private static String line(FieldWriter fields) {
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
        json.writeStringField(CompletionProtocol.MESSAGE_ID, message.content().messageId());
    }

    private static void writeCompletion(JsonGenerator json, Message.Completion completion) throws IOException {
        json.writeStringField(CompletionProtocol.RESULT, completion.result());
        if (completion.isRejected() && completion.retryAfterMicros() > 0) {
            json.writeNumberField(
                    CompletionProtocol.RETRY_AFTER_MILLIS,
                    TimeUnit.MICROSECONDS.toMillis(completion.retryAfterMicros()));
        }
    }
}
