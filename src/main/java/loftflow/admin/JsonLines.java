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

/** Answers as lines of JSON. */
public final class JsonLines {
    private static final JsonFactory JSON = new JsonFactory();

    private JsonLines() {}

    private interface Body {
        void write(JsonGenerator json) throws IOException;
    }

    private static String line(Body body) {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(text)) {
            json.writeStartObject();
            body.write(json);
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toString();
    }

    static String error(String reason) {
        return line(json -> json.writeStringField("error", reason));
    }

    /** An object with text, whole numbers and flags as its members. */
    public static String object(Map<String, ?> members) {
        return line(json -> {
            for (Map.Entry<String, ?> member : members.entrySet()) {
                json.writeObjectField(member.getKey(), member.getValue());
            }
        });
    }

    /** An entry; its body, in Base64, only where it was asked for. {@code verdict} may be null. */
    public static String entry(DeadLetter entry, boolean body, String verdict, List<String> audits) {
        return line(json -> {
            json.writeNumberField("id", entry.id());
            json.writeStringField("ref", entry.content().messageId());
            json.writeStringField("class", entry.content().requestClass());
            json.writeStringField("tenant", entry.content().tenant());
            json.writeStringField("key", entry.content().key());
            json.writeNumberField("destination", entry.content().destination());
            json.writeStringField("kept", time(entry.keptAt()));
            json.writeStringField("deadline", time(entry.content().deadlineMicros()));
            json.writeStringField("state", entry.state().name().toLowerCase(java.util.Locale.ROOT));
            json.writeStringField("ran", entry.ran().name().toLowerCase(java.util.Locale.ROOT));
            json.writeStringField("why", entry.why());
            json.writeStringField("told", entry.told());
            json.writeNumberField("resends", entry.resends());
            if (verdict != null) {
                json.writeStringField("verdict", verdict);
            }
            if (entry.word() != null) {
                json.writeStringField(
                        "word", entry.word().by() + ": " + entry.word().reason());
            }
            json.writeArrayFieldStart("tries");
            for (DeadLetter.Try t : entry.tries()) {
                json.writeStartObject();
                json.writeStringField("route", t.route());
                json.writeStringField("building", t.building());
                json.writeStringField("sent", time(t.sentAt()));
                json.writeStringField(
                        "result", t.result() == null ? null : t.result().code());
                json.writeStringField("ran", t.ran().name().toLowerCase(java.util.Locale.ROOT));
                json.writeEndObject();
            }
            json.writeEndArray();
            if (!audits.isEmpty()) {
                json.writeArrayFieldStart("audit");
                for (String audit : audits) {
                    json.writeString(audit);
                }
                json.writeEndArray();
            }
            if (body) {
                json.writeBinaryField("body", entry.content().body());
            }
        });
    }

    private static String time(long micros) {
        return Instant.ofEpochMilli(micros / 1000).toString();
    }
}
