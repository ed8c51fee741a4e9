package loftflow.admin;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import loftflow.deadletter.DeadLetter;
import loftflow.engine.Message;

/** Writes the JSON lines of the admin protocol. */
public final class JsonLines {
    private static final JsonFactory JSON = new JsonFactory();
    private static final long MICROS_PER_MILLI = 1_000;

    private JsonLines() {}

    private interface MembersWriter {
        void write(JsonGenerator json) throws IOException;
    }

    private static String line(MembersWriter members) {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(text)) {
            json.writeStartObject();
            members.write(json);
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toString();
    }

    static String error(String reason) {
        return line(json -> json.writeStringField(AdminProtocol.ERROR, reason));
    }

    /** Returns a JSON object whose members are strings, integers and booleans. */
    public static String object(Map<String, ?> members) {
        return line(json -> {
            for (Map.Entry<String, ?> member : members.entrySet()) {
                json.writeObjectField(member.getKey(), member.getValue());
            }
        });
    }

    /**
     * Returns a dead letter as a JSON object.
     *
     * @param withBody whether the body is included, in Base64
     * @param decision the redrive decision; omitted if null
     * @param auditTrail the lines of its audit trail; omitted if empty
     */
    public static String deadLetter(DeadLetter deadLetter, boolean withBody, String decision, List<String> auditTrail) {
        return line(json -> {
            json.writeNumberField(AdminProtocol.ID, deadLetter.id());
            writeContent(json, deadLetter);
            writeDelivery(json, deadLetter);
            if (decision != null) {
                json.writeStringField(AdminProtocol.DECISION, decision);
            }
            DeadLetter.Confirmation confirmation = deadLetter.confirmation();
            if (confirmation != null) {
                json.writeStringField(AdminProtocol.CONFIRMATION, confirmation.by() + ": " + confirmation.reason());
            }
            json.writeArrayFieldStart(AdminProtocol.ATTEMPTS);
            for (DeadLetter.Attempt attempt : deadLetter.attempts()) {
                writeAttempt(json, attempt);
            }
            json.writeEndArray();
            writeAuditTrail(json, auditTrail);
            if (withBody) {
                json.writeBinaryField(AdminProtocol.BODY, deadLetter.content().body());
            }
        });
    }

    private static void writeContent(JsonGenerator json, DeadLetter deadLetter) throws IOException {
        Message.Content content = deadLetter.content();
        json.writeStringField(AdminProtocol.MESSAGE_ID, content.messageId());
        json.writeStringField(AdminProtocol.REQUEST_CLASS, content.requestClass());
        json.writeStringField(AdminProtocol.TENANT, content.tenant());
        json.writeStringField(AdminProtocol.KEY, content.key());
        json.writeNumberField(AdminProtocol.DESTINATION, content.destination());
        json.writeStringField(AdminProtocol.STORED_AT, formatTime(deadLetter.storedAtMicros()));
        json.writeStringField(AdminProtocol.DEADLINE, formatTime(content.deadlineMicros()));
    }

    private static void writeDelivery(JsonGenerator json, DeadLetter deadLetter) throws IOException {
        json.writeStringField(
                AdminProtocol.STATE, AdminProtocol.nameOf(deadLetter.state().code()));
        json.writeStringField(
                AdminProtocol.CERTAINTY,
                AdminProtocol.nameOf(deadLetter.certainty().code()));
        json.writeStringField(AdminProtocol.REASON, deadLetter.reason());
        json.writeStringField(AdminProtocol.CLIENT_REPLY, deadLetter.clientReply());
        json.writeNumberField(AdminProtocol.REDRIVES, deadLetter.redrives());
    }

    private static void writeAttempt(JsonGenerator json, DeadLetter.Attempt attempt) throws IOException {
        json.writeStartObject();
        json.writeStringField(AdminProtocol.ROUTE, attempt.route());
        json.writeStringField(AdminProtocol.ZONE, attempt.zone());
        json.writeStringField(AdminProtocol.SENT_AT, formatTime(attempt.sentAtMicros()));
        json.writeStringField(
                AdminProtocol.OUTCOME,
                attempt.outcome() == null ? null : attempt.outcome().code());
        json.writeStringField(
                AdminProtocol.CERTAINTY,
                AdminProtocol.nameOf(attempt.certainty().code()));
        json.writeEndObject();
    }

    private static void writeAuditTrail(JsonGenerator json, List<String> auditTrail) throws IOException {
        if (auditTrail.isEmpty()) {
            return;
        }
        json.writeArrayFieldStart(AdminProtocol.AUDIT);
        for (String auditLine : auditTrail) {
            json.writeString(auditLine);
        }
        json.writeEndArray();
    }

    private static String formatTime(long micros) {
        return Instant.ofEpochMilli(micros / MICROS_PER_MILLI).toString();
    }
}
