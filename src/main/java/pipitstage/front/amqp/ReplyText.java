package pipitstage.front.amqp;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import pipitstage.amqp.codec.Properties;
import pipitstage.amqp.codec.Property;
import pipitstage.engine.Message;

/** What a reply says: the end of a message, in the words of the ends that are told over HTTP and in the file. */
final class ReplyText {
    private static final int PERSISTENT = 2;

    private ReplyText() { }

    /** Its id is the same however often it is told, so that whoever hears it twice can tell. */
    static Properties properties(Message message) {
        String correlation = message.content().reply().correlation();
        return Properties.NONE.with(Property.MESSAGE_ID, message.content().callId() + ".end")
                .with(Property.CORRELATION_ID, correlation == null ? message.content().callId() : correlation)
                .with(Property.TYPE, result(message)).with(Property.CONTENT_TYPE, "application/json")
                .with(Property.DELIVERY_MODE, PERSISTENT);
    }

    private static String result(Message message) {
        return switch (message.end().kind()) {
            case DELIVERED -> "done";
            case REFUSED -> "bounced";
            case FAILED -> "dead";
        };
    }

    static byte[] body(Message message) {
        String wait = message.end().retryIn() > 0 ? ",\"wait_ms\":" + message.end().retryIn() / 1_000 : "";
        // An id is a token: of what JSON minds, it may hold quotes and backslashes alone.
        String id = message.content().callId().replace("\\", "\\\\").replace("\"", "\\\"");
        return String.format(Locale.ROOT, "{\"ref\":\"%s\",\"result\":\"%s\"%s}", id, result(message), wait)
                .getBytes(StandardCharsets.UTF_8);
    }
}
