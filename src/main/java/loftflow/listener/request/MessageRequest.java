package loftflow.listener.request;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import loftflow.engine.Message;
import loftflow.protocol.ClientProtocol;

/** Parses the message in a request from its path, headers and body. */
public final class MessageRequest {
    /**
     * The maximum time from the first byte of a request to its last. For the first HTTP/1.1 request on a connection it
     * starts when the connection is accepted.
     */
    public static final long READ_TIMEOUT_MILLIS = 2500;

    private static final int MAX_TOKEN_CHARS = 200;
    private static final int MAX_DIGITS = 9;
    private static final long MICROS_PER_MILLI = 1000;
    private static final Pattern DESTINATION = Pattern.compile(ClientProtocol.DESTINATION_PATTERN);

    /** Looks up the headers of a request. */
    public interface Lookup {
        /** Returns the first value of a header that {@link ClientProtocol} defines; null if the header is absent. */
        CharSequence get(String name);
    }

    private MessageRequest() {}

    /** Returns whether a path is the message path, optionally followed by a slash and an ordering key. */
    static boolean isMessagePath(CharSequence path) {
        String prefix = ClientProtocol.MESSAGE_PATH;
        return prefix.contentEquals(path)
                || path.length() > prefix.length() + 1
                        && path.charAt(prefix.length()) == '/'
                        && prefix.contentEquals(path.subSequence(0, prefix.length()));
    }

    /**
     * Parses the message in a request. The timeout starts when the client sent the message, so the time for which its
     * bytes were pending unread is deducted.
     *
     * @param path a path for which {@link #isMessagePath} is true
     * @param arrivedAtMicros the earliest time at which the last byte can have arrived, in microseconds on the engine's
     *     clock
     * @return the message; null if a header is missing or invalid
     */
    public static Message.Content parse(CharSequence path, Lookup headers, long arrivedAtMicros, byte[] body) {
        String orderingKey = orderingKey(path);
        String messageId = orEmpty(headers.get(ClientProtocol.MESSAGE_ID_HEADER));
        String requestClass = orEmpty(headers.get(ClientProtocol.CLASS_HEADER));
        CharSequence tenant = headers.get(ClientProtocol.TENANT_HEADER);
        CharSequence key = headers.get(ClientProtocol.IDEMPOTENCY_KEY_HEADER);
        String timeoutMillis = orEmpty(headers.get(ClientProtocol.TIMEOUT_MILLIS_HEADER));
        String destination = destination(orEmpty(headers.get(ClientProtocol.DESTINATION_HEADER)));
        if (!isToken(messageId)
                || !isNumber(timeoutMillis, 0)
                || destination == null
                || key != null && !isToken(key)
                || orderingKey != null && !isToken(orderingKey)) {
            return null;
        }
        return new Message.Content(
                messageId,
                requestClass,
                tenant == null ? null : tenant.toString(),
                key == null ? null : key.toString(),
                arrivedAtMicros + Long.parseLong(timeoutMillis) * MICROS_PER_MILLI,
                Integer.parseInt(destination),
                body,
                null,
                orderingKey);
    }

    private static String orderingKey(CharSequence path) {
        int prefixLength = ClientProtocol.MESSAGE_PATH.length();
        if (path.length() == prefixLength) {
            return null;
        }
        return path.subSequence(prefixLength + 1, path.length()).toString();
    }

    private static String destination(String header) {
        // Fast path: nearly every header has only this field, for which no regular expression is needed.
        int valueStart = ClientProtocol.DESTINATION_FIELD.length();
        if (header.startsWith(ClientProtocol.DESTINATION_FIELD) && isNumber(header, valueStart)) {
            return header.substring(valueStart);
        }
        Matcher matcher = DESTINATION.matcher(header);
        return matcher.matches() ? matcher.group(1) : null;
    }

    /** Returns whether a text consists of 1 to {@link #MAX_TOKEN_CHARS} printable ASCII characters without spaces. */
    private static boolean isToken(CharSequence text) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) <= ' ' || text.charAt(i) > '~') {
                return false;
            }
        }
        return text.length() >= 1 && text.length() <= MAX_TOKEN_CHARS;
    }

    /** Returns whether the text from an index to its end consists of 1 to {@link #MAX_DIGITS} digits. */
    private static boolean isNumber(String text, int from) {
        for (int i = from; i < text.length(); i++) {
            if (text.charAt(i) < '0' || text.charAt(i) > '9') {
                return false;
            }
        }
        return text.length() > from && text.length() - from <= MAX_DIGITS;
    }

    private static String orEmpty(CharSequence value) {
        return value == null ? "" : value.toString();
    }
}
